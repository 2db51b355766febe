package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// largeTurn returns a turn on the route that keeps what was said.
func largeTurn(program, previous string, input []byte) *turn {
	return &turn{program: program, session: program, previous: previous, input: input, maxTokens: 96, finishAt: time.Now().Add(20 * time.Second),
		prefix: segment(4000) + "," + segment(300), target: "/lohu930/4b", deadline: 3 * time.Second, newID: newID}
}

// playMemory: many programs go on at once whose first inputs were large.
func playMemory(c *cluster, trouble bool) (bool, string) {
	c.watchMemory = true
	c.begin(3, 112)
	const programs = 60
	size := 17_000
	if trouble {
		size = 4_000_000
	}
	var mutex sync.Mutex
	var group sync.WaitGroup
	var began []string
	slots := make(chan struct{}, 3)
	for range programs {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			for range 3 {
				one := c.tryTurn(largeTurn("m", "", prose(size)), c.pick(nil))
				if one.answer.ok() {
					mutex.Lock()
					began = append(began, one.id)
					mutex.Unlock()
					return
				}
			}
		})
	}
	group.Wait()
	c.record.line("%d programs have begun; peaks %s", len(began), c.peaks())
	for round := range 10 {
		served := 0
		for _, id := range began {
			group.Go(func() {
				one := c.tryTurn(largeTurn("m", id, prose(900)), c.pick(nil))
				mutex.Lock()
				defer mutex.Unlock()
				if one.answer.ok() {
					served++
				}
			})
		}
		group.Wait()
		c.record.line("round %d: %d of %d turns served; peaks %s", round, served, len(began), c.peaks())
		time.Sleep(3 * time.Second)
	}
	machines := 0
	for _, d := range c.daemons {
		d.mutex.Lock()
		if d.overEnds >= 3 {
			machines++
		}
		d.mutex.Unlock()
	}
	return machines >= 2, fmt.Sprintf("%d programs; ends of processes over the memory of their machine: %s; %d machines with three or more", len(began), c.peaks(), machines)
}

// peaks describes the memory of the daemons.
func (c *cluster) peaks() string {
	text := ""
	for _, d := range c.daemons {
		d.mutex.Lock()
		text += fmt.Sprintf("%s %d MB of %d, %d ends; ", d.host, d.peakKB>>10, d.memoryMB, d.overEnds)
		d.mutex.Unlock()
	}
	return text
}

// playChain: a program whose first two inputs are large, each inside the limits.
func playChain(c *cluster, trouble bool) (bool, string) {
	c.begin(3, 112)
	size := 17_000
	if trouble {
		size = 3_800_000
	}
	stop, counted := make(chan struct{}), make(chan struct{})
	firsts, firstsRan, mostBusy := 0, 0, 0.0
	go func() {
		defer close(counted)
		for {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
			mostBusy = max(mostBusy, c.fleet.busy("huvo11a"))
			tries := c.runTurn(largeTurn("n"+newID()[:8], "", prose(900)), nil)
			firsts++
			if tries[len(tries)-1].ran {
				firstsRan++
			}
		}
	}()
	const turns = 9
	// The program's turns and pauses take 6.3 s on idle runners; its objective is 1.8 times that and 0.3 s.
	finish := time.Now().Add(11640 * time.Millisecond)
	previous, end := "", "all turns answered whole"
	reached, tried := 0, 0
	for k := range turns {
		t := largeTurn("c", previous, prose(size))
		t.finishAt = finish
		if k >= 2 {
			t.input = prose(900)
		}
		tries := c.runTurn(t, nil)
		last := tries[len(tries)-1]
		if last.answer.ok() {
			previous = last.id
			time.Sleep(600 * time.Millisecond)
			continue
		}
		for _, one := range tries {
			if one.ran {
				reached++
			}
			if one.sentAt.Before(finish) {
				tried++
			}
		}
		end = fmt.Sprintf("turn %d reached a runner in %d of %d tries before the program's objective, the last answer: %v", k+1, reached, tried, last.answer)
		break
	}
	close(stop)
	<-counted
	conditions := 10*firstsRan >= 9*firsts && mostBusy < 0.5
	return tried >= 5 && reached == 0 && conditions, fmt.Sprintf("%s; %d of %d first turns of other programs reached one; runners at most %.0f%% full", end, firstsRan, firsts, 100*mostBusy)
}

// playOptions: a request for all of the server.
func playOptions(c *cluster, trouble bool) (bool, string) {
	c.fleet.logRuns = true
	c.begin(1, 164)
	target := "/none/"
	if trouble {
		target = "*"
	}
	r := &request{id: newID(), method: http.MethodOptions, target: target, deadline: time.Second}
	a := send(c.daemons[0], r)
	c.record.line("OPTIONS %s: %v, runs %d", target, a, len(c.fleet.runsOf(r.id)))
	return a.status == 200 && !a.sealed, fmt.Sprintf("OPTIONS %s: %v", target, a)
}
