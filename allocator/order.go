package allocator

import (
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
