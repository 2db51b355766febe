package router

import (
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
}

// Fleet is the daemon's model of its targets. It is not safe for concurrent use.
type Fleet struct {
	place   Place
	profile Profile
	nodes   map[string]*Node
	pools   map[string]*pool
	cache   *Cache
	exports map[string]export
}

// export is a KV cache of a program in the object store.
type export struct {
	object string
	tokens int
	region string
}

// NewFleet returns a model without targets.
func NewFleet(place Place, profile Profile) *Fleet {
	return &Fleet{
		place: place, profile: profile, nodes: map[string]*Node{}, pools: map[string]*pool{},
		cache: NewCache(), exports: map[string]export{},
	}
}

// Place returns where the daemon runs.
func (f *Fleet) Place() Place { return f.place }

// Cache returns the estimate of the prefix caches.
func (f *Fleet) Cache() *Cache { return f.cache }

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

// SetTargets replaces the list of targets. Targets that stay keep their load and
// cache; the cache estimate of a target that was gone or unreachable is dropped,
// because it may have restarted.
func (f *Fleet) SetTargets(now time.Time, targets []Target) {
	old := f.nodes
	f.nodes = make(map[string]*Node, len(targets))
	f.pools = map[string]*pool{}
	for _, t := range targets {
		if f.nodes[t.Name] != nil {
			continue
		}
		if t.Since.IsZero() {
			t.Since = now
		}
		n := old[t.Name]
		if n == nil {
			n = newNode(t, &f.profile)
		}
		if t.State == StateGone || (n.target.State == StateUnreachable && t.State != StateUnreachable) {
			f.cache.Forget(n)
		}
		n.target = t
		f.nodes[t.Name] = n
		f.add(n)
	}
}

func (f *Fleet) add(n *Node) {
	p := f.pools[n.target.Service]
	if p == nil {
		p = &pool{}
		f.pools[n.target.Service] = p
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
	p := f.pools[n.target.Service]
	p.accepting = remove(p.accepting, n)
	p.local = remove(p.local, n)
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

// Sent notes a call that goes to a target.
func (f *Fleet) Sent(now time.Time, n *Node, ticket uint64, choice Choice) {
	n.sent(now, ticket, choice.Uncached, choice.Seconds)
}

// Started notes the first token of a call.
func (f *Fleet) Started(n *Node, ticket uint64) { n.started(ticket) }

// Finished notes the end of a call; observed is 0 when its duration says nothing
// about the target, as after a cancellation.
func (f *Fleet) Finished(now time.Time, n *Node, ticket uint64, observed time.Duration) {
	n.finished(now, ticket, observed)
}

// Reported takes a load report and returns its node, nil for an unknown target.
func (f *Fleet) Reported(report provider.LoadReport) *Node {
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

// Exported notes a program's KV cache in the object store of a region.
func (f *Fleet) Exported(program, object, region string, tokens int) {
	f.exports[program] = export{object: object, tokens: tokens, region: region}
}

// Ended forgets a program and returns the targets that may hold memory for it.
func (f *Fleet) Ended(program string) []*Node {
	delete(f.exports, program)
	return f.cache.Ended(program)
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
