package router

import (
	"math"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// pool is the targets of one service in the order in which they were given.
type pool struct {
	nodes []*Node
	// accepting are the nodes that may get calls, local those of them in the
	// daemon's own region.
	accepting []*Node
	local     []*Node
	// slowness is the smoothed ratio of observed to predicted time over all nodes,
	// answer the smoothed length of an answer.
	slowness float64
	answer   float64
}

// Fleet is the daemon's model of its targets. It is not safe for concurrent use.
type Fleet struct {
	place   Location
	profile Profile
	nodes   map[string]*Node
	pools   map[string]*pool
	cache   *CacheEstimate
	exports map[string]export
}

// export is a KV cache of a program in the object store.
type export struct {
	object string
	tokens int
	region string
}

// NewFleet returns a model without targets.
func NewFleet(place Location, profile Profile) *Fleet {
	return &Fleet{
		place: place, profile: profile, nodes: map[string]*Node{}, pools: map[string]*pool{},
		cache: NewCacheEstimate(), exports: map[string]export{},
	}
}

// Location returns where the daemon runs.
func (f *Fleet) Location() Location { return f.place }

// CacheEstimate returns the estimate of the prefix caches.
func (f *Fleet) CacheEstimate() *CacheEstimate { return f.cache }

// Node returns the target with the given name, nil when there is none.
func (f *Fleet) Node(name string) *Node { return f.nodes[name] }

// Nodes returns the targets of a service in their given order. Do not change it.
func (f *Fleet) Nodes(service string) []*Node {
	if p := f.pools[service]; p != nil {
		return p.nodes
	}
	return nil
}

// Accepting returns the targets of a service that may get calls. Do not change it.
func (f *Fleet) Accepting(service string) []*Node {
	if p := f.pools[service]; p != nil {
		return p.accepting
	}
	return nil
}

// SetTargets replaces the list of targets. A target that serves several services
// is listed once for each of them. Targets that stay keep their load and
// cache; the cache estimate of a target that was gone or unreachable is dropped,
// because it may have restarted.
func (f *Fleet) SetTargets(now time.Time, targets []Target) {
	old, pools := f.nodes, f.pools
	f.nodes = make(map[string]*Node, len(targets))
	f.pools = map[string]*pool{}
	for _, t := range targets {
		n := f.nodes[t.Name]
		if n == nil {
			n = f.renew(now, old[t.Name], t)
		}
		f.add(n, t.Service, pools[t.Service])
	}
	for name, n := range old {
		if f.nodes[name] == nil {
			f.retire(n)
		}
	}
}

// retire makes a target that is not listed any more useless as a candidate: the
// cache estimate and calls in flight may still refer to it.
func (f *Fleet) retire(n *Node) {
	n.target.State = StateGone
	clear(n.services)
	f.cache.ForgetTarget(n)
}

func (f *Fleet) renew(now time.Time, n *Node, t Target) *Node {
	if t.Since.IsZero() {
		t.Since = now
	}
	if n == nil {
		n = newNode(t, &f.profile)
	}
	if t.State == StateGone || (n.target.State == StateUnreachable && t.State != StateUnreachable) {
		f.cache.ForgetTarget(n)
	}
	n.target = t
	clear(n.services)
	f.nodes[t.Name] = n
	return n
}

func (f *Fleet) add(n *Node, service string, before *pool) {
	if n.services[service] {
		return
	}
	n.services[service] = true
	p := f.pools[service]
	if p == nil {
		p = &pool{slowness: 1, answer: f.profile.ResponseTokens}
		if before != nil {
			p.slowness, p.answer = before.slowness, before.answer
		}
		f.pools[service] = p
	}
	n.index = len(p.nodes)
	p.nodes = append(p.nodes, n)
	if !n.target.State.Accepts() {
		return
	}
	p.accepting = append(p.accepting, n)
	if n.target.Region == f.place.Region {
		p.local = append(p.local, n)
	}
}

// MarkLeaving takes a target out of the candidates at once, for example when its
// own report says that it leaves.
func (f *Fleet) MarkLeaving(n *Node) {
	if !n.target.State.Accepts() {
		return
	}
	n.target.State = StateLeaving
	for service := range n.services {
		p := f.pools[service]
		p.accepting = remove(p.accepting, n)
		p.local = remove(p.local, n)
	}
}

func remove(nodes []*Node, n *Node) []*Node {
	kept := make([]*Node, 0, len(nodes))
	for _, other := range nodes {
		if other != n {
			kept = append(kept, other)
		}
	}
	return kept
}

// RecordSent notes a call that goes to a target.
func (f *Fleet) RecordSent(now time.Time, n *Node, ticket uint64, choice Choice) {
	n.sent(now, ticket, &choice)
}

// RecordStarted notes the first token of a call.
func (f *Fleet) RecordStarted(n *Node, ticket uint64) { n.started(ticket) }

// RecordCancelled notes the end of a call that says nothing about its target.
func (f *Fleet) RecordCancelled(now time.Time, n *Node, ticket uint64) { n.finished(now, ticket) }

// slownessGain is the weight of one observation in a target's slowness: 10 calls
// show a runner that became slow, one outlier does not. poolGain is that of the
// service, which changes slowly.
const (
	slownessGain = 0.2
	poolGain     = 0.02
)

// RecordFinished notes the end of a call with the tokens that it generated.
func (f *Fleet) RecordFinished(now time.Time, n *Node, ticket uint64, observed time.Duration, tokens int) {
	flight, ok := n.finished(now, ticket)
	p := f.pools[flight.service]
	if !ok || p == nil || observed <= 0 {
		return
	}
	n.service += 0.1 * (observed.Seconds() - n.service)
	if tokens <= 0 {
		return
	}
	p.answer += poolGain * (float64(tokens) - p.answer)
	if predicted := flight.first + flight.token*float64(tokens); predicted > 0 {
		ratio := math.Min(16, math.Max(0.25, observed.Seconds()/predicted))
		n.slowness += slownessGain * (ratio - n.slowness)
		p.slowness += poolGain * (ratio - p.slowness)
	}
}

// ApplyReport takes a load report and returns its node, nil for an unknown target.
func (f *Fleet) ApplyReport(report provider.LoadReport) *Node {
	n := f.nodes[report.Target]
	if n == nil {
		return nil
	}
	n.received(report)
	if report.Leaving {
		f.MarkLeaving(n)
	}
	return n
}

// RecordExport notes a program's KV cache in the object store of a region.
func (f *Fleet) RecordExport(program, object, region string, tokens int) {
	f.exports[program] = export{object: object, tokens: tokens, region: region}
}

// ForgetExport notes that a program's exported cache cannot be imported.
func (f *Fleet) ForgetExport(program string) { delete(f.exports, program) }

// ForgetProgram forgets a program and returns the targets that may hold memory for it.
func (f *Fleet) ForgetProgram(program string) []*Node {
	delete(f.exports, program)
	return f.cache.ForgetProgram(program)
}

// Remote reports whether a target lies in another region than the daemon.
func (f *Fleet) Remote(n *Node) bool { return n.target.Region != f.place.Region }

// LinkBytes returns the bytes that a call sends over the link between regions.
func (f *Fleet) LinkBytes(n *Node, r *Request) float64 {
	if !f.Remote(n) {
		return 0
	}
	return f.profile.BytesPerToken * float64(r.PromptTokens)
}
