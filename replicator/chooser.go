package replicator

import (
	"maps"
	"time"

	"github.com/dogwoodweir/dogwoodweir/messenger"
)

// chooser decides whether a daemon follows the copy of another daemon or the store. It is not safe for
// concurrent use.
type chooser struct {
	options   Options
	startedAt time.Time
	// suspendedUntil holds the times until which daemons that did not reply are not asked.
	suspendedUntil map[string]time.Time
	// storeUntil is the time until which the daemon stays with the store.
	storeUntil time.Time
}

func newChooser(options Options, now time.Time) *chooser {
	return &chooser{options: options, startedAt: now, suspendedUntil: map[string]time.Time{}}
}

// sources returns the daemons to ask, the preferred one first. It returns none if the daemon follows
// the store.
func (c *chooser) sources(now time.Time, t *topology) []messenger.Peer {
	if now.Before(c.storeUntil) {
		return nil
	}
	var sources []messenger.Peer
	for _, peer := range t.sources {
		if !now.Before(c.suspendedUntil[peer.Host]) {
			sources = append(sources, peer)
		}
	}
	return sources
}

// suspend records that a daemon has not replied.
func (c *chooser) suspend(now time.Time, host string) {
	maps.DeleteFunc(c.suspendedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	c.suspendedUntil[host] = now.Add(c.options.SuspendTime)
}

// mayAskStore reports whether the daemon asks the store after none of its sources had a fresh copy.
// The age is that of its own copy; replied says whether a source replied at all. If all copies of
// the region are old, its link to the store is probably full: the daemons then turn to the store one
// after the other, until one of them has a fresh copy for the others.
func (c *chooser) mayAskStore(now time.Time, t *topology, known bool, age time.Duration, replied bool) bool {
	if !known {
		age = now.Sub(c.startedAt)
	}
	if !replied {
		return known || t.rank == 0 || age >= c.options.StartGrace
	}
	if age < c.options.MaxAge+time.Duration(t.rank)*c.options.StoreStagger {
		return false
	}
	if t.rank < c.options.MaxSources {
		// Others follow this daemon, whose copy must stay fresh.
		c.storeUntil = now.Add(c.options.SuspendTime)
	}
	return true
}
