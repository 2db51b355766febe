package replicator

import (
	"cmp"
	"slices"

	"github.com/dogwoodweir/dogwoodweir/messenger"
)

// Daemon is a daemon of the region.
type Daemon struct {
	messenger.Peer
	Domain string
}

// topology says from whom a daemon gets the shared tables. All daemons that know the same daemons of
// their region agree on it.
type topology struct {
	// rank is the position of the daemon in the order in which the daemons of the region turn to the
	// store: the leaders first. The daemon of rank 0 follows the store.
	rank int
	// sources lists the daemons whose copies the daemon follows, the preferred one first.
	sources []messenger.Peer
}

// member is a daemon with its place in its failure domain.
type member struct {
	Daemon
	// group is the number of the daemon's group in its failure domain, leader the leader of the group.
	group  int
	leader Daemon
}

func (m *member) isLeader() bool { return m.Host == m.leader.Host }

// newTopology returns the topology of a daemon. In each failure domain one of groupSize daemons is a
// leader. The leaders follow the first leader of the region, the others the leader of their group,
// and each daemon has some other leaders in reserve. In a region of at most groupSize daemons all of
// them follow the store.
func newTopology(own Daemon, others []Daemon, groupSize, maxSources int) topology {
	if len(others) < groupSize {
		return topology{}
	}
	order := ordered(append(slices.Clone(others), own), groupSize)
	rank := slices.IndexFunc(order, func(m member) bool { return m.Host == own.Host })
	t := topology{rank: rank}
	if !order[rank].isLeader() {
		t.sources = append(t.sources, order[rank].leader.Peer)
	}
	for _, m := range order[:rank] {
		if m.isLeader() && len(t.sources) < maxSources && m.Host != order[rank].leader.Host {
			t.sources = append(t.sources, m.Peer)
		}
	}
	return t
}

// ordered returns all daemons of the region by their rank: the leaders, then the others. The first
// leaders of all failure domains come before the second ones, so that the loss of a failure domain
// leaves some of them.
func ordered(all []Daemon, groupSize int) []member {
	slices.SortFunc(all, func(a, b Daemon) int { return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Host, b.Host)) })
	var leaders, followers []member
	first := 0
	for i, d := range all {
		if d.Domain != all[first].Domain {
			first = i
		}
		position := i - first
		m := member{Daemon: d, group: position / groupSize, leader: all[i-position%groupSize]}
		if m.isLeader() {
			leaders = append(leaders, m)
		} else {
			followers = append(followers, m)
		}
	}
	slices.SortStableFunc(leaders, func(a, b member) int { return cmp.Compare(a.group, b.group) })
	return append(leaders, followers...)
}
