package retainer

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of the learned distributions.
const (
	maxTools = 512
	// maxPause is the longest pause that is told apart: an hour.
	maxPause = time.Hour
	// window is the number of pauses after which older ones count half, so that a
	// tool that changed is learned again.
	window = 2_000
	// fewPauses is the number below which all tools together are used.
	fewPauses = 8
)

// PauseStats learns how long programs wait for each tool.
type PauseStats struct {
	tools *lru.LRU[string, *tool]
	all   *tool
}

type tool struct {
	current  *hdr.Histogram
	previous *hdr.Histogram
}

func newTool() *tool {
	// One significant digit: a pause is told within 10 %, in 4 KB for a tool.
	return &tool{
		current:  hdr.New(1, maxPause.Milliseconds(), 1),
		previous: hdr.New(1, maxPause.Milliseconds(), 1),
	}
}

func (t *tool) observe(pause time.Duration) {
	// The value is within the histogram's range, so that no error is possible.
	_ = t.current.RecordValue(max(1, min(pause, maxPause).Milliseconds()))
	if t.current.TotalCount() >= window {
		t.previous, t.current = t.current, t.previous
		t.current.Reset()
	}
}

func (t *tool) count() int64 { return t.current.TotalCount() + t.previous.TotalCount() }

func (t *tool) quantile(q float64) time.Duration {
	h := t.current
	if h.TotalCount() < t.previous.TotalCount()/4 || h.TotalCount() < fewPauses {
		h = t.previous
	}
	if h.TotalCount() == 0 {
		h = t.current
	}
	return time.Duration(h.ValueAtQuantile(q*100)) * time.Millisecond
}

// NewPauseStats returns an estimate that knows no tool.
func NewPauseStats() *PauseStats {
	p := &PauseStats{all: newTool()}
	// NewLRU fails only for sizes below 1.
	p.tools, _ = lru.NewLRU[string, *tool](maxTools, nil)
	return p
}

// Observe adds one pause of a tool.
func (p *PauseStats) Observe(name string, pause time.Duration) {
	t, ok := p.tools.Get(name)
	if !ok {
		t = newTool()
		p.tools.Add(name, t)
	}
	t.observe(pause)
	p.all.observe(pause)
}

// Quantile returns the q-quantile (0 to 1) of a tool's pauses, of all tools when
// this one is hardly known, and false when nothing is known.
func (p *PauseStats) Quantile(name string, q float64) (time.Duration, bool) {
	if t, ok := p.tools.Peek(name); ok && t.count() >= fewPauses {
		return t.quantile(q), true
	}
	if p.all.count() >= fewPauses {
		return p.all.quantile(q), true
	}
	return 0, false
}
