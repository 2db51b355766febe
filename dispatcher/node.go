package dispatcher

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

// maxParts bounds the prompt parts that are remembered for one target.
const maxParts = 512

// flight is a call at a target.
type flight struct {
	node *node
	sent time.Time
	// uncached is the number of tokens to read, until the first event.
	uncached int
	// unloaded is the time to the first event that an idle target would need.
	unloaded time.Duration
	started  bool
}

// node is what is known of a target.
type node struct {
	target   follower.Target
	region   string
	inFlight int
	// unread is the prompt tokens of calls without a first event.
	unread int
	// delay is the smoothed time to the first event beyond that of an idle target. It
	// decays while nothing is observed.
	delay   time.Duration
	delayAt time.Time
	// slowness is the smoothed ratio of observed to expected times.
	slowness float64
	// failures counts failed calls in a row; the target is avoided until retry.
	failures int
	retry    time.Time
	full     time.Time
	parts    *lru.LRU[uint64, int]
}

func newNode(t follower.Target) *node {
	n := &node{slowness: 1}
	n.renew(t)
	return n
}

// renew forgets what a target that has restarted held.
func (n *node) renew(t follower.Target) {
	n.target = t
	n.delay, n.failures = 0, 0
	n.retry, n.full = time.Time{}, time.Time{}
	// NewLRU fails only for sizes below 1.
	n.parts, _ = lru.NewLRU[uint64, int](maxParts, nil)
}

// cached returns the tokens at the start of a prompt that the target should hold.
func (n *node) cached(prompt []forwarder.PromptSegment) int {
	tokens := 0
	for _, p := range prompt {
		if _, ok := n.parts.Get(p.ID); !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// hold notes that the target has read a prompt, and what must have made room for it.
func (n *node) hold(prompt []forwarder.PromptSegment, capacity int) {
	for _, p := range prompt {
		n.parts.Add(p.ID, p.Tokens)
	}
	total := 0
	for _, tokens := range n.parts.Values() {
		total += tokens
	}
	for capacity > 0 && total > capacity {
		_, tokens, ok := n.parts.RemoveOldest()
		if !ok {
			return
		}
		total -= tokens
	}
}

// backlog returns the expected delay by load at a time.
func (n *node) backlog(now time.Time) time.Duration {
	age := now.Sub(n.delayAt)
	if age >= delayMemory {
		return 0
	}
	return time.Duration(float64(n.delay) * (1 - float64(age)/float64(delayMemory)))
}

// observe smooths the delay of a first event.
func (n *node) observe(now time.Time, took, unloaded time.Duration) {
	old := n.backlog(now)
	n.delay = old + time.Duration(delayWeight*float64(max(0, took-unloaded)-old))
	n.delayAt = now
	ratio := min(float64(took)/float64(max(unloaded, time.Millisecond)), maxSlowness)
	n.slowness += slownessWeight * (max(1, ratio) - n.slowness)
}
