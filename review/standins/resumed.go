package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// The route of the programs in the manifest.
const (
	turnHost = "ficu95.example"
	turnPath = "/lohu930/4b"
)

// The programs of the case resumed-history.
const (
	programsOfDaemon = 4
	resumeAfter      = 5
	turnEvents       = 11
	resetChannels    = 2
	clientDeadline   = 3 * time.Second
)

// wholeTurn is a turn as its client knows it.
type wholeTurn struct {
	// id is the ID of the attempt that ended whole.
	id    string
	input []byte
	data  []string
}

// history returns what a runner has to receive of a turn before the next input.
func (t *wholeTurn) history() []byte {
	text := bytes.Clone(t.input)
	for _, d := range t.data {
		text = append(append(text, d...), '\n')
	}
	return text
}

func init() { cases["resumed-history"] = resumedHistory }

// resumedHistory lets programs of two turns run at three daemons. With trouble, half of the channels
// of one daemon are reset in the middle of the first turn, and the clients resume their streams at
// another daemon. The runner of the second turn has to receive the whole first turn.
func resumedHistory(ctx context.Context, b *bed, trouble bool) (bool, error) {
	for _, zone := range []string{"nl-ams", "nl-ams", "nl-ehv"} {
		if err := b.addRunner("drafter", zone, turnEvents, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	var proxies []*proxy
	for _, m := range [][2]string{{"front-nl-ams-1", "nl-ams"}, {"front-nl-ams-2", "nl-ams"}, {"front-nl-ehv-1", "nl-ehv"}} {
		d, err := b.startDaemon(ctx, m[0], m[1])
		if err != nil {
			return false, err
		}
		p, err := newProxy(fmt.Sprintf("%s:%d", b.network.next(), frontPort), d.front())
		if err != nil {
			return false, err
		}
		b.stops = append(b.stops, p.close)
		proxies = append(proxies, p)
	}
	time.Sleep(time.Second)
	var atFive atomic.Int64
	var once sync.Once
	type outcome struct {
		isBroken bool
		err      error
	}
	outcomes := make(chan outcome)
	for i := range proxies {
		for j := range programsOfDaemon {
			go func() {
				onEvent := func(events int) {
					if !trouble || i != 0 || events != resumeAfter || atFive.Add(1) < programsOfDaemon {
						return
					}
					once.Do(func() {
						b.record.line("trouble   %d of %d channels of %s are reset", resetChannels, programsOfDaemon, b.daemons[0].name)
						proxies[0].reset(resetChannels)
					})
				}
				isBroken, err := resumedProgram(ctx, b, fmt.Sprintf("p%d%d", i, j), proxies[i].address, proxies[(i+1)%len(proxies)].address, onEvent)
				outcomes <- outcome{isBroken, err}
			}()
		}
	}
	isBroken, errs := false, []error(nil)
	for range len(proxies) * programsOfDaemon {
		o := <-outcomes
		isBroken, errs = isBroken || o.isBroken, append(errs, o.err)
	}
	return isBroken, errors.Join(errs...)
}

// resumedProgram plays a program of two turns and compares what the runner of the second one got.
func resumedProgram(ctx context.Context, b *bed, program, first, second string, onEvent func(int)) (bool, error) {
	began := time.Now()
	a := attempt{
		program: program, host: turnHost, path: turnPath, budget: 4608, most: 576, deadline: clientDeadline,
		finish: 10 * time.Second, body: []byte("Draft a quote for " + program + ".\n"),
	}
	turn := wholeTurn{input: a.body}
	address := first
	for tries := 0; ; tries++ {
		if tries == 3 {
			return false, fmt.Errorf("program %s: first turn not served", program)
		}
		a.id, a.finish = newID("a"), 10*time.Second-time.Since(began)
		got := send(ctx, b.record, address, &a, onEvent)
		turn.data = append(turn.data, got.data...)
		if got.complete {
			break
		}
		// The client resumes its stream at another daemon, on a new channel.
		a.lastEvent, onEvent, address = got.lastID, nil, second
		time.Sleep(50 * time.Millisecond)
	}
	turn.id = a.id
	if len(turn.data) != turnEvents {
		return false, fmt.Errorf("program %s: client has %d events", program, len(turn.data))
	}
	next := attempt{
		id: newID("a"), program: program, previous: turn.id, host: turnHost, path: turnPath, budget: 4608, most: 576,
		deadline: clientDeadline, finish: 10*time.Second - time.Since(began), body: []byte("Now send it.\n"),
	}
	if got := send(ctx, b.record, second, &next, nil); !got.complete {
		return false, fmt.Errorf("program %s: second turn not served", program)
	}
	wanted := append(turn.history(), next.body...)
	isBroken := false
	for _, x := range b.runsOf(next.id) {
		if !bytes.Equal(x.body, wanted) {
			isBroken = true
			b.record.line("BROKEN    %s ran %s of program %s with the body %q instead of %q", x.runner, x.id, program, x.body, wanted)
		}
	}
	return isBroken, nil
}
