package dispatcher

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

// maxSegments bounds the prompt segments that are tracked for one target.
const maxSegments = 512

// attempt is one try of a call at a target.
type attempt struct {
	node    *node
	session SessionID
	sentAt  time.Time
	// service is nil for calls of plain services.
	service *service
	prompt  promptEstimate
	// pendingBefore is the number of tokens that the target had to prefill for earlier calls.
	pendingBefore float64
	// idleFirstEvent is the estimated time to the first event if the target were idle.
	idleFirstEvent time.Duration
	started        bool
	startedAt      time.Time
}

// node is a target with its load as far as this daemon knows it.
type node struct {
	target follower.Target
	region string
	// emptySince is when the target was first listed or restarted.
	emptySince time.Time
	inFlight   int
	// pendingTokens counts the prompt tokens to prefill of attempts without a first event.
	pendingTokens float64
	// queueDelay is the smoothed time to the first event beyond that of an idle target, as of
	// queueDelayAt. It decays while nothing is observed.
	queueDelay   time.Duration
	queueDelayAt time.Time
	// slowness is the smoothed ratio of the observed time to the first event to that of an
	// idle target.
	slowness float64
	speed    speedometer
	// failures counts consecutive failures. Other targets are preferred until avoidUntil.
	failures   int
	avoidUntil time.Time
	fullUntil  time.Time
	segments   *lru.LRU[uint64, int]
}

func newNode(now time.Time, t follower.Target) *node {
	n := &node{slowness: 1}
	n.reset(now, t)
	return n
}

// reset discards what was known of a target, for example after it restarted.
func (n *node) reset(now time.Time, t follower.Target) {
	n.target, n.emptySince = t, now
	n.queueDelay, n.failures, n.speed = 0, 0, speedometer{}
	n.avoidUntil, n.fullUntil = time.Time{}, time.Time{}
	// NewLRU fails only for sizes below 1.
	n.segments, _ = lru.NewLRU[uint64, int](maxSegments, nil)
}

// recordPrompt adds a prompt to the target's estimated cache and evicts the least recently
// used segments beyond its capacity in tokens.
func (n *node) recordPrompt(prompt []forwarder.PromptSegment, capacity int) {
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

// decayedQueueDelay returns the queue delay that is expected at the given time.
func (n *node) decayedQueueDelay(now time.Time) time.Duration {
	age := now.Sub(n.queueDelayAt)
	if age >= delayDecay {
		return 0
	}
	return time.Duration(float64(n.queueDelay) * (1 - float64(age)/float64(delayDecay)))
}

// observeFirstEvent updates the averages with the time to the first event of an attempt.
func (n *node) observeFirstEvent(now time.Time, took, idleFirstEvent time.Duration) {
	old := n.decayedQueueDelay(now)
	n.queueDelay = old + time.Duration(delaySmoothing*float64(max(0, took-idleFirstEvent)-old))
	n.queueDelayAt = now
	ratio := min(float64(took)/float64(max(idleFirstEvent, time.Millisecond)), maxSlownessRatio)
	n.slowness += slownessSmoothing * (max(1, ratio) - n.slowness)
}
