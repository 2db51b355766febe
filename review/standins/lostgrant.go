package main

import (
	"context"
	"fmt"
	"time"
)

// The times of the case lost-grant: the machine is gone for longer than contact_ms before the tries
// that count, and a new one comes at another address after 2 s.
const (
	newMachineAfter = 2 * time.Second
	afterKill       = 5 * time.Second
	// triesOfTurn is how often a client sends a turn: two attempts, and twice more from its start.
	triesOfTurn = 6
	// countedTries is the number of tries without a run from which the rule is broken.
	countedTries = 5
)

func init() { cases["lost-grant"] = lostGrant }

// lostGrant lets programs have their first turn at one machine, which is then gone for good. They go
// on at the others. Each turn that continues a whole one has to reach a runner while the program's
// budget holds it.
func lostGrant(ctx context.Context, b *bed, trouble bool) (bool, error) {
	if err := startTwoZones(ctx, b, "drafter"); err != nil {
		return false, err
	}
	var programs []*budgetProgram
	for i := range 6 {
		programs = append(programs, &budgetProgram{name: fmt.Sprintf("p%d", i), keeps: true, began: time.Now(), aim: 12 * time.Second})
	}
	first := b.daemons[0]
	err := together(programs, func(p *budgetProgram) error {
		if got := p.turn(ctx, b, first.front()); !got.complete {
			return fmt.Errorf("program %s: first turn not served", p.name)
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	if trouble {
		b.record.line("trouble   %s is gone for good", first.name)
		first.expected = true
		first.kill()
	}
	if err := pause(ctx, newMachineAfter); err != nil {
		return false, err
	}
	if trouble {
		if _, err := b.startDaemon(ctx, "front-nl-ams-3", "nl-ams"); err != nil {
			return false, err
		}
	}
	if err := pause(ctx, afterKill-newMachineAfter); err != nil {
		return false, err
	}
	daemonOf := func(p *budgetProgram) string { return b.daemons[1+int(p.name[1]-'0')%2].front() }
	unserved := make([]int, len(programs))
	err = together(programs, func(p *budgetProgram) error {
		for p.handed+mostOfTurn <= budgetTokens {
			served, reached := false, 0
			for tries := 0; tries < triesOfTurn && !served; tries++ {
				got := p.turn(ctx, b, daemonOf(p))
				reached += len(b.runsOf(p.lastAttempt))
				if served = got.complete; served {
					break
				}
				if got.status == 402 {
					b.record.line("program   %s was told that its budget is spent after %d of %d tokens", p.name, p.handed, budgetTokens)
					return nil
				}
				time.Sleep(400 * time.Millisecond)
			}
			if !served {
				if reached == 0 {
					unserved[int(p.name[1]-'0')] = triesOfTurn
				}
				b.record.line("program   %s fails: its turn after %d of %d tokens was tried %d times and reached %d runners", p.name, p.handed,
					budgetTokens, triesOfTurn, reached)
				return nil
			}
		}
		b.record.line("program   %s got all its turns: %d of %d tokens", p.name, p.handed, budgetTokens)
		return nil
	})
	if err != nil {
		return false, err
	}
	// First turns at the same time.
	firstTurns, served := 10, 0
	for i := range firstTurns {
		p := &budgetProgram{name: fmt.Sprintf("q%d", i), keeps: true, began: time.Now(), aim: 12 * time.Second}
		if got := p.turn(ctx, b, b.daemons[1+i%2].front()); got.complete {
			served++
		}
	}
	tries := 0
	for _, n := range unserved {
		tries += n
	}
	b.record.line("counted   %d tries of turns after a whole one reached no runner; %d of %d first turns were served", tries, served, firstTurns)
	isBroken := tries >= countedTries && served*10 >= firstTurns*9
	if isBroken {
		b.record.line("BROKEN    turns that continue a whole turn reach no runner")
	}
	return isBroken, nil
}
