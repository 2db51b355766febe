package retainer

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of the recorded distributions.
const (
	maxTools = 512
	// maxPause is the upper bound of a recorded pause.
	maxPause = time.Hour
	// windowSize is the number of pauses after which a new histogram begins. Older pauses are
	// discarded after the next one, so that the statistics follow a tool that changed.
	windowSize = 2_000
	// minPauses is the number of a tool's pauses below which the pauses of all tools are used.
	minPauses = 8
)

// PauseStats records how long programs wait for each tool.
type PauseStats struct {
	tools *lru.LRU[string, *toolStats]
	all   *toolStats
}

type toolStats struct {
	current  *hdr.Histogram
	previous *hdr.Histogram
}

func newToolStats() *toolStats {
	// One significant digit gives an error of at most 10 % and takes 4 KB for a tool.
	return &toolStats{
		current:  hdr.New(1, maxPause.Milliseconds(), 1),
		previous: hdr.New(1, maxPause.Milliseconds(), 1),
	}
}

func (t *toolStats) observe(pause time.Duration) {
	// The value is within the range of the histogram, so no error is possible.
	_ = t.current.RecordValue(max(1, min(pause, maxPause).Milliseconds()))
	if t.current.TotalCount() >= windowSize {
		t.previous, t.current = t.current, t.previous
		t.current.Reset()
	}
}

func (t *toolStats) count() int64 { return t.current.TotalCount() + t.previous.TotalCount() }

func (t *toolStats) quantile(q float64) time.Duration {
	h := t.current
	if h.TotalCount() < t.previous.TotalCount()/4 || h.TotalCount() < minPauses {
		h = t.previous
	}
	if h.TotalCount() == 0 {
		h = t.current
	}
	return time.Duration(h.ValueAtQuantile(q*100)) * time.Millisecond
}

// NewPauseStats returns statistics without any pauses.
func NewPauseStats() *PauseStats {
	p := &PauseStats{all: newToolStats()}
	// NewLRU fails only for sizes below 1.
	p.tools, _ = lru.NewLRU[string, *toolStats](maxTools, nil)
	return p
}

// Observe records one pause of a tool.
func (p *PauseStats) Observe(name string, pause time.Duration) {
	t, ok := p.tools.Get(name)
	if !ok {
		t = newToolStats()
		p.tools.Add(name, t)
	}
	t.observe(pause)
	p.all.observe(pause)
}

// Quantile returns the q-quantile (0 to 1) of a tool's pauses. It uses the pauses of all tools
// if this one has too few, and returns false if there are too few of these as well.
func (p *PauseStats) Quantile(name string, q float64) (time.Duration, bool) {
	if t, ok := p.tools.Peek(name); ok && t.count() >= minPauses {
		return t.quantile(q), true
	}
	if p.all.count() >= minPauses {
		return p.all.quantile(q), true
	}
	return 0, false
}
