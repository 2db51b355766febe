package limiter

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// rendezvousWeight returns the weight of a host for a key.
func rendezvousWeight(key, host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(host))
	// The high bits of FNV hardly depend on the last bytes, so that they are mixed.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// rankHosts returns the first n hosts in rendezvous order.
func rankHosts(key string, hosts []string, n int) []string {
	type ranked struct {
		host   string
		weight uint64
	}
	all := make([]ranked, len(hosts))
	for i, host := range hosts {
		all[i] = ranked{host, rendezvousWeight(key, host)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host, b.host)) })
	first := make([]string, 0, n)
	for i := range all[:min(n, len(all))] {
		first = append(first, all[i].host)
	}
	return first
}
