package router

import (
	"math"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// flight is one call of this daemon at a target.
type flight struct {
	ticket  uint64
	service string
	sentAt  time.Time
	doneAt  time.Time
	tokens  int
	// first and token are the predicted seconds before and of each token.
	first   float64
	token   float64
	started bool
	counted bool
}

// recentFlights bounds how many finished calls are remembered to correct a
// report that was taken before they finished and arrives after.
const recentFlights = 32

// Node is a target with what is known about its load.
type Node struct {
	target   Target
	profile  *Profile
	report   provider.LoadReport
	reported bool
	flights  []flight
	recent   []flight
	next     int
	// total and tokens are the calls and the tokens that wait, as reported,
	// corrected for own calls that finished since.
	total  float64
	tokens float64
	// slowness is the smoothed ratio of observed to predicted time.
	slowness float64
	service  float64
	index    int
	// services are those that the target is listed for.
	services map[string]bool
}

func newNode(target Target, profile *Profile) *Node {
	return &Node{target: target, profile: profile, slowness: 1, service: profile.PlainCallSeconds, services: map[string]bool{}}
}

// Target returns the node's target.
func (n *Node) Target() Target { return n.target }

// Name returns the target's name.
func (n *Node) Name() string { return n.target.Name }

// InFlight returns the number of this daemon's calls at the target.
func (n *Node) InFlight() int { return len(n.flights) }

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
	calls := n.total
	for i := range n.flights {
		if !n.flights[i].counted {
			calls++
		}
	}
	return calls
}

// WaitingTokens estimates the tokens that wait for prefill at the target.
func (n *Node) WaitingTokens() float64 {
	tokens := n.tokens
	for i := range n.flights {
		if f := &n.flights[i]; !f.counted && !f.started {
			tokens += float64(f.tokens)
		}
	}
	return tokens
}

// Serves reports whether the target holds the model and adapter of a call. A
// target that has not reported its models is taken to hold them.
func (n *Node) Serves(model, adapter string) bool {
	return holds(n.report.Models, model) && holds(n.report.Adapters, adapter)
}

func holds(names []string, name string) bool {
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

func (n *Node) prefillRate() float64 {
	if n.report.PrefillPerSec > 0 {
		return n.report.PrefillPerSec
	}
	return n.profile.PrefillPerSec
}

func (n *Node) sent(now time.Time, ticket uint64, choice *Choice) {
	n.flights = append(n.flights, flight{
		ticket: ticket, service: choice.Service, sentAt: now, tokens: choice.UncachedTokens, token: choice.SecondsPerToken,
		first: choice.WaitSeconds + choice.PrefillSeconds,
	})
}

func (n *Node) find(ticket uint64) int {
	for i := range n.flights {
		if n.flights[i].ticket == ticket {
			return i
		}
	}
	return -1
}

func (n *Node) started(ticket uint64) {
	i := n.find(ticket)
	if i < 0 || n.flights[i].started {
		return
	}
	f := &n.flights[i]
	f.started = true
	if f.counted {
		n.tokens = math.Max(0, n.tokens-float64(f.tokens))
	}
}

func (n *Node) finished(now time.Time, ticket uint64) (flight, bool) {
	i := n.find(ticket)
	if i < 0 {
		return flight{}, false
	}
	f := n.flights[i]
	n.flights = append(n.flights[:i], n.flights[i+1:]...)
	if f.counted {
		n.total = math.Max(0, n.total-1)
		if !f.started {
			n.tokens = math.Max(0, n.tokens-float64(f.tokens))
		}
	}
	f.doneAt = now
	if len(n.recent) < recentFlights {
		n.recent = append(n.recent, f)
	} else {
		n.recent[n.next%recentFlights] = f
	}
	n.next++
	return f, true
}

// received takes a load report. Own calls sent after the report was taken stay
// on top of it; those that ended after it was taken are subtracted.
func (n *Node) received(report provider.LoadReport) {
	if n.reported && report.At.Before(n.report.At) {
		return
	}
	n.report, n.reported = report, true
	n.total = float64(report.Running + report.Waiting)
	n.tokens = float64(report.WaitingTokens)
	for i := range n.flights {
		f := &n.flights[i]
		f.counted = !f.sentAt.After(report.At)
	}
	for i := range n.recent {
		f := &n.recent[i]
		if !f.sentAt.After(report.At) && f.doneAt.After(report.At) {
			n.total = math.Max(0, n.total-1)
			if !f.started {
				n.tokens = math.Max(0, n.tokens-float64(f.tokens))
			}
		}
	}
}
