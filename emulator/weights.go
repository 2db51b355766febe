package emulator

import (
	"context"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// WeightStoreFaults are the switches of the weight store.
type WeightStoreFaults struct {
	// Down makes Fetch fail.
	Down bool `json:"down"`
	// DelayMs is added to each fetch.
	DelayMs int `json:"delayMs"`
}

// WeightStore is a stand-in for the rate-limited weight store: a token bucket of
// fetches.
type WeightStore struct {
	mu      sync.Mutex
	faults  WeightStoreFaults
	perSec  float64
	burst   float64
	level   float64
	filled  time.Time
	fetches int
	refused int
}

// NewWeightStore returns a store that allows perSec fetches a second and a burst.
func NewWeightStore(perSec float64, burst int) *WeightStore {
	return &WeightStore{perSec: perSec, burst: float64(burst), level: float64(burst), filled: time.Now()}
}

// Faults returns the switches.
func (w *WeightStore) Faults() WeightStoreFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetFaults sets the switches.
func (w *WeightStore) SetFaults(faults WeightStoreFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Fetches returns the number of fetches granted and refused.
func (w *WeightStore) Fetches() (granted, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fetches, w.refused
}

// Fetch takes one fetch from the bucket.
func (w *WeightStore) Fetch(ctx context.Context, target, model, version string) error {
	const operation = "weights.fetch"
	delay, ok := w.take()
	if !ok {
		return provider.NewError(operation, provider.KindUnavailable,
			eris.Errorf("refused: %s of %s for %s", version, model, target))
	}
	select {
	case <-ctx.Done():
		return provider.NewError(operation, provider.KindUnknown, ctx.Err())
	case <-time.After(delay):
		return nil
	}
}

func (w *WeightStore) take() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.level = min(w.burst, w.level+now.Sub(w.filled).Seconds()*w.perSec)
	w.filled = now
	if w.faults.Down || w.level < 1 {
		w.refused++
		return 0, false
	}
	w.level--
	w.fetches++
	return time.Duration(w.faults.DelayMs) * time.Millisecond, true
}

// Handler serves POST /v1/fetch?target=&model=&version=.
func (w *WeightStore) Handler() *fiber.App {
	app := newApp()
	faultRoutes(app, w.Faults, w.SetFaults)
	app.Post("/v1/fetch", func(c *fiber.Ctx) error {
		return respond(c, w.Fetch(c.Context(), c.Query("target"), c.Query("model"), c.Query("version")))
	})
	return app
}
