package allocator

import (
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/ranker"
)

// maxClaimants is the number of daemons that watch a partition. They are in different failure domains as
// far as there are enough.
const maxClaimants = 3

// Member is a daemon that may own partitions.
type Member struct {
	messenger.Peer
	Domain string
}

// Name implements ranker.Ranked.
func (m Member) Name() string { return m.Host }

// Weight implements ranker.Ranked. A partition takes little work, so that all daemons count alike.
func (Member) Weight() float64 { return 1 }

// rendezvousOrder returns the members in the order in which they are to own a partition.
func rendezvousOrder(partition string, members []Member) []Member {
	return ranker.Order(partition, members)
}

// claimants returns the members that may claim a partition, in their order.
func claimants(order []Member) []Member {
	var chosen, others []Member
	domains := map[string]bool{}
	for _, m := range order {
		if domains[m.Domain] {
			others = append(others, m)
			continue
		}
		domains[m.Domain] = true
		chosen = append(chosen, m)
	}
	chosen = append(chosen, others...)
	return chosen[:min(maxClaimants, len(chosen))]
}

// updateOrder computes which of the daemons that are now listed are to own and to watch partitions.
func (r *Runner) updateOrder(owners ...*owner) {
	self := r.dependencies.Identity.Host
	members := append([]Member{{Peer: messenger.Peer{Host: self}, Domain: r.dependencies.Domain}}, r.dependencies.Others()...)
	isSelf := func(m Member) bool { return m.Host == self }
	for _, o := range owners {
		order := rendezvousOrder(o.partition, members)
		rank := slices.IndexFunc(claimants(order), isSelf)
		o.mutex.Lock()
		o.order, o.rank = order, rank
		o.mutex.Unlock()
	}
}

// knows reports whether the order has an address of a host, or of any if the host is empty.
func (o *owner) knows(host string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.ContainsFunc(o.order, func(m Member) bool { return m.Address != "" && (host == "" || m.Host == host) })
}

// nextPeer returns the daemon to ask next: the one that is said to be the owner, else the last known
// owner, else the daemons that are to own the partition, in their order.
func (o *owner) nextPeer(now time.Time, host string, hop int) (messenger.Peer, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now.Before(o.silentUntil) {
		return messenger.Peer{}, false
	}
	for _, name := range []string{host, o.known} {
		if name == "" {
			continue
		}
		if i := slices.IndexFunc(o.order, func(m Member) bool { return m.Host == name }); i >= 0 && o.order[i].Address != "" {
			return o.order[i].Peer, true
		}
	}
	// This daemon has no address in the order.
	others := slices.DeleteFunc(slices.Clone(o.order[:min(len(o.order), maxHops+1)]), func(m Member) bool { return m.Address == "" })
	if hop < len(others) {
		return others[hop].Peer, true
	}
	return messenger.Peer{}, false
}
