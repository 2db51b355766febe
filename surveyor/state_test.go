package surveyor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/ranker"
	"github.com/dogwoodweir/dogwoodweir/surveyor"
)

// domainHosts are the daemons of a failure domain in the order in which they collect.
var domainHosts = ranker.OrderNames("targetLoad", []string{"a", "b", "c", "d"})

// peersOf returns the other daemons.
func peersOf(host string) []string {
	var peers []string
	for _, other := range domainHosts {
		if other != host {
			peers = append(peers, other)
		}
	}
	return peers
}

// member is a daemon of the failure domain with the messages it gets.
type member struct {
	t     *testing.T
	host  string
	state *surveyor.State
}

func newMember(t *testing.T, host string) *member {
	m := &member{t: t, host: host, state: surveyor.New(host, surveyor.DefaultOptions())}
	m.update(replayStart, surveyor.TargetsChanged{IDs: []string{"x", "y"}})
	return m
}

func (m *member) update(now time.Time, message surveyor.Message) []surveyor.Command {
	m.t.Helper()
	commands, err := m.state.Update(now, message)
	if err != nil {
		m.t.Fatal(err)
	}
	return commands
}

// commandOf returns the command of a type, or nil.
func commandOf[C surveyor.Command](commands []surveyor.Command) *C {
	for _, c := range commands {
		if c, ok := c.(C); ok {
			return &c
		}
	}
	return nil
}

// report lets a daemon report its calls to a collector, and returns what the daemon publishes.
func report(now time.Time, from, to *member, calls map[string]int) *surveyor.Publish {
	from.t.Helper()
	send := commandOf[surveyor.SendReport](from.update(now, surveyor.Tick{Peers: peersOf(from.host), Calls: calls}))
	if send == nil || send.Host != to.host {
		from.t.Fatalf("%s reports to %v, want %s", from.host, send, to.host)
	}
	reply := commandOf[surveyor.Reply](to.update(now, surveyor.ReportReceived{From: from.host, Load: send.Load}))
	return commandOf[surveyor.Publish](from.update(now, surveyor.SumReceived{Report: *send, Load: reply.Load, Reports: reply.Reports, Age: reply.Age}))
}

