package emulator

import (
	"context"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// WeightStoreFaults are the fault switches of a weight store.
type WeightStoreFaults struct {
	// Down makes Fetch fail.
	Down bool `json:"down"`
	// DelayMs is the duration of each fetch.
	DelayMs int `json:"delayMs"`
}

// WeightStore emulates the rate-limited weight store. A token bucket limits the fetches. It
// implements provider.WeightStore.
type WeightStore struct {
	mu         sync.Mutex
	faults     WeightStoreFaults
	perSec     float64
	burst      float64
	tokens     float64
	refilledAt time.Time
	granted    int
	rejected   int
}

// NewWeightStore returns a store that allows perSec fetches per second on average and
// burst fetches at once.
func NewWeightStore(perSec float64, burst int) *WeightStore {
	return &WeightStore{perSec: perSec, burst: float64(burst), tokens: float64(burst), refilledAt: time.Now()}
}

// Faults returns the fault switches.
func (w *WeightStore) Faults() WeightStoreFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetFaults replaces the fault switches.
func (w *WeightStore) SetFaults(faults WeightStoreFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Fetches returns the number of fetches that were granted and rejected.
func (w *WeightStore) Fetches() (granted, rejected int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.granted, w.rejected
}

// Fetch waits for the duration of a fetch. It fails with KindUnavailable if the rate limit
// is exceeded or the store is down.
func (w *WeightStore) Fetch(ctx context.Context, target, model, version string) error {
	const operation = "weights.fetch"
	delay, ok := w.takeToken()
	if !ok {
		return provider.NewError(operation, provider.KindUnavailable,
			eris.Errorf("fetch of version %q of model %q for target %s rejected", version, model, target))
	}
	select {
	case <-ctx.Done():
		return provider.NewError(operation, provider.KindUnknown, ctx.Err())
	case <-time.After(delay):
		return nil
	}
}

func (w *WeightStore) takeToken() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(w.burst, w.tokens+now.Sub(w.refilledAt).Seconds()*w.perSec)
	w.refilledAt = now
	if w.faults.Down || w.tokens < 1 {
		w.rejected++
		return 0, false
	}
	w.tokens--
	w.granted++
	return time.Duration(w.faults.DelayMs) * time.Millisecond, true
}

// Handler serves POST /v1/fetch?target=&model=&version= over HTTP.
func (w *WeightStore) Handler() *fiber.App {
	app := newApp()
	addFaultRoutes(app, w.Faults, w.SetFaults)
	app.Post("/v1/fetch", func(c *fiber.Ctx) error {
		return respond(c, w.Fetch(c.Context(), c.Query("target"), c.Query("model"), c.Query("version")))
	})
	return app
}
