package dispatcher

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

// maxSegments bounds the prompt parts that are remembered for one target.
const maxSegments = 512

// attempt is a call at a target.
type attempt struct {
	node   *node
	sentAt time.Time
	// uncachedTokens is the number of tokens to read, until the first event.
	uncachedTokens int
	// idleFirstEvent is the time to the first event that an idle target would need.
	idleFirstEvent time.Duration
	started        bool
}

// node is what is known of a target.
type node struct {
	target   follower.Target
	region   string
	inFlight int
	// pendingTokens is the prompt tokens of calls without a first event.
	pendingTokens int
	// queueDelay is the smoothed time to the first event beyond that of an idle target. It
	// decays while nothing is observed.
	queueDelay   time.Duration
	queueDelayAt time.Time
	// slowness is the smoothed ratio of observed to expected times.
	slowness float64
	// failures counts failed calls in a row; the target is avoided until retry.
	failures   int
	avoidUntil time.Time
	fullUntil  time.Time
	segments   *lru.LRU[uint64, int]
}

func newNode(t follower.Target) *node {
	n := &node{slowness: 1}
	n.reset(t)
	return n
}

// reset forgets what a target that has restarted held.
func (n *node) reset(t follower.Target) {
	n.target = t
	n.queueDelay, n.failures = 0, 0
	n.avoidUntil, n.fullUntil = time.Time{}, time.Time{}
	// NewLRU fails only for sizes below 1.
	n.segments, _ = lru.NewLRU[uint64, int](maxSegments, nil)
}

// cachedTokens returns the tokens at the start of a prompt that the target should hold.
func (n *node) cachedTokens(prompt []forwarder.PromptPart) int {
	tokens := 0
	for _, p := range prompt {
		if _, ok := n.segments.Get(p.ID); !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// recordPrompt notes that the target has read a prompt, and what must have made room for it.
func (n *node) recordPrompt(prompt []forwarder.PromptPart, capacity int) {
	for _, p := range prompt {
		n.segments.Add(p.ID, p.Tokens)
	}
	total := 0
	for _, tokens := range n.segments.Values() {
		total += tokens
	}
	for capacity > 0 && total > capacity {
		_, tokens, ok := n.segments.RemoveOldest()
		if !ok {
			return
		}
		total -= tokens
	}
}

// decayedQueueDelay returns the expected delay by load at a time.
func (n *node) decayedQueueDelay(now time.Time) time.Duration {
	age := now.Sub(n.queueDelayAt)
	if age >= delayDecay {
		return 0
	}
	return time.Duration(float64(n.queueDelay) * (1 - float64(age)/float64(delayDecay)))
}

// observeFirstEvent smooths the delay of a first event.
func (n *node) observeFirstEvent(now time.Time, took, unloaded time.Duration) {
	old := n.decayedQueueDelay(now)
	n.queueDelay = old + time.Duration(delaySmoothing*float64(max(0, took-unloaded)-old))
	n.queueDelayAt = now
	ratio := min(float64(took)/float64(max(unloaded, time.Millisecond)), maxSlownessRatio)
	n.slowness += slownessSmoothing * (max(1, ratio) - n.slowness)
}
