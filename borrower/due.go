package borrower

import (
	"slices"
	"time"
)

// dueEntry is an entry of a dueTable.
type dueEntry[Value any] struct {
	value Value
	dueAt time.Time
}

// dueTable has values by peer and number, with the time at which something is due for them. It is not safe for concurrent
// use.
type dueTable[Peer comparable, Value any] map[Peer]map[int]dueEntry[Value]

func (t dueTable[Peer, Value]) add(peer Peer, number int, value Value, dueAt time.Time) {
	if t[peer] == nil {
		t[peer] = map[int]dueEntry[Value]{}
	}
	t[peer][number] = dueEntry[Value]{value, dueAt}
}

// remove removes an entry and returns its value, and whether there was one.
func (t dueTable[Peer, Value]) remove(peer Peer, number int) (Value, bool) {
	entry, ok := t[peer][number]
	delete(t[peer], number)
	if len(t[peer]) == 0 {
		delete(t, peer)
	}
	return entry.value, ok
}

// takeDue returns the numbers of the entries that are due, sorted, by peer. They are due again after the given delay.
func (t dueTable[Peer, Value]) takeDue(now time.Time, delay time.Duration) map[Peer][]int {
	due := map[Peer][]int{}
	for peer, entries := range t {
		for number, entry := range entries {
			if !now.Before(entry.dueAt) {
				due[peer] = append(due[peer], number)
				entries[number] = dueEntry[Value]{entry.value, now.Add(delay)}
			}
		}
		slices.Sort(due[peer])
	}
	return due
}
