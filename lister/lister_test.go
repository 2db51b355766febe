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

// simulation runs the states of one failure domain in virtual time. Commands are
// executed immediately; pulls from or by isolated hosts fail.
type simulation struct {
	now           time.Time
	states        map[string]*State
	hosts         []string
	list          []provider.Member
	isolated      map[string]bool
	readsFail     bool
	delivered     map[string][]provider.Member
	deliveredAt   map[string]time.Time
	reads         map[string]int
	fullTransfers int
}

func newSimulation(count int) *simulation {
	s := &simulation{
		now: time.Unix(1_000_000, 0), states: map[string]*State{}, isolated: map[string]bool{},
		delivered: map[string][]provider.Member{}, deliveredAt: map[string]time.Time{}, reads: map[string]int{},
	}
	for i := range count {
		s.hosts = append(s.hosts, fmt.Sprintf("h%02d", i))
	}
	for _, host := range s.hosts {
		s.states[host] = New(host, Settings{}, s.now)
		s.states[host].Update(s.now, PeersChanged{Hosts: s.hosts})
	}
	return s
}

func (s *simulation) run(wait time.Duration) {
	for end := s.now.Add(wait); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for _, host := range s.hosts {
			s.send(host, Tick{})
		}
	}
}

func (s *simulation) send(host string, message Message) {
	for _, command := range s.states[host].Update(s.now, message) {
		switch c := command.(type) {
		case ReadList:
			s.reads[host]++
			s.send(host, ListRead{Members: s.list, Failed: s.readsFail})
		case PullChanges:
			s.pull(host, c)
		case DeliverList:
			s.delivered[host], s.deliveredAt[host] = c.Members, s.now
		}
	}
}

func (s *simulation) pull(host string, c PullChanges) {
	if s.isolated[host] || s.isolated[c.Host] {
		s.send(host, PullFailed{Host: c.Host})
		return
	}
	changes := s.states[c.Host].Update(s.now, ChangesRequested{Digest: c.Digest})[0].(SendChanges).Changes
	if changes.Whole {
		s.fullTransfers++
	}
	s.send(host, ChangesReceived{Host: c.Host, Changes: changes})
}

func member(i int, leaving bool) provider.Member {
	return provider.Member{Host: fmt.Sprintf("t%02d", i), Address: "127.0.0.1:1", Role: "drafter", Leaving: leaving}
}

// Guards against a daemon whose list differs from the platform's after changes,
// isolated hosts and failed reads, and against a list older than two intervals.
func TestListsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 6).Draw(t, "hosts"))
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			list := []provider.Member{}
			for i := range 5 {
				if rapid.Bool().Draw(t, "listed") {
					list = append(list, member(i, rapid.Bool().Draw(t, "leaving")))
				}
			}
			s.list = list
			s.readsFail = rapid.IntRange(0, 5).Draw(t, "readsFail") == 0
			for _, host := range s.hosts {
				s.isolated[host] = rapid.IntRange(0, 4).Draw(t, "isolated") == 0
			}
			s.run(time.Duration(rapid.IntRange(0, 30).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		s.readsFail, s.isolated = false, map[string]bool{}
		s.run(DefaultFallbackInterval + DefaultInterval)
		s.list = append(s.list, member(9, true))
		s.run(2*DefaultInterval + 200*time.Millisecond)
		for _, host := range s.hosts {
			if diff := cmp.Diff(s.list, s.delivered[host]); diff != "" {
				t.Fatalf("list of %s (-want +got):\n%s", host, diff)
			}
			if age := s.now.Sub(s.deliveredAt[host]); age > 2*DefaultInterval {
				t.Fatalf("list of %s is %v old, want at most two intervals", host, age)
			}
		}
	})
}

// Guards against too many daemons that read the list, and against a transfer of the
// whole list after a change of reader.
func TestFewDaemonsRead(t *testing.T) {
	s := newSimulation(20)
	s.list = []provider.Member{member(1, false), member(2, false)}
	s.run(3 * time.Second)
	clear(s.reads)
	s.fullTransfers = 0
	reader := s.states[s.hosts[0]].readers[0]
	s.run(time.Second)
	s.isolated[reader] = true
	s.run(4 * time.Second)
	var others []string
	for _, host := range s.hosts {
		if host != reader {
			others = append(others, host)
		}
	}
	for _, host := range others {
		s.states[host].Update(s.now, PeersChanged{Hosts: others})
	}
	s.list = append(s.list, member(3, false))
	s.run(5 * time.Second)
	if len(s.reads) > DefaultReaders+1 || s.fullTransfers > 0 {
		t.Errorf("%d daemons read the list and %d got it whole, want at most %d and 0", len(s.reads), s.fullTransfers, DefaultReaders+1)
	}
	for _, host := range others {
		if diff := cmp.Diff(s.list, s.delivered[host]); diff != "" {
			t.Errorf("list of %s (-want +got):\n%s", host, diff)
		}
	}
}

// Guards against applying changes that do not result in the reader's version.
func TestMismatchRequestsWholeList(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := New("b", Settings{Readers: 1}, now)
	s.readers = []string{"a"}
	s.Update(now, ListRead{Members: []provider.Member{member(1, false)}})
	s.awaitingResult = true
	got := s.Update(now, ChangesReceived{Host: "a", Changes: encoder.ListChanges{Digest: "other"}})
	got = append(got, s.Update(now, Tick{})...)
	if diff := cmp.Diff([]Command{PullChanges{Host: "a"}}, got); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}
