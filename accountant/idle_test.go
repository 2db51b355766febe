package accountant_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Guards against programs that stay in memory for a minute although none of their turns was admitted.
func TestRefusedProgramsAreForgotten(t *testing.T) {
	options := accountant.DefaultOptions()
	tests := []struct {
		name   string
		budget int
		read   provider.Kind
		// after are the programs in memory once the refusal is old.
		after int
	}{
		{"no budget", 0, provider.KindNone, 0},
		{"store unavailable", 0, provider.KindUnavailable, 0},
		{"admitted", 100, provider.KindNone, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state, now := accountant.New(options, "host", "me"), start
			state.Update(now, requested(1, test.budget, 10))
			state.Update(now, accountant.WriteCompleted{Program: "p", Version: 1})
			state.Update(now, accountant.ReadCompleted{Program: "p", Kind: test.read})
			state.Update(now, accountant.Tick{})
			during := state.ProgramCount()
			state.Update(now.Add(options.MaxStaleness), accountant.Tick{})
			if diff := cmp.Diff([]int{1, test.after}, []int{during, state.ProgramCount()}); diff != "" {
				t.Errorf("programs in memory at once and after %s (-want +got):\n%s", options.MaxStaleness, diff)
			}
			if (state.Bytes() == 0) != (test.after == 0) {
				t.Errorf("%d programs take %d bytes", state.ProgramCount(), state.Bytes())
			}
		})
	}
}

// Guards against programs with long names that exceed the memory of a host, against the loss of those with running
// turns, and against tokens that are lost with programs that are removed early.
func TestMemoryOfProgramsIsBounded(t *testing.T) {
	const (
		names     = 1000
		nameBytes = 14_000
		maxBytes  = 1 << 20
	)
	options := accountant.DefaultOptions()
	options.MaxBytes = maxBytes
	state, now := accountant.New(options, "host", "me"), start
	writes, granted := map[string]int{}, 0
	verdicts := map[accountant.Verdict]int{}
	// update answers all writes with success.
	var update func(m accountant.Message)
	update = func(m accountant.Message) {
		for _, c := range state.Update(now, m) {
			switch c := c.(type) {
			case accountant.Write:
				writes[c.Program]++
				update(accountant.WriteCompleted{Program: c.Program, Version: int64(writes[c.Program])})
			case accountant.Decision:
				verdicts[c.Verdict]++
				if c.Verdict == accountant.Admitted {
					granted++
				}
			}
		}
	}
	reserve := func(program string) bool {
		before := granted
		update(accountant.ReservationRequested{Ticket: 1, Program: program, Budget: 1000, Tokens: 10})
		return granted > before
	}
	if !reserve("running") {
		t.Fatal("the first program is refused")
	}
	largest := 0
	for i := range names {
		program := fmt.Sprint(i, strings.Repeat("n", nameBytes))
		if reserve(program) {
			update(accountant.TurnFinished{Program: program, Reserved: 10, Used: 10})
		}
		largest = max(largest, state.Bytes())
		now = now.Add(10 * time.Millisecond)
		if i%25 == 0 {
			update(accountant.Tick{})
		}
	}
	if largest > maxBytes {
		t.Errorf("programs took %d bytes, want at most %d", largest, maxBytes)
	}
	if verdicts[accountant.Admitted] < names/2 {
		t.Errorf("verdicts %v, want at least %d admitted", verdicts, names/2)
	}
	// A program is removed once it has returned its unused tokens in a second write.
	returned := 0
	for _, n := range writes {
		returned += n - 1
	}
	if removed := granted - state.ProgramCount(); returned < removed {
		t.Errorf("%d programs were removed, %d have returned tokens", removed, returned)
	}
	for _, c := range state.Update(now, accountant.BorrowRequested{Ticket: 1, Program: "running", Tokens: 1}) {
		if c.(accountant.Lend).UnknownProgram {
			t.Error("a program with a running turn was removed")
		}
	}
	update(accountant.Tick{})
	update(accountant.Tick{})
	if !reserve("ordinary") {
		t.Error("an ordinary program is refused after the others")
	}
}
