package bencher

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodweir/dogwoodweir/generator"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

// programRun is the state of a program, or of a sub-agent, that has started.
type programRun struct {
	simulation *simulation
	spec       *generator.Program
	prefixName string
	daemon     *daemon
	turn       int
	measured   bool
	startedAt  time.Duration
	// callEnds are the instants at which its model calls ended.
	callEnds []time.Duration
	// computedTokens is the longest history that some engine has computed.
	computedTokens int
	// rejections counts the rejections since the last call that was done.
	rejections int
	ended      bool
	// outcomeUnknown is set when a call that must not be repeated may have run.
	outcomeUnknown bool
	// onEnd records the end of a root program or continues the parent of a sub-agent.
	onEnd func(ok bool)
}

// Numbers of retries in a row after which a caller abandons a program: at its first call
// and at a later one. They are the same for every policy.
const (
	maxRetriesNew     = 5
	maxRetriesStarted = 12
)

// startProgram starts an arriving program at a daemon of its failure domain.
func (s *simulation) startProgram(spec *generator.Program) {
	domains := len(s.scenario.Deployment.Domains)
	index := int(xxhash.Sum64String(spec.ID)%uint64(len(s.daemons)/domains))*domains + spec.DomainIndex
	r := &programRun{
		simulation: s, spec: spec, prefixName: fmt.Sprintf("shared%d", spec.PrefixIndex), daemon: s.daemons[index],
		startedAt: s.now, measured: s.measured(),
	}
	if r.measured {
		s.result.Arrived++
		s.openPrograms++
	}
	r.onEnd = func(ok bool) { s.programEnded(r, ok) }
	s.after(s.scenario.Deployment.CallerLatency, r.startTurn)
}

// startTurn makes the model call of the current turn.
func (r *programRun) startTurn() {
	turn := &r.spec.Turns[r.turn]
	before, after := r.spec.PromptTokens(r.turn)
	r.daemon.enqueue(&call{
		program: r, finalTokens: after, completionTokens: turn.CompletionTokens,
		info: scheduler.CallInfo{
			Program: r.spec.ID, Root: r.spec.Root, Client: r.spec.Client, Service: r.simulation.scenario.Deployment.ModelService,
			Kind: scheduler.KindModel, Blocks: r.spec.Chain[:before/provider.BlockTokens], PromptTokens: before,
			MaxTokens: turn.MaxTokens, Repeatable: true, NewProgram: r.turn == 0,
		},
	})
}

// callPlainService makes the call of a turn's tool to the plain service.
func (r *programRun) callPlainService(turn *generator.Turn) {
	r.daemon.enqueue(&call{
		program: r, serviceTime: turn.PlainDuration,
		info: scheduler.CallInfo{
			Program: r.spec.ID, Root: r.spec.Root, Client: r.spec.Client, Service: r.simulation.scenario.Deployment.PlainService,
			Kind: scheduler.KindPlain, Repeatable: turn.Repeatable,
		},
	})
}

// callDone continues a program after a call that succeeded.
func (s *simulation) callDone(d *daemon, k *call) {
	r := k.program
	if r.ended {
		return
	}
	r.rejections = 0
	if k.info.Kind == scheduler.KindPlain {
		s.after(2*s.scenario.Deployment.CallerLatency, r.nextTurn)
		return
	}
	r.callEnds = append(r.callEnds, s.now)
	turn := &r.spec.Turns[r.turn]
	if len(turn.SubAgents) > 0 {
		r.runSubAgents(turn)
		return
	}
	r.pauseOrEnd(turn)
}

// runSubAgents runs the sub-agents of a turn at the same time. When all have ended, it
// continues the program, or ends it if one failed.
func (r *programRun) runSubAgents(turn *generator.Turn) {
	running, failed := len(turn.SubAgents), false
	for _, spec := range turn.SubAgents {
		sub := &programRun{
			simulation: r.simulation, spec: spec, daemon: r.daemon,
			prefixName: fmt.Sprintf("shared%d", spec.PrefixIndex), startedAt: r.simulation.now,
		}
		spec.Client = r.spec.Client
		sub.onEnd = func(ok bool) {
			r.daemon.update(scheduler.ProgramEnded{Program: spec.ID})
			r.callEnds = append(r.callEnds, sub.callEnds...)
			failed = failed || !ok
			r.outcomeUnknown = r.outcomeUnknown || sub.outcomeUnknown
			if running--; running > 0 || r.ended {
				return
			}
			if failed {
				r.end(false)
				return
			}
			r.pauseOrEnd(turn)
		}
		sub.startTurn()
	}
}

// pauseOrEnd ends the program after its last turn and otherwise pauses it for the
// turn's tool.
func (r *programRun) pauseOrEnd(turn *generator.Turn) {
	if r.turn == len(r.spec.Turns)-1 {
		r.end(true)
		return
	}
	r.daemon.update(scheduler.ProgramPaused{Program: r.spec.ID, Tool: turn.Tool})
	if turn.PlainDuration > 0 {
		r.callPlainService(turn)
		return
	}
	r.simulation.after(turn.Pause+2*r.simulation.scenario.Deployment.CallerLatency, r.nextTurn)
}

func (r *programRun) nextTurn() {
	if r.ended {
		return
	}
	r.turn++
	r.startTurn()
}

func (r *programRun) end(ok bool) {
	if r.ended {
		return
	}
	r.ended = true
	r.onEnd(ok)
}

// programEnded reports the end of a root program to its daemon and adds the program to
// the figures.
func (s *simulation) programEnded(r *programRun, ok bool) {
	r.daemon.update(scheduler.ProgramEnded{Program: r.spec.ID})
	if ok {
		for _, at := range r.callEnds {
			if at >= s.scenario.Timeline.MeasureFrom && at < s.scenario.Timeline.MeasureUntil {
				s.goodCalls++
			}
		}
	}
	if !r.measured {
		return
	}
	s.openPrograms--
	switch {
	case ok:
		s.result.Completed++
		s.latencies = append(s.latencies, (s.now - r.startedAt).Seconds())
	case r.outcomeUnknown:
		s.result.Failed++
	default:
		s.result.Rejected++
	}
}

// callRejected queues a rejected call again after the given time, or ends its program
// when its retries are used up or the outcome of a non-repeatable call is unknown.
func (s *simulation) callRejected(d *daemon, k *call, c scheduler.RejectCall) {
	r := k.program
	if r.ended {
		return
	}
	s.result.Rejections++
	r.rejections++
	maxRetries := maxRetriesStarted
	if k.info.NewProgram {
		maxRetries = maxRetriesNew
	}
	if c.Outcome == scheduler.OutcomeUnknown && !k.info.Repeatable {
		r.outcomeUnknown = true
	}
	if r.outcomeUnknown || r.rejections > maxRetries {
		r.end(false)
		return
	}
	k.info.Attempt, k.info.Exclude, k.info.MayHaveRun = 0, nil, false
	k.attempts = nil
	s.after(max(c.RetryAfter, 200*time.Millisecond)+2*s.scenario.Deployment.CallerLatency, func() {
		if !r.ended {
			d.enqueue(k)
		}
	})
}