// Guards against sums that contain a daemon's own calls, which it knows better, or lack those of the collector.
func TestSumOfOthers(t *testing.T) {
	collector, second, third := newMember(t, domainHosts[0]), newMember(t, domainHosts[1]), newMember(t, domainHosts[2])
	at := func(ms int) time.Time { return replayStart.Add(time.Duration(ms) * time.Millisecond) }
	if got := report(at(0), second, collector, map[string]int{"x": 1, "y": 2}); got != nil {
		t.Errorf("the first daemon that reports gets %v, want nothing", got)
	}
	tick := surveyor.Tick{Peers: peersOf(collector.host), Calls: map[string]int{"x": 10}}
	tests := []struct {
		name string
		got  *surveyor.Publish
		want *surveyor.Publish
	}{
		{"third daemon", report(at(10), third, collector, map[string]int{"x": 4}),
			&surveyor.Publish{InFlight: map[string]int{"x": 1, "y": 2}, Age: 10 * time.Millisecond}},
		{"collector", commandOf[surveyor.Publish](collector.update(at(20), tick)),
			&surveyor.Publish{InFlight: map[string]int{"x": 5, "y": 2}, Age: 15 * time.Millisecond}},
		{"second report", report(at(120), second, collector, map[string]int{"y": 1}),
			&surveyor.Publish{InFlight: map[string]int{"x": 14}, Age: 105 * time.Millisecond}},
		{"after the last call of the second", report(at(240), second, collector, nil),
			&surveyor.Publish{InFlight: map[string]int{"x": 14}, Age: 225 * time.Millisecond}},
		{"others are silent", report(at(540), second, collector, nil), nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.got); diff != "" {
				t.Errorf("published calls differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against daemons that go on asking a collector that has ended, that leave a slow one at once, or that
// place by reports although nobody collects.
func TestCollectorIsPassedOver(t *testing.T) {
	const (
		silent = iota
		refuses
		replies
	)
	first, second, own := domainHosts[0], domainHosts[1], domainHosts[2]
	tests := []struct {
		name string
		// outcomes are what comes of the reports, one each 100 ms.
		outcomes []int
		// want lists whom the daemon asks.
		want []string
	}{
		{"replies", []int{replies, replies, replies}, []string{first, first, first}},
		{"late once", []int{silent, replies, silent, replies}, []string{first, first, first, first}},
		{"silent", []int{silent, silent, replies, replies}, []string{first, first, second, second}},
		{"refuses", []int{refuses, replies, replies}, []string{first, second, second}},
		{"all refuse", []int{refuses, refuses, refuses}, []string{first, second, ""}},
		{"asked again after 2 s", []int{
			refuses, replies, replies, replies, replies, replies, replies, replies, replies, replies, replies, replies, replies, replies,
			replies, replies, replies, replies, replies, replies, replies,
		}, []string{
			first, second, second, second, second, second, second, second, second, second, second, second, second, second, second,
			second, second, second, second, second, first,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newMember(t, own)
			var asked []string
			for i, outcome := range test.outcomes {
				now := replayStart.Add(time.Duration(i) * 100 * time.Millisecond)
				commands := m.update(now, surveyor.Tick{Peers: peersOf(own), Calls: map[string]int{"x": 1}})
				if p := commandOf[surveyor.Publish](commands); p != nil {
					t.Errorf("published %v without reports of others", p)
				}
				send := commandOf[surveyor.SendReport](commands)
				if send == nil {
					asked = append(asked, "")
					continue
				}
				asked = append(asked, send.Host)
				switch outcome {
				case silent:
					m.update(now, surveyor.SumMissing{Report: *send})
				case refuses:
					m.update(now, surveyor.SumMissing{Report: *send, Refused: true})
				case replies:
					m.update(now, surveyor.SumReceived{Report: *send, Reports: 1})
				}
			}
			if diff := cmp.Diff(test.want, asked); diff != "" {
				t.Errorf("asked daemons differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against reports of daemons that have no calls or no peers, and against more reports or bytes than the
// budget allows.
func TestReportsAreBounded(t *testing.T) {
	many := make([]string, 63)
	for i := range many {
		many[i] = fmt.Sprintf("host-%02d", i)
	}
	tests := []struct {
		name  string
		peers []string
		// callsFor is how long the daemon has calls.
		callsFor time.Duration
		// sumBytes is the size of the sums.
		sumBytes int
		// want is the number of reports in 10 s.
		want int
	}{
		{"calls all the time", peersOf("c"), 10 * time.Second, 0, 100},
		{"calls for 2 s", peersOf("c"), 2 * time.Second, 0, 30},
		{"no calls", peersOf("c"), 0, 0, 0},
		{"no peers", nil, 10 * time.Second, 0, 0},
		{"large failure domain", many, 10 * time.Second, 0, 25},
		{"large sums", peersOf("c"), 10 * time.Second, 600, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newMember(t, domainHosts[3])
			sum := make([]byte, 0, test.sumBytes)
			for i := range test.sumBytes / 4 {
				sum = append(sum, 0, byte(i>>8), byte(i), 1)
			}
			reports := 0
			for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 5 * time.Millisecond {
				now := replayStart.Add(elapsed)
				tick := surveyor.Tick{Peers: test.peers}
				if elapsed < test.callsFor {
					tick.Calls = map[string]int{"x": 1}
				}
				if send := commandOf[surveyor.SendReport](m.update(now, tick)); send != nil {
					reports++
					m.update(now, surveyor.SumReceived{Report: *send, Load: sum, Reports: 1})
				}
			}
			if tolerance := 1 + test.want/20; reports < test.want-tolerance || reports > test.want+tolerance {
				t.Errorf("%d reports in 10 s, want about %d", reports, test.want)
			}
		})
	}
}

// Guards against a log that fills with changes of the collector while daemons reply late.
func TestChangesOfCollectorAreLoggedTogether(t *testing.T) {
	m := newMember(t, domainHosts[3])
	lines, changes := 0, 0
	for i := range 600 {
		now := replayStart.Add(time.Duration(i) * 100 * time.Millisecond)
		commands := m.update(now, surveyor.Tick{Peers: peersOf(m.host), Calls: map[string]int{"x": 1}})
		if c := commandOf[surveyor.CollectorChanged](commands); c != nil {
			lines++
			changes += c.Changes
		}
		if send := commandOf[surveyor.SendReport](commands); send != nil {
			m.update(now, surveyor.SumMissing{Report: *send, Refused: true})
		}
	}
	const wantLines, minChanges = 6, 60
	if lines != wantLines || changes < minChanges {
		t.Errorf("%d lines with %d changes in a minute, want %d lines with at least %d", lines, changes, wantLines, minChanges)
	}
}
