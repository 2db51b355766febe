package dispatcher

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

const (
	// maxSharedSegments bounds the prompt segments of a service whose sharing is tracked.
	maxSharedSegments = 1024
	// sharingSmoothing is the weight of a new observation of a segment's sharing.
	sharingSmoothing = 0.25
	// sharingDelay is the time after its start until which a target is assumed to hold only what
	// this daemon has sent there.
	sharingDelay = 3 * time.Second
	// initialHistoryShare is the expected share of histories that are cached at the preferred targets until
	// calls have shown it. historySmoothing is the weight of a new observation.
	initialHistoryShare = 0.5
	historySmoothing    = 0.1
	// maxPlausibleDelay is the factor of the time without any cache above which a response was delayed by
	// other calls and shows nothing of the cache.
	maxPlausibleDelay = 1.5
	// growthFalling and growthRising are the weights of a new observation of a session's growth below and
	// above the estimate. A daemon that misses turns of a session sees several turns as one.
	growthFalling = 0.25
	growthRising  = 0.02
)

// service is what this daemon knows of the targets of a service together.
type service struct {
	nodes   []*node
	engines engineModel
	// sharing holds, for the segments that were sent, the smoothed share of the targets that had a
	// segment cached although this daemon had not sent it there.
	sharing *lru.LRU[uint64, float64]
	// historyShare is the smoothed share of the sessions whose preferred target had their history cached
	// although this daemon had not sent it there.
	historyShare float64
	// turnGrowth is the estimated number of tokens by which a session grows from one turn to the next, 0
	// until it is known.
	turnGrowth float64
}

func (s *State) service(name string) *service {
	v := s.services[name]
	if v == nil {
		// NewLRU fails only for sizes below 1.
		sharing, _ := lru.NewLRU[uint64, float64](maxSharedSegments, nil)
		v = &service{engines: newEngineModel(), sharing: sharing, historyShare: initialHistoryShare}
		s.services[name] = v
	}
	return v
}

// PrefillRate returns the estimated number of tokens that an engine of the service prefills in a
// millisecond.
func (s *State) PrefillRate(name string) float64 { return 1 / s.service(name).engines.perToken }

// promptEstimate is how much of a prompt a target is expected to have cached.
type promptEstimate struct {
	// cachedTokens were sent to the target by this daemon.
	cachedTokens int
	// sharedTokens follow them and may be cached through calls of other daemons; shared lists
	// their segments.
	sharedTokens int
	shared       []forwarder.PromptSegment
	// uncachedTokens is the number of tokens to prefill if the shared ones are not cached,
	// expectedTokens the number that is expected.
	uncachedTokens float64
	expectedTokens float64
	// historyTokens of the session are not known to be cached at its preferred target, but other daemons
	// send the session's turns there, too.
	historyTokens int
}

// estimatePrompt estimates how much of a prompt a target has cached. The last segment belongs to
// the session and grows with each turn; the ones before it are shared with other sessions.
func (v *service) estimatePrompt(now time.Time, n *node, r *Request) promptEstimate {
	e := promptEstimate{}
	i := 0
	for ; i < len(r.Prompt); i++ {
		p := r.Prompt[i]
		known, _ := n.segments.Get(p.ID)
		e.cachedTokens += min(known, p.Tokens)
		if known < p.Tokens {
			break
		}
	}
	e.uncachedTokens = float64(max(0, r.PromptTokens-e.cachedTokens))
	e.expectedTokens = e.uncachedTokens
	if i >= len(r.Prompt)-1 || now.Sub(n.emptySince) < sharingDelay {
		return e
	}
	e.shared = r.Prompt[i : len(r.Prompt)-1]
	for _, p := range e.shared {
		share, known := v.sharing.Peek(p.ID)
		if !known {
			break
		}
		e.sharedTokens += p.Tokens
		e.expectedTokens -= share * float64(p.Tokens)
	}
	return e
}

// observeFirstEvent updates the model of the engines and the sharing of the prompt's segments.
func (v *service) observeFirstEvent(a *attempt, took time.Duration) {
	observed := sample{
		tokens: a.prompt.uncachedTokens + a.pendingBefore, shared: float64(a.prompt.sharedTokens), took: inMilliseconds(took),
	}
	if a.prompt.historyTokens > 0 {
		// A fast response would say either that the history was cached or that the engine is fast, so that
		// these samples do not count for the speed.
		v.observeHistory(observed, float64(a.prompt.historyTokens))
		return
	}
	v.engines.observeFirstEvent(observed)
	cached := 0.0
	if v.engines.tokensPrefilled(observed) < observed.tokens {
		cached = 1
	}
	for _, p := range a.prompt.shared {
		share, _ := v.sharing.Peek(p.ID)
		v.sharing.Add(p.ID, share+sharingSmoothing*(cached-share))
	}
}

// observeHistory learns from the response to a call whether the history of its session was cached.
func (v *service) observeHistory(s sample, history float64) {
	m := &v.engines
	whole := m.firstEvent + m.perToken*s.tokens
	if s.took > maxPlausibleDelay*whole {
		return
	}
	cached := 0.0
	if s.took < whole-m.perToken*history/2 {
		cached = 1
	}
	v.historyShare += historySmoothing * (cached - v.historyShare)
}

// observeGrowth learns by how many tokens sessions grow from one turn to the next.
func (v *service) observeGrowth(tokens int) {
	if tokens <= 0 {
		return
	}
	change := float64(tokens) - v.turnGrowth
	switch {
	case v.turnGrowth == 0:
		v.turnGrowth = float64(tokens)
	case change < 0:
		v.turnGrowth += growthFalling * change
	default:
		v.turnGrowth += growthRising * change
	}
}

// expectHistory counts on the history of a started session at its preferred target: other daemons send the
// session's turns there too.
func (v *service) expectHistory(now time.Time, n *node, r *Request, e *promptEstimate) {
	if len(r.Prompt) == 0 || v.turnGrowth == 0 || now.Sub(n.emptySince) < sharingDelay {
		return
	}
	last := r.Prompt[len(r.Prompt)-1]
	known, _ := n.segments.Peek(last.ID)
	e.historyTokens = max(0, last.Tokens-known-int(v.turnGrowth))
	e.expectedTokens -= v.historyShare * float64(e.historyTokens)
}
