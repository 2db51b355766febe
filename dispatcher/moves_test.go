package dispatcher_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

// fleet plays sessions over several daemons of one failure domain that share its engines.
type fleet struct {
	daemons []*dispatcher.State
	engines map[string]*fleetEngine
	list    []follower.Target
	random  *rand.Rand
	now     time.Time
	events  eventQueue
	// lastTarget is the target of each session's last turn.
	lastTarget map[uint64]string
	turns      int
	moves      int
	// callersKeepDaemon is set if all turns of a session reach the same daemon.
	callersKeepDaemon bool
}

// fleetEngine prefills one prompt after the other. Its speed is in tokens a millisecond.
type fleetEngine struct {
	speed     float64
	busyUntil time.Time
	cached    map[uint64]int
	turns     int
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newFleet(daemons int, list ...follower.Target) *fleet {
	f := &fleet{
		engines: map[string]*fleetEngine{}, random: rand.New(rand.NewPCG(11, 11)), now: start.Add(time.Minute), lastTarget: map[uint64]string{},
	}
	for i := range daemons {
		f.daemons = append(f.daemons, dispatcher.New(dispatcher.DefaultOptions(), location, uint64(i)))
	}
	f.setTargets(list...)
	return f
}

func (f *fleet) setTargets(list ...follower.Target) {
	f.list = list
	byID := map[string]follower.Target{}
	for _, t := range list {
		byID[t.ID] = t
		if f.engines[t.ID] == nil {
			f.engines[t.ID] = &fleetEngine{speed: 40, cached: map[uint64]int{}}
		}
	}
	for _, d := range f.daemons {
		d.Update(f.now, dispatcher.TargetsChanged{Targets: byID, Regions: map[string]string{"ams": "nl"}})
	}
}

func (f *fleet) schedule(after time.Duration, run func()) {
	heap.Push(&f.events, event{f.now.Add(after), run})
}

// runFor plays the events of a period and returns its turns and the moves among them.
func (f *fleet) runFor(d time.Duration) (turns, moves int) {
	f.turns, f.moves = 0, 0
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
	return f.turns, f.moves
}

// startSessions starts sessions whose turns follow each other after pauses. Their prompts grow to
// maxTokens and begin again.
func (f *fleet) startSessions(count int, pause time.Duration) {
	for i := range count {
		f.schedule(time.Duration(f.random.Int64N(int64(pause))), func() { f.turn(uint64(i), 400, pause) })
	}
}

func (f *fleet) turn(session uint64, tokens int, pause time.Duration) {
	const shared, growth, maxTokens, generation = 2000, 300, 6000, 150 * time.Millisecond
	if tokens > maxTokens {
		tokens = 400
	}
	daemon := f.daemons[int(session)%len(f.daemons)]
	if !f.callersKeepDaemon {
		daemon = f.daemons[f.random.IntN(len(f.daemons))]
	}
	request := dispatcher.Request{
		Service: "s", Engine: engine, PromptTokens: shared + tokens, Remaining: 5 * time.Second, ProgramStarted: tokens > 400,
		Prompt: []forwarder.PromptSegment{{ID: 1, Tokens: shared}, {ID: 1000 + session, Tokens: tokens}},
	}
	next := func() { f.turn(session, tokens+growth, pause) }
	wait := pause/2 + time.Duration(f.random.Int64N(int64(pause)))
	send, ok := requestPlacement(daemon, f.now, request).(dispatcher.Send)
	if !ok {
		f.schedule(wait, next)
		return
	}
	if last := f.lastTarget[session]; last != "" {
		f.turns++
		if last != send.Target.ID {
			f.moves++
		}
	}
	f.lastTarget[session] = send.Target.ID
	e := f.engines[send.Target.ID]
	e.turns++
	uncached := max(0, shared-e.cached[0]) + max(0, tokens-e.cached[1000+session])
	e.cached[0], e.cached[1000+session] = shared, tokens
	if e.busyUntil.Before(f.now) {
		e.busyUntil = f.now
	}
	e.busyUntil = e.busyUntil.Add(time.Duration(float64(uncached) / e.speed * float64(time.Millisecond)))
	first := e.busyUntil.Add(time.Duration((6 + 4*f.random.Float64()) * float64(time.Millisecond))).Sub(f.now)
	f.schedule(first, func() { daemon.Update(f.now, dispatcher.ResponseStarted{Ticket: send.Ticket}) })
	f.schedule(first+generation, func() {
		daemon.Update(f.now, dispatcher.AttemptEnded{Ticket: send.Ticket, Result: dispatcher.Completed})
		f.schedule(wait, next)
	})
}

// BenchmarkMoves reports the share of the sessions' turns in percent that go to another target than the
// turn before: while the targets stay, in the 5 s after two targets have joined 18, and after they have
// left again. Callers keep their daemon, or each turn reaches a random one.
func BenchmarkMoves(b *testing.B) {
	const pause, settle, window = 2 * time.Second, time.Minute, 5 * time.Second
	share := func(turns, moves int) float64 { return 100 * float64(moves) / float64(max(1, turns)) }
	for _, callers := range []string{"keep", "change"} {
		for _, sessions := range []int{60, 200, 500} {
			b.Run(fmt.Sprintf("callers %s daemons/%d sessions", callers, sessions), func(b *testing.B) {
				var steady, join, joined, leave float64
				for b.Loop() {
					f := newFleet(8, targets(18)...)
					f.callersKeepDaemon = callers == "keep"
					f.startSessions(sessions, pause)
					f.runFor(settle)
					steady = share(f.runFor(settle))
					f.setTargets(targets(20)...)
					join = share(f.runFor(window))
					f.runFor(settle)
					joined = share(f.runFor(settle))
					f.setTargets(targets(18)...)
					leave = share(f.runFor(window))
				}
				b.ReportMetric(steady, "%steady")
				b.ReportMetric(join, "%join")
				b.ReportMetric(joined, "%steady-after-join")
				b.ReportMetric(leave, "%leave")
			})
		}
	}
}
