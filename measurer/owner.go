package measurer

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
)

// OwnerSample is the load of the programs that one daemon owns.
type OwnerSample struct {
	Programs int `json:"programs"`
	Turns    int `json:"turns"`
	Shards   int `json:"shards"`
	// BytesPerProgram is heap memory, MicrosPerCall the time that the sequencer takes for
	// one call from arrival to response, MicrosPerTick the time for one tick.
	BytesPerProgram float64 `json:"bytesPerProgram"`
	MicrosPerCall   float64 `json:"microsPerCall"`
	MicrosPerTick   float64 `json:"microsPerTick"`
	// LogBytesPerCall is the size of the log records of one call.
	LogBytesPerCall float64 `json:"logBytesPerCall"`
	RecordsPerCall  float64 `json:"recordsPerCall"`
}

// ownerDomain is the failure domain of the measured programs.
const ownerDomain = "domain-0"

// turnBytes is the size of the text that a simulated turn adds in each direction. A
// usual turn is a few sentences; the longest history, of 250,000 tokens over 72 turns,
// has about 14 KB a turn.
const turnBytes = 600

// ownerSimulation drives a sequencer with a log that commits and attempts that finish
// immediately.
type ownerSimulation struct {
	state     *sequencer.State
	now       time.Time
	calls     int
	busy      time.Duration
	logBytes  int
	records   int
	responses int
	segments  int
}

func newOwnerSimulation(shards int) *ownerSimulation {
	r := &ownerSimulation{now: time.Unix(1_700_000_000, 0)}
	r.state = sequencer.New(sequencer.Options{ShardsPerDomain: shards}, func(sequencer.Violation) {})
	for i := range shards {
		r.update(sequencer.ShardAcquired{Shard: fmt.Sprintf("%s/%d", ownerDomain, i), Epoch: 1})
	}
	r.update(sequencer.LeaseChanged{Valid: true})
	r.update(sequencer.StoreReachabilityChanged{Reachable: true})
	return r
}

func (r *ownerSimulation) update(message sequencer.Message) {
	queue := []sequencer.Message{message}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		started := time.Now()
		commands := append([]sequencer.Command(nil), r.state.Update(r.now, next)...)
		r.busy += time.Since(started)
		for _, command := range commands {
			switch c := command.(type) {
			case sequencer.AppendRecords:
				for _, record := range c.Records {
					r.records++
					r.logBytes += len(record.Body) + len(record.Program) + len(record.Shard) + len(record.Kind)
				}
				queue = append(queue, sequencer.RecordsCommitted{Ticket: c.Ticket})
			case sequencer.DispatchAttempt:
				queue = append(queue, sequencer.AttemptFinished{
					CallID: c.CallID, Attempt: c.Attempt, Outcome: sequencer.OutcomeDone,
					Result: sequencer.Result{Text: strings.Repeat("a", turnBytes), Usage: provider.Usage{PromptTokens: 150, CompletionTokens: 150}, Targets: []string{"runner-1"}},
				})
			case sequencer.StoreSegment:
				r.segments++
				queue = append(queue, sequencer.SegmentStored{Program: c.Program, Name: c.Name})
			case sequencer.Response:
				r.responses++
			}
		}
	}
}

func (r *ownerSimulation) call(program string, first bool) {
	r.calls++
	r.update(sequencer.CallArrived{Request: sequencer.CallRequest{
		ID: fmt.Sprintf("call-%d", r.calls), Client: "client", Workspace: "workspace", Service: "drafter",
		Program: program, NewProgram: first, Kind: sequencer.KindModel, Repeatable: true, Append: true, Model: "quill",
		Messages:  []provider.ChatMessage{{Role: "user", Content: strings.Repeat("q", turnBytes)}},
		MaxTokens: 300, PromptTokens: 200, Deadline: r.now.Add(time.Minute),
	}})
}

// MeasureOwners measures the sequencer for each number of programs.
func MeasureOwners(programs []int, turns, shards int) ([]OwnerSample, error) {
	var out []OwnerSample
	for _, n := range programs {
		// Objects with finalizers are freed only by a second collection.
		runtime.GC()
		runtime.GC()
		before := heapBytes()
		r := newOwnerSimulation(shards)
		for turn := range turns {
			for i := range n {
				r.call(fmt.Sprintf("%s-%032x", ownerDomain, i), turn == 0)
				r.now = r.now.Add(time.Millisecond)
			}
		}
		if r.responses != r.calls {
			return nil, fmt.Errorf("sequencer answered %d of %d calls", r.responses, r.calls)
		}
		sample := OwnerSample{
			Programs: n, Turns: turns, Shards: shards, MicrosPerCall: float64(r.busy.Microseconds()) / float64(r.calls),
			LogBytesPerCall: float64(r.logBytes) / float64(r.calls), RecordsPerCall: float64(r.records) / float64(r.calls),
		}
		r.busy = 0
		const ticks = 50
		for range ticks {
			r.now = r.now.Add(time.Second)
			r.update(sequencer.Tick{})
		}
		sample.MicrosPerTick = float64(r.busy.Microseconds()) / ticks
		runtime.GC()
		sample.BytesPerProgram = (heapBytes() - before) / float64(n)
		runtime.KeepAlive(r)
		out = append(out, sample)
	}
	return out, nil
}
