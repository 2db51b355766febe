package sequencer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// BenchmarkTurn measures one turn of 14 KB, from request to response, with the 630
// programs that a daemon owns at full scale.
func BenchmarkTurn(b *testing.B) {
	const programs = 630
	s := New(Options{ShardsPerDomain: 1}, func(v Violation) { b.Fatal(v) })
	now := time.Unix(1_700_000_000, 0)
	s.Update(now, ShardAcquired{Shard: "nl-ams/0", Epoch: 1})
	text := strings.Repeat("word ", 1400)
	run := func(commands []Command) {
		for len(commands) > 0 {
			c := commands[0]
			commands = commands[1:]
			switch c := c.(type) {
			case AppendRecords:
				commands = append(commands, s.Update(now, RecordsCommitted{Ticket: c.Ticket})...)
			case DispatchAttempt:
				commands = append(commands, s.Update(now, AttemptFinished{
					CallID: c.CallID, Attempt: c.Attempt, Outcome: OutcomeDone, Result: Result{Text: text},
				})...)
			case StoreSegment:
				commands = append(commands, s.Update(now, SegmentStored{Program: c.Program, Name: c.Name})...)
			}
		}
	}
	for i := 0; b.Loop(); i++ {
		generation := i / (programs * 60) // new programs before the turns run out
		run(s.Update(now, CallArrived{Request: CallRequest{
			ID: fmt.Sprint(i), Client: "c", Service: "s", Program: fmt.Sprintf("nl-ams-%dy%d", i%programs, generation), NewProgram: true,
			Kind: KindModel, Repeatable: true, Append: true, Messages: []provider.ChatMessage{{Role: "user", Content: text}},
		}}))
		if i%100 == 0 {
			now = now.Add(time.Second)
			s.Update(now, Tick{})
		}
	}
}
