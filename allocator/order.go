package allocator

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/dogwoodweir/dogwoodweir/messenger"
)

// maxClaimants is the number of daemons that watch a partition. They are in different failure domains as
// far as there are enough.
const maxClaimants = 3

// Member is a daemon that may own partitions.
type Member struct {
	messenger.Peer
	Domain string
}

// rendezvousOrder returns the members in the order in which they are to own a partition.
func rendezvousOrder(partition string, members []Member) []Member {
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		h := fnv.New64a()
		_, _ = h.Write([]byte(partition + "\x00" + m.Host))
		scores[m.Host] = mix(h.Sum64())
	}
	return slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(scores[b.Host], scores[a.Host]), cmp.Compare(a.Host, b.Host))
	})
}

// mix spreads the bits of a hash, since names that differ in their last character only have similar ones.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
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
