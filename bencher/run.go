package bencher

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodweir/dogwoodweir/generator"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

// run is a program under way.
type run struct {
	world      *world
	spec       *generator.Program
	sharedName string
	daemon     *daemon
	turn       int
	measured   bool
	began      time.Duration
	calls      []time.Duration
	ever       int
	refusals   int
	over       bool
	// unknown is set when a call that must not be repeated may have run.
	unknown bool
	// finished continues the parent of a sub-agent.
	finished func(ok bool)
}

// Patience of callers, the same for every policy.
const (
	giveUpNew      = 5
	giveUpUnderWay = 12
)

func (w *world) begin(spec *generator.Program) {
	domains := len(w.cell.Deployment.Domains)
	index := int(xxhash.Sum64String(spec.ID)%uint64(len(w.daemons)/domains))*domains + spec.DomainIndex
	r := &run{
		world: w, spec: spec, sharedName: fmt.Sprintf("shared%d", spec.PrefixIndex), daemon: w.daemons[index],
		began: w.now, measured: w.measured(),
	}
	if r.measured {
		w.result.Arrived++
		w.open++
	}
	r.finished = func(ok bool) { w.ended(r, ok) }
	w.after(w.cell.Deployment.CallerLatency, r.start)
}

// start makes the model call of the present turn.
func (r *run) start() {
	turn := &r.spec.Turns[r.turn]
	before, after := r.spec.PromptTokens(r.turn)
	r.daemon.queue(&call{
		program: r, final: after, answer: turn.CompletionTokens,
		info: scheduler.CallInfo{
			Program: r.spec.ID, Root: r.spec.Root, Client: r.spec.Client, Service: r.world.cell.Deployment.ModelService,
			Kind: scheduler.KindModel, Blocks: r.spec.Chain[:before/provider.BlockTokens], PromptTokens: before,
			MaxTokens: turn.MaxTokens, Repeatable: true, NewProgram: r.turn == 0,
		},
	})
}

func (r *run) startPlain(turn *generator.Turn) {
	r.daemon.queue(&call{
		program: r, service: turn.PlainDuration,
		info: scheduler.CallInfo{
			Program: r.spec.ID, Root: r.spec.Root, Client: r.spec.Client, Service: r.world.cell.Deployment.PlainService,
			Kind: scheduler.KindPlain, Repeatable: turn.Repeatable,
		},
	})
}

// done continues a program after a call.
func (w *world) done(d *daemon, k *call) {
	r := k.program
	if r.over {
		return
	}
	r.refusals = 0
	if k.info.Kind == scheduler.KindPlain {
		w.after(2*w.cell.Deployment.CallerLatency, r.next)
		return
	}
	r.calls = append(r.calls, w.now)
	turn := &r.spec.Turns[r.turn]
	if len(turn.SubAgents) > 0 {
		r.fork(turn)
		return
	}
	r.pause(turn)
}

// fork runs the sub-agents of a turn and goes on when all have ended.
func (r *run) fork(turn *generator.Turn) {
	left, failed := len(turn.SubAgents), false
	for _, spec := range turn.SubAgents {
		sub := &run{
			world: r.world, spec: spec, daemon: r.daemon,
			sharedName: fmt.Sprintf("shared%d", spec.PrefixIndex), began: r.world.now,
		}
		spec.Client = r.spec.Client
		sub.finished = func(ok bool) {
			r.daemon.update(scheduler.ProgramEnded{Program: spec.ID})
			r.calls = append(r.calls, sub.calls...)
			failed = failed || !ok
			r.unknown = r.unknown || sub.unknown
			if left--; left > 0 || r.over {
				return
			}
			if failed {
				r.end(false)
				return
			}
			r.pause(turn)
		}
		sub.start()
	}
}

func (r *run) pause(turn *generator.Turn) {
	if r.turn == len(r.spec.Turns)-1 {
		r.end(true)
		return
	}
	r.daemon.update(scheduler.ProgramPaused{Program: r.spec.ID, Tool: turn.Tool})
	if turn.PlainDuration > 0 {
		r.startPlain(turn)
		return
	}
	r.world.after(turn.Pause+2*r.world.cell.Deployment.CallerLatency, r.next)
}

func (r *run) next() {
	if r.over {
		return
	}
	r.turn++
	r.start()
}

func (r *run) end(ok bool) {
	if r.over {
		return
	}
	r.over = true
	r.finished(ok)
}

func (w *world) ended(r *run, ok bool) {
	r.daemon.update(scheduler.ProgramEnded{Program: r.spec.ID})
	if ok {
		for _, at := range r.calls {
			if at >= w.cell.Timeline.MeasureFrom && at < w.cell.Timeline.MeasureUntil {
				w.good++
			}
		}
	}
	if !r.measured {
		return
	}
	w.open--
	switch {
	case ok:
		w.result.Completed++
		w.latencies = append(w.latencies, (w.now - r.began).Seconds())
	case r.unknown:
		w.result.Failed++
	default:
		w.result.Rejected++
	}
}

// refused lets the caller ask again or give up.
func (w *world) refused(d *daemon, k *call, c scheduler.RejectCall) {
	r := k.program
	if r.over {
		return
	}
	w.result.Rejections++
	r.refusals++
	patience := giveUpUnderWay
	if k.info.NewProgram {
		patience = giveUpNew
	}
	if c.Outcome == scheduler.OutcomeUnknown && !k.info.Repeatable {
		r.unknown = true
	}
	if r.unknown || r.refusals > patience {
		r.end(false)
		return
	}
	k.info.Attempt, k.info.Exclude, k.info.MayHaveRun = 0, nil, false
	k.jobs = nil
	w.after(max(c.RetryAfter, 200*time.Millisecond)+2*w.cell.Deployment.CallerLatency, func() {
		if !r.over {
			d.queue(k)
		}
	})
}
