package publisher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
)

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Unix(1_700_000_000, 0) }

func newStore() (*Store, *emulator.Faults) {
	faults := emulator.NewFaults(1)
	return New(emulator.NewTableStore(emulator.TableStoreOptions{}, faults).ForCaller("test"), fixedClock{}), faults
}

func plainService(name string, turns int) encoder.Service {
	return encoder.Service{Name: name, Kind: "plain", Workspace: "w-" + name, Limits: &encoder.Limits{MaxTurns: turns}}
}

// Guards against versions whose content depends on how it is read: rebuilt from the
// audit records or assembled from deltas.
func TestVersionsMatchHoweverRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store, _ := newStore()
		published := []encoder.Document{{}}
		replica := encoder.Document{}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			current, err := store.Document(ctx)
			if err != nil {
				t.Fatal(err)
			}
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			var next encoder.Document
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				next = ReplaceServices(current, nil, []string{"w-" + name})
			case 1:
				next = WithDrain(current, name, "test")
			case 2:
				next = WithoutDrain(current, name)
			default:
				next = ReplaceServices(current, []encoder.Service{plainService(name, rapid.IntRange(1, 3).Draw(t, "turns"))}, nil)
			}
			version, err := store.Publish(ctx, Proposal{From: current.Version, Operator: "o", Action: ActionPublish, Document: next})
			if err != nil {
				t.Fatal(err)
			}
			if version > current.Version {
				next.Version = version
				published = append(published, next)
			}
			if rapid.Bool().Draw(t, "pull") {
				replica = pullDelta(t, store, replica)
			}
		}
		replica = pullDelta(t, store, replica)
		for version, want := range published {
			got, err := store.DocumentAt(ctx, version)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(sectionTexts(want), sectionTexts(got)); diff != "" {
				t.Fatalf("version %d from the audit records (-want +got):\n%s", version, diff)
			}
		}
		last := published[len(published)-1]
		if diff := cmp.Diff(sectionTexts(last), sectionTexts(replica)); diff != "" || replica.Version != last.Version {
			t.Fatalf("version %d by deltas, want %d (-want +got):\n%s", replica.Version, last.Version, diff)
		}
	})
}

func pullDelta(t *rapid.T, store *Store, document encoder.Document) encoder.Document {
	version, sections, full, err := store.Delta(context.Background(), document.Version)
	if err != nil {
		t.Fatal(err)
	}
	if full {
		document = encoder.Document{}
	}
	return Apply(document, version, sections)
}

// Guards against two concurrent publishers that both get a success, and against a
// conflict error without the change that was published first.
func TestOneOfConcurrentPublishersSucceeds(t *testing.T) {
	ctx := context.Background()
	store, _ := newStore()
	const operators = 8
	versions := make([]int, operators)
	errs := make([]error, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() {
			next := ReplaceServices(encoder.Document{}, []encoder.Service{plainService(fmt.Sprintf("s%d", i), 1)}, nil)
			versions[i], errs[i] = store.Publish(ctx, Proposal{Operator: fmt.Sprintf("o%d", i), Document: next})
		})
	}
	group.Wait()
	succeeded := 0
	for i, err := range errs {
		if err == nil {
			succeeded++
			continue
		}
		if !IsConflict(err) || err.(*Error).ConflictingRecord() == nil || versions[i] != 0 {
			t.Errorf("operator %d: error %v, want a conflict with the change that was published first", i, err)
		}
	}
	document, err := store.Document(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]int{1, 1, 1}, []int{succeeded, len(document.Sections), document.Version}); diff != "" {
		t.Errorf("successful publishers, sections, version (-want +got):\n%s", diff)
	}
}

// Guards against a lost response that is reported as a failure, after which the operator
// publishes twice, and against a lost request that is reported as a success.
func TestLostResponse(t *testing.T) {
	tests := []struct {
		name        string
		lose        func(*emulator.Faults)
		wantVersion int
		wantKind    Kind
	}{
		{"response lost", func(f *emulator.Faults) { f.SetResponseLoss(1) }, 1, 0},
		{"request lost", func(f *emulator.Faults) { f.SetRequestLoss(1) }, 0, KindUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store, faults := newStore()
			store.tables = commitHooks{TableStore: store.tables, before: func() { test.lose(faults) }, after: faults.Clear}
			next := ReplaceServices(encoder.Document{}, []encoder.Service{plainService("a", 1)}, nil)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			version, err := store.Publish(ctx, Proposal{Operator: "o", Document: next})
			if diff := cmp.Diff([]any{test.wantVersion, test.wantKind}, []any{version, KindOf(err)}); diff != "" {
				t.Errorf("version and kind (-want +got):\n%s%v", diff, err)
			}
		})
	}
}

// Guards against sections that are empty, repeated, or named differently from their
// content.
func TestCheck(t *testing.T) {
	service := plainService("a", 1)
	tests := []struct {
		name     string
		sections []encoder.Section
		want     Kind
	}{
		{"valid", []encoder.Section{{Name: "service/a", Service: &service}}, 0},
		{"empty section", []encoder.Section{{Name: "service/a"}}, KindInvalid},
		{"wrong name", []encoder.Section{{Name: "service/b", Service: &service}}, KindInvalid},
		{"repeated section", []encoder.Section{{Name: "service/a", Service: &service}, {Name: "service/a", Service: &service}}, KindInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := KindOf(Check(encoder.Document{Sections: test.sections})); got != test.want {
				t.Errorf("Check() kind = %v, want %v", got, test.want)
			}
		})
	}
}
