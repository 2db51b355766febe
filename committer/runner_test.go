package committer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/emulator"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// Guards against appends that are lost, repeated, reordered or never reported when
// requests to the store and its responses are lost or late, against wrong counts of
// pending records, and against a Run that does not return after the release.
func TestRunnerUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults := emulator.NewFaults(5)
		tables := emulator.NewTableStore(emulator.TableStoreOptions{}, faults)
		objects := emulator.NewObjectStore(faults)
		var mutex sync.Mutex
		var committed []string
		runner := NewRunner(New(Options{Host: "a", Incarnation: "i", MaxPendingRecords: 20, MaxRecordBytes: 100}),
			Stores{tables.ForCaller("a"), objects.ForCaller("a")}, wallClock{}, func(command Command) {
				mutex.Lock()
				defer mutex.Unlock()
				switch c := command.(type) {
				case TicketCommitted:
					committed = append(committed, fmt.Sprint(c.Ticket))
				case TicketDropped, TicketRejected, LeaseLost:
					t.Errorf("unexpected %T", c)
				}
			})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			runner.Run(context.Background())
		}()
		time.Sleep(time.Second)
		faults.SetDelay(5*time.Millisecond, 10*time.Millisecond)
		faults.SetRequestLoss(0.15)
		faults.SetResponseLoss(0.15)
		faults.SetLateRequests(0.1, 4*time.Second)
		faults.SetLateResponses(0.1, 4*time.Second)
		var want []string
		rejected := 0
		for ticket := Ticket(1); ticket <= 200; ticket++ {
			request := records(ticket, fmt.Sprint(ticket)+strings.Repeat(" ", int(ticket)))
			for runner.Append(request) != nil {
				rejected++
				time.Sleep(100 * time.Millisecond)
			}
			want = append(want, fmt.Sprint(ticket))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(10 * time.Minute)
		faults.Clear()
		time.Sleep(10 * time.Second)
		if rejected == 0 || runner.BacklogRatio() != 0 || !runner.LeaseValid() {
			t.Errorf("rejected %d, backlog ratio %v, lease valid %v", rejected, runner.BacklogRatio(), runner.LeaseValid())
		}
		runner.Send(ReleaseRequested{})
		<-ended
		var failure *Error
		if err := runner.Append(records(1, "x")); !errors.As(err, &failure) || failure.Kind() != KindStopped || runner.LeaseValid() {
			t.Errorf("append after the release: %v, lease valid %v", err, runner.LeaseValid())
		}
		if diff := cmp.Diff(want, committed); diff != "" {
			t.Errorf("committed (-want +got):\n%s", diff)
		}
		var logged []string
		for _, row := range tables.Rows(TableLog, "", "", 0) {
			batch, err := DecodeBatch(row.Value)
			if err != nil {
				t.Fatal(err)
			}
			for _, record := range batch.Records {
				body := record.Body
				if record.Object != "" {
					value, err := objects.ForCaller("a").Get(t.Context(), record.Object)
					if err != nil {
						t.Fatal(err)
					}
					body = string(value)
				}
				logged = append(logged, strings.TrimSpace(body))
			}
		}
		if diff := cmp.Diff(want, logged); diff != "" {
			t.Errorf("logged (-want +got):\n%s", diff)
		}
	})
}
