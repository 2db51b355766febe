package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	mathrand "math/rand/v2"
)

//go:embed config.json
var configuration string

var cases = map[string]func(c *cluster, trouble bool) (broken bool, summary string){
	"twice": playTwice, "tokens": playTokens, "prefix": playPrefix, "memory": playMemory, "chain": playChain, "options": playOptions,
}

// begin starts the store's rows, the runners and so many daemons, and waits until these are ready.
func (c *cluster) begin(daemons, memoryMB int) {
	c.store.put("op", "config", json.RawMessage(configuration))
	zones := []string{"nl-ams", "nl-ehv"}
	for i := range 3 {
		c.fleet.start(c.store, "127.0.0.1", fmt.Sprintf("i-m%d", i), "huvo11a", zones[i%2], 32, true)
		c.fleet.start(c.store, "127.0.0.1", fmt.Sprintf("i-l%d", i), "wuno96b", zones[i%2], 6, false)
	}
	for i := range daemons {
		c.addDaemon(fmt.Sprintf("front-nl-%d", i+1), zones[i%2], memoryMB)
	}
	c.awaitReady()
	// The daemons have found each other.
	time.Sleep(3 * time.Second)
}

func prose(n int) []byte {
	const line = "the client asked for twelve prints of the second evening, matte, and for the usual terms of payment; "
	return []byte(strings.Repeat(line, n/len(line)+1)[:n])
}

func segment(n int) string { return fmt.Sprintf("%x:%d", mathrand.Uint32(), n) }

