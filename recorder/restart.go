package recorder

import (
	"context"
	"fmt"

	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// taskPanicked reports the panic of a task, whose result the state machines would wait for in vain.
type taskPanicked struct{ recovered *panics.Recovered }

func (taskPanicked) message() {}

// spawn runs a task. Its panic ends the loop, so that the state machines are built anew.
func (r *Recorder) spawn(ctx context.Context, task func()) {
	r.tasks.Go(func() {
		if recovered := panics.Try(task); recovered != nil {
			r.send(ctx, taskPanicked{recovered})
		}
	})
}

// Rebuild replaces the state machines after a panic in Run, which must have returned. All that waits
// for them is answered: turns and budgets in the store are read anew. The tokens that this daemon had
// count as lost, like those of a process that has ended.
func (r *Recorder) Rebuild() {
	r.rebuilds++
	r.queues = map[string]*partitionQueue{}
	r.down.Store(&partitionSet{})
	r.queueCount.Store(0)
	// Another name, so that rows of the earlier state are not taken for those of the new one.
	incarnation := fmt.Sprintf("%s/%d", r.options.Incarnation, r.rebuilds)
	r.budgets = accountant.New(r.options.Accountant, r.options.Host, incarnation)
	clear(r.budgetWrites)
	for ticket, reply := range r.reserveReplies {
		reply <- accountant.Decision{Ticket: ticket, Verdict: accountant.Unavailable}
	}
	clear(r.reserveReplies)
	for ticket, reply := range r.lendReplies {
		reply <- accountant.Lend{Ticket: ticket}
	}
	clear(r.lendReplies)
	for _, reply := range r.submitReplies {
		reply <- batcher.Outcome{Kind: provider.KindUnknown}
	}
	clear(r.submitReplies)
	dropped := r.dropResults()
	r.log.Warn("state of turns and budgets rebuilt", zap.String("incarnation", incarnation), zap.Int("droppedMessages", dropped))
}

// dropResults removes the results of earlier tasks from the inbox and returns their number. Other
// messages stay: those that wait concern callers.
func (r *Recorder) dropResults() int {
	dropped := 0
	for range len(r.inbox) {
		m := <-r.inbox
		switch m := m.(type) {
		case partitionMessage, taskPanicked, secondWritten:
			dropped++
			continue
		case budgetMessage:
			switch m.Message.(type) {
			case accountant.WriteCompleted, accountant.ReadCompleted, accountant.TokensReceived:
				dropped++
				continue
			}
		}
		select {
		case r.inbox <- m:
		default:
			// The inbox has filled up meanwhile; the caller's own timeout applies.
			dropped++
		}
	}
	return dropped
}
