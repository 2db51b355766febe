package router

import (
	"math"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// pool holds the targets of one service in their given order.
type pool struct {
	nodes []*Node
	// accepting are the nodes that take new calls, local those among them in the daemon's
	// own region.
	accepting []*Node
	local     []*Node
	// slowness is the smoothed ratio of observed to predicted time over all nodes,
	// responseTokens the smoothed length of a response.
	slowness       float64
	responseTokens float64
}

// Fleet is the daemon's model of its targets. It is not safe for concurrent use.
type Fleet struct {
	location Location
	profile  Profile
	nodes    map[string]*Node
	pools    map[string]*pool
	cache    *CacheEstimate
	exports  map[string]export
}

// export is the KV cache of a program in the object store.
type export struct {
	object string
	tokens int
	region string
}

// NewFleet returns a model without targets.
func NewFleet(location Location, profile Profile) *Fleet {
	return &Fleet{
		location: location, profile: profile, nodes: map[string]*Node{}, pools: map[string]*pool{},
		cache: NewCacheEstimate(), exports: map[string]export{},
	}
}

// Location returns where the daemon runs.
func (f *Fleet) Location() Location { return f.location }

// CacheEstimate returns the estimate of the targets' prefix caches.
func (f *Fleet) CacheEstimate() *CacheEstimate { return f.cache }

// Node returns the target with the given name, or nil.
func (f *Fleet) Node(name string) *Node { return f.nodes[name] }

// Nodes returns the targets of a service in their given order. The caller must not change
// the slice.
func (f *Fleet) Nodes(service string) []*Node {
	if p := f.pools[service]; p != nil {
		return p.nodes
	}
	return nil
}

// Accepting returns the targets of a service that take new calls. The caller must not
// change the slice.
func (f *Fleet) Accepting(service string) []*Node {
	if p := f.pools[service]; p != nil {
		return p.accepting
	}
	return nil
}

// SetTargets replaces the list of targets. A target that serves several services is listed
// once for each of them. Targets that stay keep their load and their cache estimate. The
// cache estimate of a target that was gone or unreachable is dropped, because the target
// may have restarted.
func (f *Fleet) SetTargets(now time.Time, targets []Target) {
	old, pools := f.nodes, f.pools
	f.nodes = make(map[string]*Node, len(targets))
	f.pools = map[string]*pool{}
	for _, t := range targets {
		n := f.nodes[t.Name]
		if n == nil {
			n = f.updateNode(now, old[t.Name], t)
		}
		f.addToPool(n, t.Service, pools[t.Service])
	}
	for name, n := range old {
		if f.nodes[name] == nil {
			f.retire(n)
		}
	}
}

// retire marks a target that is no longer listed as gone and removes its cache estimate.
// Calls in flight may still refer to the node, which must not become a candidate again.
func (f *Fleet) retire(n *Node) {
	n.target.State = StateGone
	clear(n.services)
	f.cache.ForgetTarget(n)
}

func (f *Fleet) updateNode(now time.Time, n *Node, t Target) *Node {
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

func (f *Fleet) addToPool(n *Node, service string, previous *pool) {
	if n.services[service] {
		return
	}
	n.services[service] = true
	p := f.pools[service]
	if p == nil {
		p = &pool{slowness: 1, responseTokens: f.profile.ResponseTokens}
		if previous != nil {
			p.slowness, p.responseTokens = previous.slowness, previous.responseTokens
		}
		f.pools[service] = p
	}
	n.index = len(p.nodes)
	p.nodes = append(p.nodes, n)
	if !n.target.State.Accepts() {
		return
	}
	p.accepting = append(p.accepting, n)
	if n.target.Region == f.location.Region {
		p.local = append(p.local, n)
	}
}

// MarkLeaving removes a target from the candidates at once, for example when its load
// report says that it is leaving.
func (f *Fleet) MarkLeaving(n *Node) {
	if !n.target.State.Accepts() {
		return
	}
	n.target.State = StateLeaving
	for service := range n.services {
		p := f.pools[service]
		p.accepting = withoutNode(p.accepting, n)
		p.local = withoutNode(p.local, n)
	}
}

func withoutNode(nodes []*Node, n *Node) []*Node {
	kept := make([]*Node, 0, len(nodes))
	for _, other := range nodes {
		if other != n {
			kept = append(kept, other)
		}
	}
	return kept
}

// RecordSent records a call that is sent to a target.
func (f *Fleet) RecordSent(now time.Time, n *Node, ticket uint64, choice Choice) {
	n.recordSent(now, ticket, &choice)
}

// RecordStarted records the first token of a call.
func (f *Fleet) RecordStarted(n *Node, ticket uint64) { n.recordStarted(ticket) }

// RecordCancelled records the end of a call that gives no information about its target.
func (f *Fleet) RecordCancelled(now time.Time, n *Node, ticket uint64) { n.recordFinished(now, ticket) }

// slownessSmoothing is the weight of one observation in a target's slowness: 10 calls show
// that a runner became slow, one outlier does not. poolSmoothing is the weight of one
// observation in the averages of a service, which change slowly.
const (
	slownessSmoothing = 0.2
	poolSmoothing     = 0.02
)

// RecordFinished records the end of a call, its duration and the number of generated tokens.
func (f *Fleet) RecordFinished(now time.Time, n *Node, ticket uint64, observed time.Duration, tokens int) {
	a, ok := n.recordFinished(now, ticket)
	p := f.pools[a.service]
	if !ok || p == nil || observed <= 0 {
		return
	}
	n.serviceSeconds += 0.1 * (observed.Seconds() - n.serviceSeconds)
	if tokens <= 0 {
		return
	}
	p.responseTokens += poolSmoothing * (float64(tokens) - p.responseTokens)
	if predicted := a.secondsToFirstToken + a.secondsPerToken*float64(tokens); predicted > 0 {
		ratio := math.Min(16, math.Max(0.25, observed.Seconds()/predicted))
		n.slowness += slownessSmoothing * (ratio - n.slowness)
		p.slowness += poolSmoothing * (ratio - p.slowness)
	}
}

// ApplyReport applies a load report and returns the node of its target, nil if the target is
// unknown.
func (f *Fleet) ApplyReport(report provider.LoadReport) *Node {
	n := f.nodes[report.Target]
	if n == nil {
		return nil
	}
	n.applyReport(report)
	if report.Leaving {
		f.MarkLeaving(n)
	}
	return n
}

// RecordExport records that a program's KV cache is in the object store of a region.
func (f *Fleet) RecordExport(program, object, region string, tokens int) {
	f.exports[program] = export{object: object, tokens: tokens, region: region}
}

// ForgetExport removes a program's exported cache, which can no longer be imported.
func (f *Fleet) ForgetExport(program string) { delete(f.exports, program) }

// ForgetProgram removes a program and returns the targets that may hold memory for it.
func (f *Fleet) ForgetProgram(program string) []*Node {
	delete(f.exports, program)
	return f.cache.ForgetProgram(program)
}

// Remote reports whether a target is in another region than the daemon.
func (f *Fleet) Remote(n *Node) bool { return n.target.Region != f.location.Region }

// LinkBytes returns the bytes that a call sends over the link between regions, 0 for a
// target in the daemon's region.
func (f *Fleet) LinkBytes(n *Node, r *Request) float64 {
	if !f.Remote(n) {
		return 0
	}
	return f.profile.BytesPerToken * float64(r.PromptTokens)
}
