package lister

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// fleet runs the states of one failure domain in virtual time. Commands are carried
// out at once, unless their host is cut off.
type fleet struct {
	now       time.Time
	states    map[string]*State
	hosts     []string
	list      []provider.Member
	cut       map[string]bool
	down      bool
	delivered map[string][]provider.Member
	heardAt   map[string]time.Time
	reads     map[string]int
	wholes    int
}

func newFleet(count int) *fleet {
	f := &fleet{
		now: time.Unix(1_000_000, 0), states: map[string]*State{}, cut: map[string]bool{},
		delivered: map[string][]provider.Member{}, heardAt: map[string]time.Time{}, reads: map[string]int{},
	}
	for i := range count {
		f.hosts = append(f.hosts, fmt.Sprintf("h%02d", i))
	}
	for _, host := range f.hosts {
		f.states[host] = New(host, Settings{}, f.now)
		f.states[host].Update(f.now, PeersChanged{Hosts: f.hosts})
	}
	return f
}

func (f *fleet) run(wait time.Duration) {
	for end := f.now.Add(wait); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for _, host := range f.hosts {
			f.send(host, Tick{})
		}
	}
}

func (f *fleet) send(host string, message Message) {
	for _, command := range f.states[host].Update(f.now, message) {
		switch c := command.(type) {
		case ReadList:
			f.reads[host]++
			f.send(host, ListRead{Members: f.list, Failed: f.down})
		case PullChanges:
			f.pull(host, c)
		case DeliverList:
			f.delivered[host], f.heardAt[host] = c.Members, f.now
		}
	}
}

func (f *fleet) pull(host string, c PullChanges) {
	if f.cut[host] || f.cut[c.Host] {
		f.send(host, PullFailed{Host: c.Host})
		return
	}
	answer := f.states[c.Host].Update(f.now, ChangesRequested{Digest: c.Digest})[0].(SendChanges).Changes
	if answer.Whole {
		f.wholes++
	}
	f.send(host, ChangesReceived{Host: c.Host, Changes: answer})
}

func member(i int, leaving bool) provider.Member {
	return provider.Member{Host: fmt.Sprintf("t%02d", i), Address: "127.0.0.1:1", Role: "drafter", Leaving: leaving}
}

// Guards against a daemon whose list differs from the platform's after changes,
// cuts and failing reads, and against an age of more than two intervals.
func TestListsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "hosts"))
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			list := []provider.Member{}
			for i := range 5 {
				if rapid.Bool().Draw(t, "listed") {
					list = append(list, member(i, rapid.Bool().Draw(t, "leaving")))
				}
			}
			f.list = list
			f.down = rapid.IntRange(0, 5).Draw(t, "down") == 0
			for _, host := range f.hosts {
				f.cut[host] = rapid.IntRange(0, 4).Draw(t, "cut") == 0
			}
			f.run(time.Duration(rapid.IntRange(0, 30).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		f.down, f.cut = false, map[string]bool{}
		f.run(DefaultFallbackInterval + DefaultInterval)
		f.list = append(f.list, member(9, true))
		f.run(2*DefaultInterval + 200*time.Millisecond)
		for _, host := range f.hosts {
			if diff := cmp.Diff(f.list, f.delivered[host]); diff != "" {
				t.Fatalf("list of %s (-want +got):\n%s", host, diff)
			}
			if age := f.now.Sub(f.heardAt[host]); age > 2*DefaultInterval {
				t.Fatalf("list of %s is %v old", host, age)
			}
		}
	})
}

// Guards against a read of the list by every daemon, and against a transfer of the
// whole list when a reader changes.
func TestFewDaemonsRead(t *testing.T) {
	f := newFleet(20)
	f.list = []provider.Member{member(1, false), member(2, false)}
	f.run(3 * time.Second)
	clear(f.reads)
	f.wholes = 0
	reader := f.states[f.hosts[0]].readers[0]
	f.run(time.Second)
	f.cut[reader] = true
	f.run(4 * time.Second)
	var others []string
	for _, host := range f.hosts {
		if host != reader {
			others = append(others, host)
		}
	}
	for _, host := range others {
		f.states[host].Update(f.now, PeersChanged{Hosts: others})
	}
	f.list = append(f.list, member(3, false))
	f.run(5 * time.Second)
	if len(f.reads) > DefaultReaders+1 || f.wholes > 0 {
		t.Errorf("%d daemons read the list and %d got it whole, want at most %d and 0", len(f.reads), f.wholes, DefaultReaders+1)
	}
	for _, host := range others {
		if diff := cmp.Diff(f.list, f.delivered[host]); diff != "" {
			t.Errorf("list of %s (-want +got):\n%s", host, diff)
		}
	}
}

// Guards against changes that are applied to a list that they do not fit.
func TestMismatchAsksForTheWholeList(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := New("b", Settings{Readers: 1}, now)
	s.readers = []string{"a"}
	s.Update(now, ListRead{Members: []provider.Member{member(1, false)}})
	s.busy = true
	got := s.Update(now, ChangesReceived{Host: "a", Changes: encoder.ListChanges{Digest: "other"}})
	got = append(got, s.Update(now, Tick{})...)
	if diff := cmp.Diff([]Command{PullChanges{Host: "a"}}, got); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}