// playTwice: unsafe requests whose path has an escaped slash where the prefix of a safe route has a plain one.
func playTwice(c *cluster, trouble bool) (bool, string) {
	c.fleet.logRuns = true
	c.begin(3, 164)
	// One of three runners, a share of 0.33, loses each 19th answer, a share of 0.053, for 5 s.
	const each, lossFor, seconds, perSecond = 19, 5 * time.Second, 8, 60
	began := time.Now()
	for _, n := range c.fleet.runners {
		if n.id == "i-l1" && trouble {
			count := 0
			n.setLoss(func(string) bool {
				count++
				return time.Since(began) < lossFor && count%each == 0
			})
		}
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	var ids []string
	ends := map[string]int{}
	for i := range seconds * perSecond {
		group.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / perSecond)
			r := &request{id: newID(), method: http.MethodPost, target: fmt.Sprintf("/puxa403/nl%%2F%d", 4000+i), body: prose(600), deadline: 1200 * time.Millisecond}
			d := c.pick(nil)
			c.record.line("send   %s POST %s to %s", r.id, r.target, d.host)
			a := send(d, r)
			c.record.line("answer %s from %s: %v", r.id, d.host, a)
			mutex.Lock()
			defer mutex.Unlock()
			ids = append(ids, r.id)
			ends[a.String()]++
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	twice, ran, lost := 0, 0, 0
	for _, id := range ids {
		runs := c.fleet.runsOf(id)
		if len(runs) > 0 {
			ran++
		}
		if len(runs) > 0 && runs[0].lost {
			lost++
		}
		if len(runs) > 1 {
			twice++
			c.record.line("TWICE  %s, which is not idempotent, ran %d times: %+v", id, len(runs), runs)
		}
	}
	return twice > 0, fmt.Sprintf("%d unsafe requests sent, %d ran, the answers of %d were lost, %d ran more than once; answers %v", len(ids), ran, lost, twice, ends)
}

// playTokens: programs whose first turns were served by a machine that is then removed for good.
func playTokens(c *cluster, trouble bool) (bool, string) {
	c.begin(3, 164)
	const turns, turnTokens, programs = 10, 96, 12
	victim := c.daemons[0]
	type result struct {
		done, tries int
		refusedTurn bool
		handed      int
		why         string
	}
	results := make([]result, programs)
	var group sync.WaitGroup
	var removedAt time.Time
	removed := make(chan struct{})
	var firstDone sync.WaitGroup
	firstDone.Add(programs)
	for i := range programs {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			program, previous := fmt.Sprintf("p%02d%s", i, newID()[:6]), ""
			// The program's turns and pauses take 5.8 s on idle runners; its objective is 1.8 times that and 0.3 s.
			finish := time.Now().Add(10740 * time.Millisecond)
			shared := segment(4000)
			size := 400
			var last *daemon
			for k := range turns {
				size += 100
				t := &turn{program: program, session: program + "s", previous: previous, input: prose(900), budget: turns * turnTokens, maxTokens: turnTokens,
					finishAt: finish, prefix: shared + "," + fmt.Sprintf("%x:%d", 0x5000000+i, size), target: "/lohu930/4b", deadline: 3 * time.Second, newID: newID}
				var tries []*try
				if k == 0 {
					// The client's first channel goes to the machine that will be removed.
					tries = []*try{c.tryTurn(t, victim)}
					firstDone.Done()
					last = victim
					<-removed
					time.Sleep(time.Until(removedAt.Add(time.Second)))
				} else {
					tries = c.runTurn(t, last)
				}
				end := tries[len(tries)-1]
				results[i].handed += 24 * strings.Count(string(end.answer.body), "data: ")
				if end.answer.ok() {
					results[i].done++
					previous = end.id
					time.Sleep(500 * time.Millisecond)
					continue
				}
				reached, calm := 0, 0
				for _, one := range tries {
					if one.ran {
						reached++
					}
					if c.inTouch(one.answer.daemon, one.sentAt) && one.sentAt.After(removedAt.Add(contact)) && one.sentAt.Before(finish) {
						calm++
					}
				}
				results[i].tries, results[i].why = calm, end.answer.String()
				results[i].refusedTurn = reached == 0 && calm >= 5
				return
			}
		})
	}
	firstDone.Wait()
	time.Sleep(100 * time.Millisecond)
	removedAt = time.Now()
	if trouble {
		c.kill(victim, true)
	}
	close(removed)
	// A new machine comes a second later at another address.
	time.Sleep(time.Second)
	if trouble {
		c.addDaemon("front-nl-4", "nl-ams", 164)
	}
	// New programs begin all the while: their first turns reach runners.
	firsts, firstsRan, mostBusy := 0, 0, 0.0
	stop := make(chan struct{})
	counted := make(chan struct{})
	go func() {
		defer close(counted)
		for {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
			mostBusy = max(mostBusy, c.fleet.busy("huvo11a"))
			program := "n" + newID()[:8]
			t := &turn{program: program, session: program, input: prose(900), budget: turns * turnTokens, maxTokens: turnTokens, finishAt: time.Now().Add(10 * time.Second),
				prefix: segment(4000) + "," + segment(300), target: "/lohu930/4b", deadline: 3 * time.Second, newID: newID}
			tries := c.runTurn(t, victim)
			if time.Since(removedAt) < 3*time.Second {
				continue
			}
			firsts++
			if tries[len(tries)-1].ran {
				firstsRan++
			}
		}
	}()
	group.Wait()
	close(stop)
	<-counted
	lost := 0
	for i, r := range results {
		c.record.line("program %d: %d of %d turns answered whole, %d of %d tokens handed out; the next turn reached no runner in %d tries in calm: %v (%s)", i, r.done, turns, r.handed, turns*turnTokens, r.tries, r.refusedTurn, r.why)
		if r.refusedTurn {
			lost++
			c.record.line("LOST   a turn of program %d", i)
		}
	}
	conditions := firsts > 0 && 10*firstsRan >= 9*firsts && mostBusy < 0.5
	if !conditions {
		c.record.line("the conditions of the rule do not hold")
	}
	return lost > 0 && conditions, fmt.Sprintf("%d programs, %d of them with a turn that reached no runner in five tries or more; %d of %d first turns reached one; runners at most %.0f%% full; answers %q",
		programs, lost, firstsRan, firsts, 100*mostBusy, results[0].why)
}

// contact is the bound contact_ms of the settings.
const contact = 3 * time.Second

