package replicator

import (
	"slices"
	"strings"

	"github.com/dogwoodweir/dogwoodweir/messenger"
)

// leader returns the daemon whose copies the daemon on the given host follows. It returns false if
// that daemon follows the store: it is a leader itself, or its failure domain has at most groupSize
// daemons. All daemons that know the same peers agree on the leaders.
func leader(host string, peers []messenger.Peer, groupSize int) (messenger.Peer, bool) {
	if len(peers) < groupSize {
		return messenger.Peer{}, false
	}
	all := append(slices.Clone(peers), messenger.Peer{Host: host})
	slices.SortFunc(all, func(a, b messenger.Peer) int { return strings.Compare(a.Host, b.Host) })
	own := slices.IndexFunc(all, func(p messenger.Peer) bool { return p.Host == host })
	first := own - own%groupSize
	return all[first], first != own
}
