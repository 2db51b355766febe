package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// The programs of the case long-history. A body has a byte a token.
const (
	runnerTokensPerMs = 50
	sharedTokens      = 12600
	longTurns         = 12
	longTurnTokens    = 15000
	shortTurnTokens   = 1680
	longBudget        = 64 * mostOfTurn
	unitOfText        = "The invoice of the wedding in May is still open. "
)

// conversation is a program whose prompts begin with a part that all share.
type conversation struct {
	name, previous string
	began          time.Time
	aim            time.Duration
	tokens         int
	lastAttempt    string
}

// turn sends the next input. A turn that failed may be sent again.
func (c *conversation) turn(ctx context.Context, b *bed, address string, input int) answer {
	body := make([]byte, 0, input)
	for len(body) < input {
		body = append(body, unitOfText[:min(len(unitOfText), input-len(body))]...)
	}
	session := c.tokens + input
	a := attempt{
		id: newID("a"), program: c.name, previous: c.previous, host: turnHost, path: turnPath, budget: longBudget, most: mostOfTurn,
		deadline: clientDeadline, finish: max(0, c.aim-time.Since(c.began)), body: body,
		prompt: fmt.Sprintf("5c1e07a2:%d,%x:%d", sharedTokens, c.name, session), promptTokens: sharedTokens + session,
	}
	c.lastAttempt = a.id
	got := send(ctx, b.record, address, &a, nil)
	if got.complete {
		c.previous, c.tokens = a.id, session+tokensPerEvent*len(got.data)
	}
	return got
}

func init() { cases["long-history"] = longHistory }

// longHistory lets a long conversation run at one machine, while the others serve short ones. With
// trouble, that machine is gone for good, and the conversation goes on at the others. The runner that
// keeps its prompt would serve it at once.
func longHistory(ctx context.Context, b *bed, trouble bool) (bool, error) {
	if err := startTwoZones(ctx, b, "drafter"); err != nil {
		return false, err
	}
	for _, n := range b.runners {
		n.tokensPerMs = runnerTokensPerMs
	}
	long := &conversation{name: "f0", began: time.Now(), aim: 30 * time.Second}
	longErr := make(chan error, 1)
	go func() {
		for range longTurns {
			if got := long.turn(ctx, b, b.daemons[0].front(), longTurnTokens); !got.complete {
				longErr <- fmt.Errorf("turn of the long conversation not served: %d %s %w", got.status, got.reason, got.err)
				return
			}
		}
		longErr <- nil
	}()
	shortErr := serveShort(ctx, b, "a")
	if err := errors.Join(<-longErr, shortErr); err != nil {
		return false, err
	}
	b.record.line("program   the long conversation has %d turns and %d tokens", longTurns, long.tokens)
	address := []string{b.daemons[1].front(), b.daemons[2].front()}
	if trouble {
		b.record.line("trouble   %s is gone for good", b.daemons[0].name)
		b.daemons[0].expected = true
		b.daemons[0].kill()
	} else {
		address = []string{b.daemons[0].front(), b.daemons[0].front()}
	}
	if err := pause(ctx, afterKill); err != nil {
		return false, err
	}
	tries, reached, served := 0, 0, false
	for ; tries < triesOfTurn && !served; tries++ {
		got := long.turn(ctx, b, address[tries%2], shortTurnTokens)
		reached += len(b.runsOf(long.lastAttempt))
		if served = got.complete; !served {
			time.Sleep(400 * time.Millisecond)
		}
	}
	firstTurns, firstServed := 10, 0
	for i := range firstTurns {
		c := &conversation{name: fmt.Sprintf("e%d", i), began: time.Now(), aim: 10 * time.Second}
		if got := c.turn(ctx, b, b.daemons[1+i%2].front(), shortTurnTokens); got.complete {
			firstServed++
		}
	}
	b.record.line("counted   the turn was tried %d times and reached %d runners; %d of %d first turns were served", tries, reached, firstServed, firstTurns)
	isBroken := !served && reached == 0 && tries >= countedTries && firstServed*10 >= firstTurns*9
	if isBroken {
		b.record.line("BROKEN    a turn that continues a whole turn reaches no runner")
	}
	return isBroken, nil
}

// serveShort plays short conversations at the second and third daemon, a few at a time.
func serveShort(ctx context.Context, b *bed, prefix string) error {
	var group sync.WaitGroup
	errs := make([]error, 8)
	for i := range errs {
		group.Go(func() {
			c := &conversation{name: fmt.Sprintf("%s%d", prefix, i), began: time.Now(), aim: 10 * time.Second}
			time.Sleep(time.Duration(i/2) * 700 * time.Millisecond)
			for range 4 {
				if got := c.turn(ctx, b, b.daemons[1+i%2].front(), shortTurnTokens); !got.complete {
					errs[i] = fmt.Errorf("turn of the short conversation %s not served: %d %s %w", c.name, got.status, got.reason, got.err)
					return
				}
			}
		})
	}
	group.Wait()
	return errors.Join(errs...)
}
