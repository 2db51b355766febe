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

// leavingBound is the time after which a leaving target must get no more calls.
const leavingBound = 3 * time.Second

// Invariants, by their names in reports.
const (
	checkOrder         = "order"
	checkHistory       = "history"
	checkBudget        = "budget"
	checkMemory        = "memory"
	checkResponse      = "answer"
	checkNotRun        = "notRun"
	checkAtMostOnce    = "atMostOnce"
	checkLeaving       = "leaving"
	checkPlannedStop   = "gracefulStop"
	checkConfiguration = "configuration"
	checkDaemon        = "daemon"
)

// inspector compares the calls that targets receive with the responses that callers get.
type inspector struct {
	tally  *tallier.Tally
	ledger *emulator.Ledger

	mu           sync.Mutex
	history      map[string][]provider.ChatMessage // turns that callers got as done, by program
	keyByBody    map[string]string                 // idempotency key at the target, by body
	leavingSince map[string]time.Time              // by target
	endedAt      map[string]time.Time              // time of the acknowledged end, by program
	usedTokens   map[string]int                    // tokens of turns that callers got as done, by root program
}

func newInspector(t *tallier.Tally, ledger *emulator.Ledger) *inspector {
	return &inspector{
		tally: t, ledger: ledger, history: map[string][]provider.ChatMessage{}, keyByBody: map[string]string{},
		leavingSince: map[string]time.Time{}, endedAt: map[string]time.Time{}, usedTokens: map[string]int{},
	}
}

// observeGenerate checks a call that an engine receives. The messages carry the label of their
// program and the number of their turn, which reveals lost, reordered and foreign turns.
func (i *inspector) observeGenerate(target string, h *host, request provider.GenerateRequest) {
	i.mu.Lock()
	history := i.history[request.Program]
	i.mu.Unlock()
	i.checkNotLeaving(target, h)
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
		name, turn := parseContent(m.Content)
		if label == "" {
			label = name
		}
		i.tally.Check(checkHistory, name == label, "message %d of %s belongs to %s, the first to %s",
			n, request.Program, name, label)
		i.tally.Check(checkOrder, turn == n/2+1, "message %d of %s is turn %d", n, request.Program, turn)
	}
	known := min(len(history), len(request.Messages))
	i.tally.Check(checkHistory, slices.Equal(history[:known], request.Messages[:known]),
		"history sent for %s differs from the responses that its caller got", request.Program)
}

// messageContent returns the content of a user message.
func messageContent(label string, turn int, filler string) string {
	return fmt.Sprintf("%s|%d|%s", label, turn, filler)
}

// parseContent returns the label and the turn in the content of a user message.
func parseContent(content string) (label string, turn int) {
	parts := strings.SplitN(content, "|", 3)
	if len(parts) < 2 {
		return content, 0
	}
	_, _ = fmt.Sscan(parts[1], &turn)
	return parts[0], turn
}

// observeInvoke checks a call that a plain service receives.
func (i *inspector) observeInvoke(target string, h *host, request provider.InvokeRequest) {
	i.checkNotLeaving(target, h)
	i.tally.Count("service calls", 1)
	if request.IdempotencyKey == "" {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	body := string(request.Body)
	previousKey, seen := i.keyByBody[body]
	i.keyByBody[body] = request.IdempotencyKey
	i.tally.Check(checkAtMostOnce, !seen || previousKey == request.IdempotencyKey, "one request reached targets with keys %q and %q", previousKey, request.IdempotencyKey)
}

// checkNotLeaving checks that a target gets no calls once it has been leaving for leavingBound.
// A host that was paused in the meantime is exempt, since it may send calls placed before the
// pause.
func (i *inspector) checkNotLeaving(target string, h *host) {
	i.mu.Lock()
	since, leaving := i.leavingSince[target]
	i.mu.Unlock()
	leaving = leaving && h.pauseEnded.Load() < since.UnixNano()
	elapsed := time.Since(since)
	i.tally.Check(checkLeaving, !leaving || elapsed <= leavingBound, "%s got a call %s after it began to leave", target, elapsed)
}

// setLeaving records whether a target is leaving. It reports false if on is true and the target
// is already leaving.
func (i *inspector) setLeaving(target string, on bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, leaving := i.leavingSince[target]; leaving && on {
		return false
	}
	if on {
		i.leavingSince[target] = time.Now()
	} else {
		delete(i.leavingSince, target)
	}
	return true
}

// recordTurn records a turn whose response the caller got as done, and checks the budget.
func (i *inspector) recordTurn(p *program, user, assistant provider.ChatMessage, tokens int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.history[p.id] = append(i.history[p.id], user, assistant)
	i.usedTokens[p.rootID] += tokens
	if p.budget > 0 {
		i.tally.Check(checkBudget, i.usedTokens[p.rootID] <= p.budget, "%s used %d tokens of %d", p.rootID, i.usedTokens[p.rootID], p.budget)
	}
}

// recordProgramEnd records that the end of a program was acknowledged.
func (i *inspector) recordProgramEnd(program string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.endedAt[program] = time.Now()
}

// runCount returns the number of runs of the call with the given body.
func (i *inspector) runCount(body string) int {
	i.mu.Lock()
	key, seen := i.keyByBody[body]
	i.mu.Unlock()
	if !seen {
		return 0
	}
	return i.ledger.Runs()[key]
}

// checkRuns checks at the end of the run that no call with an idempotency key ran twice.
func (i *inspector) checkRuns() {
	for key, runs := range i.ledger.Runs() {
		i.tally.Check(checkAtMostOnce, runs <= 1, "key %q ran %d times", key, runs)
	}
}

// countHeld returns the number of ended programs for which engines still hold memory, counted
// once for each engine.
func (i *inspector) countHeld(engines []*emulator.Engine) int {
	n := 0
	for _, engine := range engines {
		programs, _ := engine.HeldPrograms(context.Background())
		i.mu.Lock()
		for _, program := range programs {
			if _, ended := i.endedAt[program]; ended {
				n++
			}
		}
		i.mu.Unlock()
	}
	return n
}

// checkMemory checks that engines hold no memory for ended programs.
func (i *inspector) checkMemory(engines []*emulator.Engine) {
	for _, engine := range engines {
		held, err := engine.HeldPrograms(context.Background())
		if err != nil {
			i.tally.Check(checkMemory, false, "%s cannot list the programs that it holds: %v", engine.Name(), err)
			continue
		}
		for _, program := range held {
			i.mu.Lock()
			endedAt, ended := i.endedAt[program]
			i.mu.Unlock()
			i.tally.Check(checkMemory, !ended, "%s holds memory for %s, ended %s ago", engine.Name(), program, time.Since(endedAt))
		}
	}
}
