package surveyor

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// minWait is the least time between two ticks.
const minWait = 5 * time.Millisecond

// Dependencies are what a Runner needs.
type Dependencies struct {
	Messenger *messenger.Messenger
	Clock     provider.Clock
	Log       *zap.Logger
	// Host is the host of this daemon.
	Host string
	// Peers returns the other daemons of the failure domain.
	Peers func() []messenger.Peer
	// Calls returns this daemon's calls in flight at engines of the failure domain, by target ID.
	Calls func() map[string]int
	// Publish gets the calls of the other daemons, as of the given time ago.
	Publish func(inFlight map[string]int, age time.Duration)
}

// Runner exchanges reports with the other daemons of a failure domain. It is safe for concurrent use.
type Runner struct {
	dependencies Dependencies
	options      Options
	mutex        sync.Mutex
	state        *State
}

// NewRunner returns a Runner.
func NewRunner(dependencies Dependencies, options Options) *Runner {
	return &Runner{dependencies: dependencies, options: options, state: New(dependencies.Host, options)}
}

// SetTargets replaces the targets of the failure domain.
func (r *Runner) SetTargets(ids []string) {
	// Targets are not decoded, so that there is no error.
	_, _ = r.update(TargetsChanged{IDs: ids})
}

// SumAge returns the age of the last sum of the other daemons' calls. It returns false if there has been none.
func (r *Runner) SumAge() (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.SumAge(r.dependencies.Clock.Now())
}

func (r *Runner) update(m Message) ([]Command, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Update(r.dependencies.Clock.Now(), m)
}

// Run reports until the context ends.
func (r *Runner) Run(ctx context.Context) {
	// Daemons that start together report at different times.
	wait := rand.N(r.options.Interval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		r.tick(ctx)
		r.mutex.Lock()
		wait = max(minWait, r.state.NextAt().Sub(r.dependencies.Clock.Now()))
		r.mutex.Unlock()
	}
}

// tick sends a report if one is due, and waits for the reply.
func (r *Runner) tick(ctx context.Context) {
	peers := r.dependencies.Peers()
	hosts := make([]string, len(peers))
	for i, p := range peers {
		hosts[i] = p.Host
	}
	commands, err := r.update(Tick{Peers: hosts, Calls: r.dependencies.Calls()})
	r.run(ctx, commands, err, peers)
}

func (r *Runner) run(ctx context.Context, commands []Command, err error, peers []messenger.Peer) {
	if err != nil {
		r.dependencies.Log.Warn("load of targets not understood", zap.Error(err))
	}
	for _, command := range commands {
		switch c := command.(type) {
		case SendReport:
			for _, p := range peers {
				if p.Host == c.Host {
					reply, err := r.update(r.send(ctx, p, c))
					r.run(ctx, reply, err, nil)
				}
			}
		case Publish:
			r.dependencies.Publish(c.InFlight, c.Age)
		case CollectorChanged:
			r.dependencies.Log.Info("collector of the load of targets changed", zap.String("collector", c.Host), zap.Int("changes", c.Changes))
		}
	}
}

// send sends a report and returns what came of it. A call without a reply in time goes on until its own
// timeout, since a new connection takes longer.
func (r *Runner) send(ctx context.Context, peer messenger.Peer, c SendReport) Message {
	result := make(chan Message, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
		defer cancel()
		sum, err := messenger.Call[encoder.LoadSum](callCtx, r.dependencies.Messenger, peer, messenger.MethodTargetLoad, encoder.LoadReport{Load: c.Load})
		if err != nil {
			r.dependencies.Log.Debug("peer did not collect", zap.String("peer", peer.Host), zap.Error(err))
			result <- SumMissing{Report: c, Refused: messenger.KindOf(err) != messenger.KindTimeout}
			return
		}
		result <- SumReceived{Report: c, Load: sum.Load, Reports: sum.Reports, Age: time.Duration(sum.AgeMs) * time.Millisecond}
	}()
	select {
	case m := <-result:
		return m
	case <-time.After(r.options.ReplyTimeout):
		return SumMissing{Report: c}
	}
}

// Handle serves the reports of other daemons. It reports whether the method is one of them.
func (r *Runner) Handle(from, method string, params json.RawMessage) (any, bool, error) {
	if method != messenger.MethodTargetLoad {
		return nil, false, nil
	}
	var request encoder.LoadReport
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, true, err
	}
	commands, err := r.update(ReportReceived{From: from, Load: request.Load})
	if err != nil {
		return nil, true, err
	}
	for _, command := range commands {
		if c, ok := command.(Reply); ok {
			return encoder.LoadSum{Load: c.Load, Reports: c.Reports, AgeMs: int(c.Age.Milliseconds())}, true, nil
		}
	}
	return nil, true, nil
}
