package assembler

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// minPause is the shortest time without any activity that counts as a pause of the process. It
	// is well above tickInterval, at which the process is active at least.
	minPause = time.Second
	// refreshTimeout bounds the time for which calls wait for the store after a pause. A store that
	// does not respond by then is taken for an outage, in which the last known state is used.
	refreshTimeout = 300 * time.Millisecond
	// refreshPollInterval is the interval at which a waiting call looks whether the feeds are current.
	refreshPollInterval = 2 * time.Millisecond
)

// pauseGuard notices that the process stood still, because it was stopped, got no processor time or
// its host was suspended. What it knew of the configuration and the targets may be outdated then,
// so that calls wait for a short time until the store has confirmed it.
type pauseGuard struct {
	clock provider.Clock
	feeds func() []*feed
	log   *zap.Logger

	mutex      sync.Mutex
	lastActive time.Time
	resumedAt  time.Time
}

func newPauseGuard(clock provider.Clock, feeds func() []*feed, log *zap.Logger) *pauseGuard {
	return &pauseGuard{clock: clock, feeds: feeds, log: log, lastActive: clock.Now()}
}

// observe records that the process is active. After a pause it makes the feeds ask the store anew.
// It returns the time since the last pause.
func (p *pauseGuard) observe() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.clock.Now()
	pause := now.Sub(p.lastActive)
	p.lastActive = now
	if pause >= minPause {
		p.resumedAt = now
		for _, f := range p.feeds() {
			f.refresh()
		}
		p.log.Warn("process stood still; asking the store for changes", zap.Duration("pause", pause))
	}
	return now.Sub(p.resumedAt)
}

// await waits after a pause until the feeds are current, but not beyond refreshTimeout.
func (p *pauseGuard) await(ctx context.Context) {
	for p.observe() < refreshTimeout && !p.current() && ctx.Err() == nil {
		time.Sleep(refreshPollInterval)
	}
}

func (p *pauseGuard) current() bool {
	for _, f := range p.feeds() {
		if !f.current() {
			return false
		}
	}
	return true
}
