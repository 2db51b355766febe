package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Tokens of the example on the platform's page: a budget of eight turns.
const (
	tokensPerEvent = 24
	eventsOfTurn   = 24
	mostOfTurn     = tokensPerEvent * eventsOfTurn
	budgetTokens   = 8 * mostOfTurn
)

// budgetProgram is a program whose turns use all the tokens that they may.
type budgetProgram struct {
	name, previous string
	keeps          bool
	began          time.Time
	aim            time.Duration
	turns          int
	handed         int
	history        []byte
	// lastAttempt is the ID of the last attempt.
	lastAttempt string
}

// turn sends one turn and counts the tokens that the client got.
func (p *budgetProgram) turn(ctx context.Context, b *bed, address string) answer {
	p.turns++
	input := fmt.Appendf(nil, "Turn %d of %s.\n", p.turns, p.name)
	a := attempt{
		id: newID("a"), program: p.name, previous: p.previous, host: turnHost, path: turnPath, budget: budgetTokens, most: mostOfTurn,
		deadline: clientDeadline, finish: max(0, p.aim-time.Since(p.began)), body: append(append([]byte(nil), p.history...), input...),
	}
	p.lastAttempt = a.id
	got := send(ctx, b.record, address, &a, nil)
	p.handed += tokensPerEvent * len(got.data)
	if got.complete && p.keeps {
		p.previous = a.id
	}
	if got.complete && !p.keeps {
		// The client sends what was said before.
		p.history = append(p.history, input...)
		for _, d := range got.data {
			p.history = append(append(p.history, d...), '\n')
		}
	}
	return got
}

// together plays programs at once and joins their errors.
func together(programs []*budgetProgram, play func(p *budgetProgram) error) error {
	var group sync.WaitGroup
	errs := make([]error, len(programs))
	for i, p := range programs {
		group.Go(func() { errs[i] = play(p) })
	}
	group.Wait()
	return errors.Join(errs...)
}

// startTwoZones starts daemons and runners of a service in two zones of a region.
func startTwoZones(ctx context.Context, b *bed, service string) error {
	for _, zone := range []string{"nl-ams", "nl-ams", "nl-ehv"} {
		if err := b.addRunner(service, zone, eventsOfTurn, 2*time.Millisecond); err != nil {
			return err
		}
	}
	for _, m := range [][2]string{{"front-nl-ams-1", "nl-ams"}, {"front-nl-ams-2", "nl-ams"}, {"front-nl-ehv-1", "nl-ehv"}} {
		if _, err := b.startDaemon(ctx, m[0], m[1]); err != nil {
			return err
		}
	}
	return pause(ctx, 2*time.Second)
}

// The times and doses of the case grant-twice: the store answers 60 times as slowly for 4.5 s, as in
// the site file.
const (
	pauseOfProgram = 62 * time.Second
	slowFactor     = 60
	slowTime       = 4500 * time.Millisecond
)

func init() { cases["grant-twice"] = grantTwice }

// grantTwice lets programs pause for a minute between two turns. With trouble, the store is slow when
// they go on. The clients must not get more tokens than the budget and the most of one turn.
func grantTwice(ctx context.Context, b *bed, trouble bool) (bool, error) {
	if err := startTwoZones(ctx, b, "drafter"); err != nil {
		return false, err
	}
	var programs []*budgetProgram
	for i := range 6 {
		programs = append(programs, &budgetProgram{name: fmt.Sprintf("p%d", i), began: time.Now(), aim: 3 * time.Minute})
	}
	daemonOf := func(p *budgetProgram) string { return b.daemons[int(p.name[1]-'0')%len(b.daemons)].front() }
	err := together(programs, func(p *budgetProgram) error {
		for range 2 {
			if got := p.turn(ctx, b, daemonOf(p)); !got.complete {
				return fmt.Errorf("program %s: turn %d not served", p.name, p.turns)
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	b.record.line("pause     the programs pause for %v", pauseOfProgram)
	if err := pause(ctx, pauseOfProgram); err != nil {
		return false, err
	}
	if trouble {
		b.record.line("trouble   the store answers %d times as slowly for %v", slowFactor, slowTime)
		b.store.setSlow(slowFactor)
		time.AfterFunc(slowTime, func() {
			b.store.setSlow(1)
			b.record.line("trouble   the store is fast again")
		})
	}
	err = together(programs, func(p *budgetProgram) error {
		// A turn that was refused is sent again, as clients do; 402 ends the program.
		for tries := 0; tries < 30 && ctx.Err() == nil; tries++ {
			switch got := p.turn(ctx, b, daemonOf(p)); {
			case got.status == 402:
				return nil
			case !got.complete:
				time.Sleep(300 * time.Millisecond)
			}
		}
		return ctx.Err()
	})
	isBroken := false
	for _, p := range programs {
		b.record.line("program   %s: %d tokens handed out, budget %d, most of one turn %d", p.name, p.handed, budgetTokens, mostOfTurn)
		if p.handed > budgetTokens+mostOfTurn {
			isBroken = true
			b.record.line("BROKEN    %s got %d tokens more than its budget and the most of one turn", p.name, p.handed-budgetTokens-mostOfTurn)
		}
	}
	return isBroken, err
}
