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

// inspector sees what targets are asked and what callers are told.
type inspector struct {
	tally  *tallier.Tally
	ledger *emulator.Ledger

	mu           sync.Mutex
	history      map[string][]provider.ChatMessage // by program, the turns told as done
	keyByBody    map[string]string                 // key towards the target, by body
	leavingSince map[string]time.Time
	endedAt      map[string]time.Time
	usedTokens   map[string]int // by root, the usage of answers told as done
}

func newInspector(t *tallier.Tally, ledger *emulator.Ledger) *inspector {
	return &inspector{
		tally: t, ledger: ledger, history: map[string][]provider.ChatMessage{}, keyByBody: map[string]string{},
		leavingSince: map[string]time.Time{}, endedAt: map[string]time.Time{}, usedTokens: map[string]int{},
	}
}

// generated checks a call that an engine gets: messages are numbered by program
// and step, so that order, loss and mixing show.
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
		"%s is sent a history that differs from the answers that its caller got", request.Program)
}

// labelOf is the content of a user's message.
func messageContent(label string, turn int, filler string) string {
	return fmt.Sprintf("%s|%d|%s", label, turn, filler)
}

func parseContent(content string) (label string, turn int) {
	parts := strings.SplitN(content, "|", 3)
	if len(parts) < 2 {
		return content, 0
	}
	_, _ = fmt.Sscan(parts[1], &turn)
	return parts[0], turn
}

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
	i.tally.Check(checkAtMostOnce, !seen || previousKey == request.IdempotencyKey, "one request reaches targets under keys %q and %q", previousKey, request.IdempotencyKey)
}

// checkTarget checks that a target that leaves gets nothing new. A host that was
// paused meanwhile sends what it had decided before.
func (i *inspector) checkNotLeaving(target string, h *host) {
	i.mu.Lock()
	since, leaving := i.leavingSince[target]
	i.mu.Unlock()
	leaving = leaving && h.pauseEnded.Load() < since.UnixNano()
	elapsed := time.Since(since)
	i.tally.Check(checkLeaving, !leaving || elapsed <= leavingBound, "%s gets new work %s after it began to leave", target, elapsed)
}

// setLeaving reports false when the target is leaving already.
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

// toldDone records a turn that a caller was told is done.
func (i *inspector) recordTurn(p *program, user, assistant provider.ChatMessage, tokens int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.history[p.id] = append(i.history[p.id], user, assistant)
	i.usedTokens[p.rootID] += tokens
	if p.budget > 0 {
		i.tally.Check(checkBudget, i.usedTokens[p.rootID] <= p.budget, "%s used %d tokens of %d", p.rootID, i.usedTokens[p.rootID], p.budget)
	}
}

func (i *inspector) recordProgramEnd(program string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.endedAt[program] = time.Now()
}

// runs returns how often the call with this body ran.
func (i *inspector) runCount(body string) int {
	i.mu.Lock()
	key, seen := i.keyByBody[body]
	i.mu.Unlock()
	if !seen {
		return 0
	}
	return i.ledger.Runs()[key]
}

// checkRuns checks, at the end, that no call that may not be repeated was.
func (i *inspector) checkRuns() {
	for key, runs := range i.ledger.Runs() {
		i.tally.Check(checkAtMostOnce, runs <= 1, "key %q ran %d times", key, runs)
	}
}

// held counts what engines hold for ended programs.
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
			endedAt, ended := i.endedAt[program]
			i.mu.Unlock()
			i.tally.Check(checkMemory, !ended, "%s holds memory for %s, ended %s ago", engine.Name(), program, time.Since(endedAt))
		}
	}
}
