package router

import (
	"math"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// attempt is one try of a call of this daemon at a target.
type attempt struct {
	ticket         uint64
	service        string
	sentAt         time.Time
	finishedAt     time.Time
	uncachedTokens int
	// secondsToFirstToken and secondsPerToken are predictions.
	secondsToFirstToken float64
	secondsPerToken     float64
	started             bool
	inReport            bool
}

// maxFinished bounds the finished attempts that are kept to correct a load report that
// was taken before they finished and arrives afterwards.
const maxFinished = 32

// Node is a target with its load as far as this daemon knows it.
type Node struct {
	target        Target
	profile       *Profile
	report        provider.LoadReport
	reported      bool
	attempts      []attempt
	finished      []attempt
	finishedCount int
	// reportedCalls and reportedTokens are the calls and the waiting tokens of the last load
	// report, less those of this daemon's attempts that have finished since.
	reportedCalls  float64
	reportedTokens float64
	// slowness is the smoothed ratio of observed to predicted time.
	slowness       float64
	serviceSeconds float64
	index          int
	// services are the services for which the target is listed.
	services map[string]bool
}

func newNode(target Target, profile *Profile) *Node {
	return &Node{target: target, profile: profile, slowness: 1, serviceSeconds: profile.PlainCallSeconds, services: map[string]bool{}}
}

// Target returns the description of the target as last listed.
func (n *Node) Target() Target { return n.target }

// Name returns the name of the target.
func (n *Node) Name() string { return n.target.Name }

// InFlight returns the number of this daemon's calls at the target.
func (n *Node) InFlight() int { return len(n.attempts) }

// Slowness returns the smoothed ratio of observed to predicted time.
func (n *Node) Slowness() float64 { return n.slowness }

// MaxBatch returns how many calls the target runs in one batch.
func (n *Node) MaxBatch() int {
	if n.report.MaxConcurrency > 0 {
		return n.report.MaxConcurrency
	}
	return n.profile.MaxBatch
}

// Calls estimates the number of calls at the target: those of the last load report plus
// those that this daemon has sent since.
func (n *Node) Calls() float64 {
	calls := n.reportedCalls
	for i := range n.attempts {
		if !n.attempts[i].inReport {
			calls++
		}
	}
	return calls
}

// WaitingTokens estimates the number of tokens that wait for prefill at the target.
func (n *Node) WaitingTokens() float64 {
	tokens := n.reportedTokens
	for i := range n.attempts {
		if a := &n.attempts[i]; !a.inReport && !a.started {
			tokens += float64(a.uncachedTokens)
		}
	}
	return tokens
}

// Serves reports whether the target holds the model and the adapter of a call. A target
// that has not reported its models is assumed to hold them.
func (n *Node) Serves(model, adapter string) bool {
	return mayInclude(n.report.Models, model) && mayInclude(n.report.Adapters, adapter)
}

func mayInclude(names []string, name string) bool {
	if name == "" || len(names) == 0 {
		return true
	}
	for _, known := range names {
		if known == name {
			return true
		}
	}
	return false
}

func (n *Node) prefillPerSec() float64 {
	if n.report.PrefillPerSec > 0 {
		return n.report.PrefillPerSec
	}
	return n.profile.PrefillPerSec
}

func (n *Node) recordSent(now time.Time, ticket uint64, choice *Choice) {
	n.attempts = append(n.attempts, attempt{
		ticket: ticket, service: choice.Service, sentAt: now, uncachedTokens: choice.UncachedTokens, secondsPerToken: choice.SecondsPerToken,
		secondsToFirstToken: choice.WaitSeconds + choice.PrefillSeconds,
	})
}

func (n *Node) attemptIndex(ticket uint64) int {
	for i := range n.attempts {
		if n.attempts[i].ticket == ticket {
			return i
		}
	}
	return -1
}

func (n *Node) recordStarted(ticket uint64) {
	i := n.attemptIndex(ticket)
	if i < 0 || n.attempts[i].started {
		return
	}
	a := &n.attempts[i]
	a.started = true
	if a.inReport {
		n.reportedTokens = math.Max(0, n.reportedTokens-float64(a.uncachedTokens))
	}
}

func (n *Node) recordFinished(now time.Time, ticket uint64) (attempt, bool) {
	i := n.attemptIndex(ticket)
	if i < 0 {
		return attempt{}, false
	}
	a := n.attempts[i]
	n.attempts = append(n.attempts[:i], n.attempts[i+1:]...)
	if a.inReport {
		n.reportedCalls = math.Max(0, n.reportedCalls-1)
		if !a.started {
			n.reportedTokens = math.Max(0, n.reportedTokens-float64(a.uncachedTokens))
		}
	}
	a.finishedAt = now
	if len(n.finished) < maxFinished {
		n.finished = append(n.finished, a)
	} else {
		n.finished[n.finishedCount%maxFinished] = a
	}
	n.finishedCount++
	return a, true
}

// applyReport applies a load report; one older than the last is ignored. Attempts sent after
// the report was taken are added to its figures, those that ended after it are subtracted.
func (n *Node) applyReport(report provider.LoadReport) {
	if n.reported && report.At.Before(n.report.At) {
		return
	}
	n.report, n.reported = report, true
	n.reportedCalls = float64(report.Running + report.Waiting)
	n.reportedTokens = float64(report.WaitingTokens)
	for i := range n.attempts {
		a := &n.attempts[i]
		a.inReport = !a.sentAt.After(report.At)
	}
	for i := range n.finished {
		a := &n.finished[i]
		if !a.sentAt.After(report.At) && a.finishedAt.After(report.At) {
			n.reportedCalls = math.Max(0, n.reportedCalls-1)
			if !a.started {
				n.reportedTokens = math.Max(0, n.reportedTokens-float64(a.uncachedTokens))
			}
		}
	}
}
