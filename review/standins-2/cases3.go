package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["names"] = playNames }

// playNames: turns of ever new programs with long names, none of which is run.
func playNames(c *cluster, trouble bool) (bool, string) {
	c.watchMemory = true
	c.begin(3, 112)
	const clients, playFor = 24, 95 * time.Second
	nameBytes := 16
	if trouble {
		nameBytes = 14_000
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	ends := map[string]int{}
	sent, began := 0, time.Now()
	stop := func() bool {
		ended := 0
		for _, d := range c.daemons {
			d.mutex.Lock()
			if d.overEnds >= 3 {
				ended++
			}
			d.mutex.Unlock()
		}
		return ended >= 2 || time.Since(began) > playFor
	}
	for range clients {
		group.Go(func() {
			for !stop() {
				id := newID()
				r := &request{id: id, method: http.MethodPost, target: "/lohu930/4b", body: prose(100), deadline: 1500 * time.Millisecond, header: map[string]string{
					names["program"]: strings.Repeat("x", nameBytes) + id, names["session"]: id, names["model"]: "m", names["budget"]: "0",
					names["counts"]: "100,96", names["prefix"]: segment(40) + "," + segment(60)}}
				a := send(c.pick(nil), r)
				status := fmt.Sprint(a.status)
				if a.status == 0 {
					status = "none"
				}
				mutex.Lock()
				sent++
				ends[status]++
				if sent%1000 == 0 {
					c.record.line("%d sent, answers %v; %s", sent, ends, c.peaks())
				}
				mutex.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	group.Wait()
	machines := 0
	for _, d := range c.daemons {
		if d.overEnds >= 3 {
			machines++
		}
	}
	ran := 0
	for _, runs := range c.fleet.runs {
		ran += len(runs)
	}
	return machines >= 2, fmt.Sprintf("%d requests in %.0f s, answers %v, %d of them run; %s%d machines with three ends or more", sent, time.Since(began).Seconds(), ends, ran, c.peaks(), machines)
}
