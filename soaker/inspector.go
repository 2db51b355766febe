package soaker

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/tallier"
)

// leavingBound is the time after which a leaving target must get nothing new.
const leavingBound = 3 * time.Second

// Invariants, as named in reports.
const (
	checkOrder   = "order"
	checkHistory = "history"
	checkBudget  = "budget"
	checkMemory  = "memory"
	checkAnswer  = "answer"
	checkNotRun  = "notRun"
	checkOnce    = "atMostOnce"
	checkLeaving = "leaving"
	checkStop    = "gracefulStop"
	checkConfig  = "configuration"
	checkInside  = "daemon"
)

// inspector sees what targets are asked and what callers are told.
type inspector struct {
	tally  *tallier.Tally
	ledger *emulator.Ledger

	mu      sync.Mutex
	told    map[string][]provider.ChatMessage // by program, the turns told as done
	bodies  map[string]string                 // key towards the target, by body
	leaving map[string]time.Time
	ended   map[string]time.Time
	spent   map[string]int // by root, the usage of answers told as done
}

func newInspector(t *tallier.Tally, ledger *emulator.Ledger) *inspector {
	return &inspector{
		tally: t, ledger: ledger, told: map[string][]provider.ChatMessage{}, bodies: map[string]string{},
		leaving: map[string]time.Time{}, ended: map[string]time.Time{}, spent: map[string]int{},
	}
}

// generated checks a call that an engine gets: messages are numbered by program
// and step, so that order, loss and mixing show.
func (i *inspector) generated(target string, h *host, request provider.GenerateRequest) {
	i.mu.Lock()
	told := i.told[request.Program]
	i.mu.Unlock()
	i.checkTarget(target, h)
	i.tally.Count("engine calls", 1)
	label := ""
	for n, m := range request.Messages {
		if n%2 == 0 != (m.Role == "user") {
			i.tally.Check(checkHistory, false, "message %d of %s has role %s", n, request.Program, m.Role)
			return
		}
		if m.Role != "user" {
			continue
		}
		dialogue, turn := parseLabel(m.Content)
		if label == "" {
			label = dialogue
		}
		i.tally.Check(checkHistory, dialogue == label, "message %d of %s belongs to %s, the first to %s",
			n, request.Program, dialogue, label)
		i.tally.Check(checkOrder, turn == n/2+1, "message %d of %s is turn %d", n, request.Program, turn)
	}
	known := min(len(told), len(request.Messages))
	i.tally.Check(checkHistory, slices.Equal(told[:known], request.Messages[:known]),
		"%s is sent a history that differs from the answers that its caller got", request.Program)
}

// labelOf is the content of a user's message.
func labelOf(dialogue string, turn int, filler string) string {
	return fmt.Sprintf("%s|%d|%s", dialogue, turn, filler)
}

func parseLabel(content string) (dialogue string, turn int) {
	parts := strings.SplitN(content, "|", 3)
	if len(parts) < 2 {
		return content, 0
	}
	_, _ = fmt.Sscan(parts[1], &turn)
	return parts[0], turn
}

func (i *inspector) invoked(target string, h *host, request provider.InvokeRequest) {
	i.checkTarget(target, h)
	i.tally.Count("service calls", 1)
	if request.IdempotencyKey == "" {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	body := string(request.Body)
	before, seen := i.bodies[body]
	i.bodies[body] = request.IdempotencyKey
	i.tally.Check(checkOnce, !seen || before == request.IdempotencyKey, "one request reaches targets under keys %q and %q", before, request.IdempotencyKey)
}

// checkTarget checks that a target that leaves gets nothing new. A host that was
// paused meanwhile sends what it had decided before.
func (i *inspector) checkTarget(target string, h *host) {
	i.mu.Lock()
	since, leaving := i.leaving[target]
	i.mu.Unlock()
	leaving = leaving && h.paused.Load() < since.UnixNano()
	late := time.Since(since)
	i.tally.Check(checkLeaving, !leaving || late <= leavingBound, "%s gets new work %s after it began to leave", target, late)
}

// setLeaving reports false when the target is leaving already.
func (i *inspector) setLeaving(target string, on bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, leaving := i.leaving[target]; leaving && on {
		return false
	}
	if on {
		i.leaving[target] = time.Now()
	} else {
		delete(i.leaving, target)
	}
	return true
}

// toldDone records a turn that a caller was told is done.
func (i *inspector) toldDone(d *dialogue, user, assistant provider.ChatMessage, tokens int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.told[d.program] = append(i.told[d.program], user, assistant)
	i.spent[d.root] += tokens
	if d.budget > 0 {
		i.tally.Check(checkBudget, i.spent[d.root] <= d.budget, "%s used %d tokens of %d", d.root, i.spent[d.root], d.budget)
	}
}

func (i *inspector) programEnded(program string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended[program] = time.Now()
}

// runs returns how often the call with this body ran.
func (i *inspector) runs(body string) int {
	i.mu.Lock()
	key, seen := i.bodies[body]
	i.mu.Unlock()
	if !seen {
		return 0
	}
	return i.ledger.Runs()[key]
}

// checkRuns checks, at the end, that no call that may not be repeated was.
func (i *inspector) checkRuns() {
	for key, runs := range i.ledger.Runs() {
		i.tally.Check(checkOnce, runs <= 1, "key %q ran %d times", key, runs)
	}
}

// held counts what engines hold for ended programs.
func (i *inspector) held(engines []*emulator.Engine) int {
	n := 0
	for _, engine := range engines {
		programs, _ := engine.HeldPrograms(context.Background())
		i.mu.Lock()
		for _, program := range programs {
			if _, over := i.ended[program]; over {
				n++
			}
		}
		i.mu.Unlock()
	}
	return n
}

// checkMemory checks that engines hold nothing for ended programs.
func (i *inspector) checkMemory(engines []*emulator.Engine) {
	for _, engine := range engines {
		held, err := engine.HeldPrograms(context.Background())
		if err != nil {
			i.tally.Check(checkMemory, false, "%s does not list what it holds: %v", engine.Name(), err)
			continue
		}
		for _, program := range held {
			i.mu.Lock()
			ended, over := i.ended[program]
			i.mu.Unlock()
			i.tally.Check(checkMemory, !over, "%s holds memory for %s, ended %s ago", engine.Name(), program, time.Since(ended))
		}
	}
}
