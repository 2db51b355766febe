package router

import (
	"math"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// attempt is one call of this daemon at a target.
type attempt struct {
	ticket         uint64
	service        string
	sentAt         time.Time
	finishedAt     time.Time
	uncachedTokens int
	// secondsToFirstToken and token are the predicted seconds before and of each token.
	secondsToFirstToken float64
	secondsPerToken     float64
	started             bool
	inReport            bool
}

// maxFinished bounds how many finished calls are remembered to correct a
// report that was taken before they finished and arrives after.
const maxFinished = 32

// Node is a target with what is known about its load.
type Node struct {
	target        Target
	profile       *Profile
	report        provider.LoadReport
	reported      bool
	attempts      []attempt
	finished      []attempt
	finishedCount int
	// reportedCalls and tokens are the calls and the tokens that wait, as reported,
	// corrected for own calls that finished since.
	reportedCalls  float64
	reportedTokens float64
	// slowness is the smoothed ratio of observed to predicted time.
	slowness       float64
	serviceSeconds float64
	index          int
	// services are those that the target is listed for.
	services map[string]bool
}

func newNode(target Target, profile *Profile) *Node {
	return &Node{target: target, profile: profile, slowness: 1, serviceSeconds: profile.PlainCallSeconds, services: map[string]bool{}}
}

// Target returns the node's target.
func (n *Node) Target() Target { return n.target }

// Name returns the target's name.
func (n *Node) Name() string { return n.target.Name }

// InFlight returns the number of this daemon's calls at the target.
func (n *Node) InFlight() int { return len(n.attempts) }

// Slowness returns the smoothed ratio of observed to predicted time.
func (n *Node) Slowness() float64 { return n.slowness }

// MaxBatch returns how many calls the target runs at once.
func (n *Node) MaxBatch() int {
	if n.report.MaxConcurrency > 0 {
		return n.report.MaxConcurrency
	}
	return n.profile.MaxBatch
}

// Calls estimates all calls at the target now: those of the last report plus
// this daemon's own since.
func (n *Node) Calls() float64 {
	calls := n.reportedCalls
	for i := range n.attempts {
		if !n.attempts[i].inReport {
			calls++
		}
	}
	return calls
}

// WaitingTokens estimates the tokens that wait for prefill at the target.
func (n *Node) WaitingTokens() float64 {
	tokens := n.reportedTokens
	for i := range n.attempts {
		if f := &n.attempts[i]; !f.inReport && !f.started {
			tokens += float64(f.uncachedTokens)
		}
	}
	return tokens
}

// Serves reports whether the target holds the model and adapter of a call. A
// target that has not reported its models is taken to hold them.
func (n *Node) Serves(model, adapter string) bool {
	return mayInclude(n.report.Models, model) && mayInclude(n.report.Adapters, adapter)
}

func mayInclude(names []string, name string) bool {
	if name == "" || len(names) == 0 {
		return true
	}
	for _, have := range names {
		if have == name {
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
	f := &n.attempts[i]
	f.started = true
	if f.inReport {
		n.reportedTokens = math.Max(0, n.reportedTokens-float64(f.uncachedTokens))
	}
}

func (n *Node) recordFinished(now time.Time, ticket uint64) (attempt, bool) {
	i := n.attemptIndex(ticket)
	if i < 0 {
		return attempt{}, false
	}
	f := n.attempts[i]
	n.attempts = append(n.attempts[:i], n.attempts[i+1:]...)
	if f.inReport {
		n.reportedCalls = math.Max(0, n.reportedCalls-1)
		if !f.started {
			n.reportedTokens = math.Max(0, n.reportedTokens-float64(f.uncachedTokens))
		}
	}
	f.finishedAt = now
	if len(n.finished) < maxFinished {
		n.finished = append(n.finished, f)
	} else {
		n.finished[n.finishedCount%maxFinished] = f
	}
	n.finishedCount++
	return f, true
}

// applyReport takes a load report. Own calls sent after the report was taken stay
// on top of it; those that ended after it was taken are subtracted.
func (n *Node) applyReport(report provider.LoadReport) {
	if n.reported && report.At.Before(n.report.At) {
		return
	}
	n.report, n.reported = report, true
	n.reportedCalls = float64(report.Running + report.Waiting)
	n.reportedTokens = float64(report.WaitingTokens)
	for i := range n.attempts {
		f := &n.attempts[i]
		f.inReport = !f.sentAt.After(report.At)
	}
	for i := range n.finished {
		f := &n.finished[i]
		if !f.sentAt.After(report.At) && f.finishedAt.After(report.At) {
			n.reportedCalls = math.Max(0, n.reportedCalls-1)
			if !f.started {
				n.reportedTokens = math.Max(0, n.reportedTokens-float64(f.uncachedTokens))
			}
		}
	}
}
