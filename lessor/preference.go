package lessor

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ShardName returns the name of a failure domain's shard.
func ShardName(domain string, number int) string { return fmt.Sprintf("%s/%d", domain, number) }

// ShardOf returns the name of the shard that holds a program of the failure domain.
func ShardOf(domain, program string, shardsPerDomain int) string {
	return ShardName(domain, int(xxhash.Sum64String(program)%uint64(shardsPerDomain)))
}

// candidate is a host with the hash of its name.
type candidate struct {
	name string
	hash uint64
}

// weight returns the rendezvous weight of a host for a key.
func weight(host, key uint64) uint64 {
	x := host ^ key
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rank returns the position of self among the candidates for the key, at most limit,
// and the name of the first candidate. The position is limit when self is not among
// the candidates. The candidate named by except is skipped.
func rank(candidates []candidate, key uint64, self string, limit int, except string) (position int, first string) {
	var own, best uint64
	found := false
	for _, c := range candidates {
		if c.name == except {
			continue
		}
		w := weight(c.hash, key)
		if first == "" || w > best {
			best, first = w, c.name
		}
		if c.name == self {
			own, found = w, true
		}
	}
	if !found {
		return limit, first
	}
	for _, c := range candidates {
		if c.name != self && c.name != except && weight(c.hash, key) > own {
			if position++; position == limit {
				break
			}
		}
	}
	return position, first
}

// hostGroups holds hosts by failure domain and by region.
type hostGroups struct {
	domains, regions map[string][]candidate
	all              []candidate
}

// groupHosts groups hosts. The result does not depend on their order.
func groupHosts(hosts []Host) hostGroups {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	p := hostGroups{domains: map[string][]candidate{}, regions: map[string][]candidate{}}
	for _, host := range hosts {
		c := candidate{host.Name, xxhash.Sum64String(host.Name)}
		p.domains[host.FailureDomain] = append(p.domains[host.FailureDomain], c)
		p.regions[host.Region] = append(p.regions[host.Region], c)
		p.all = append(p.all, c)
	}
	return p
}

// candidates returns the hosts that may own shards of the domain: those in it, else
// those in its region, else all.
func (p hostGroups) candidates(domain Domain) []candidate {
	if hosts := p.domains[domain.Name]; len(hosts) > 0 {
		return hosts
	}
	if hosts := p.regions[domain.Region]; len(hosts) > 0 {
		return hosts
	}
	return p.all
}