// inTouch reports whether the daemon's process had run for contact_ms.
func (c *cluster) inTouch(host string, at time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, d := range c.daemons {
		if d.host == host {
			d.mutex.Lock()
			defer d.mutex.Unlock()
			return at.Sub(d.startAt) > contact
		}
	}
	return false
}

// noise returns text that does not deflate to less than about 3/4.
func noise(n int) []byte {
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"
	b := make([]byte, n)
	for i := range b {
		b[i] = letters[mathrand.IntN(len(letters))]
	}
	return b
}

// playPrefix: turns of sub-agents whose ids begin with the id of the turn that they continue.
func playPrefix(c *cluster, trouble bool) (bool, string) {
	c.begin(3, 164)
	const programs, helpers = 40, 3
	type line struct {
		program, last string
	}
	var mutex sync.Mutex
	var lines []line
	var group sync.WaitGroup
	failed := 0
	for i := range programs {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			program := newID()[:10]
			send := func(id, previous string, input []byte) bool {
				t := &turn{program: program, session: id, previous: previous, input: input, maxTokens: 96, finishAt: time.Now().Add(20 * time.Second),
					prefix: segment(4000) + "," + segment(300), target: "/lohu930/4b", deadline: 3 * time.Second, newID: func() string { return id }}
				one := c.tryTurn(t, c.pick(nil))
				return one.answer.ok()
			}
			root := program
			if !send(root, "", noise(100_000)) {
				mutex.Lock()
				failed++
				mutex.Unlock()
				return
			}
			for h := range helpers {
				id := fmt.Sprintf("%s-%d", root, h+1)
				ok := send(id, root, prose(900))
				mutex.Lock()
				if ok {
					lines = append(lines, line{program, id})
				} else {
					failed++
				}
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	if trouble {
		for _, d := range c.daemons {
			c.kill(d, false)
		}
	}
	faultAt := time.Now()
	const recoverTime = 12 * time.Second
	type outcome struct {
		reached bool
		tries   int
		why     string
	}
	outcomes := make([]outcome, len(lines))
	for i := range lines {
		group.Go(func() {
			time.Sleep(2*time.Second + time.Duration(i)*30*time.Millisecond)
			var last *daemon
			for n := 0; time.Since(faultAt) < recoverTime+3*time.Second; n++ {
				t := &turn{program: lines[i].program, session: lines[i].last, previous: lines[i].last, input: prose(900), maxTokens: 96, finishAt: time.Now().Add(10 * time.Second),
					prefix: segment(4000) + "," + segment(300), target: "/lohu930/4b", deadline: 3 * time.Second, newID: newID}
				last = c.pick(last)
				one := c.tryTurn(t, last)
				outcomes[i].tries++
				outcomes[i].why = one.answer.String()
				if one.ran {
					outcomes[i].reached = true
					return
				}
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	// Other turns of the last 4 s: first turns of new programs.
	others, othersServed, busy := 0, 0, 0.0
	for time.Since(faultAt) < recoverTime+3*time.Second {
		busy = max(busy, c.fleet.busy("huvo11a"))
		t := &turn{program: newID(), session: "s", input: prose(900), maxTokens: 96, finishAt: time.Now().Add(10 * time.Second),
			prefix: segment(4000) + "," + segment(300), target: "/lohu930/4b", deadline: 3 * time.Second, newID: newID}
		one := c.tryTurn(t, c.pick(nil))
		if time.Since(faultAt) > recoverTime-4*time.Second {
			others++
			if one.answer.ok() {
				othersServed++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	lost, why := 0, ""
	for i, o := range outcomes {
		if !o.reached {
			lost++
			why = o.why
			c.record.line("LOST   the turn after %s reached no runner in %d tries, the last one: %s", lines[i].last, o.tries, o.why)
		}
	}
	conditions := others > 0 && 5*othersServed >= 4*others
	return lost > 0 && conditions, fmt.Sprintf("%d lines of turns (%d turns failed before), %d of them reach no runner by %v after the fault (%s); %d of %d other turns served in the last 4 s; runners at most %.0f%% full",
		len(lines), failed, lost, recoverTime, why, othersServed, others, 100*busy)
}
