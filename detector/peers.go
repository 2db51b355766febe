package detector

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxExtraPeers limits the hosts that get extra heartbeats because one was missed,
// and the returning hosts probed in a round.
const maxExtraPeers = 8

// probersPerDomain is the mean number of daemons of a failure domain that probe one
// unreachable host in a round.
const probersPerDomain = 4.0

// score returns the rendezvous hashing score of a pair of hashes.
func score(a, b uint64) uint64 {
	x := a ^ bits.RotateLeft64(b, 31)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (s *State) compareRendezvous(a, b *host) int {
	own := xxhash.Sum64String(s.self.Host)
	return cmp.Or(
		cmp.Compare(score(own, xxhash.Sum64String(b.member.Host)), score(own, xxhash.Sum64String(a.member.Host))),
		cmp.Compare(a.member.Host, b.member.Host))
}

// ring returns the other usable hosts of the own failure domain in order of hash,
// starting with the successor of this host.
func (s *State) ring() []*host {
	var ring []*host
	for _, name := range s.hostNames {
		h := s.hosts[name]
		if h.member.FailureDomain == s.self.FailureDomain && (h.usable() || name == s.self.Host) {
			ring = append(ring, h)
		}
	}
	slices.SortFunc(ring, func(a, b *host) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.member.Host), xxhash.Sum64String(b.member.Host)),
			cmp.Compare(a.member.Host, b.member.Host))
	})
	own := slices.IndexFunc(ring, func(h *host) bool { return h.member.Host == s.self.Host })
	return slices.Concat(ring[own+1:], ring[:own])
}

// heartbeatPeers returns the hosts that get a heartbeat in this round: the two
// successors on the ring, one host at a power-of-two distance, and one host of
// another failure domain. The distance and the domain rotate with the round.
// Through the distances, rumours cross the domain in a logarithmic number of steps.
// The set of connections changes only when the members do.
func (s *State) heartbeatPeers() []*host {
	ring := s.ring()
	out := slices.Clone(ring[:min(2, len(ring))])
	if size := len(ring); size > 2 {
		// The distances are 4, 8, 16 and so on, up to the size of the ring.
		steps := max(1, bits.Len(uint(size))-2)
		i := min(4<<(s.round%steps), size) - 1
		if i >= 2 {
			out = append(out, ring[i])
		}
	}
	if h := s.remoteDomainPeer(); h != nil {
		out = append(out, h)
	}
	return out
}

func (s *State) remoteDomainPeer() *host {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(s.domains)), func(name string) bool {
		return name == s.self.FailureDomain
	})
	for i := range names {
		name := names[(s.round+i)%len(names)]
		hosts := slices.DeleteFunc(s.expectedHosts(s.domains[name]), func(h *host) bool { return !h.usable() })
		if len(hosts) > 0 {
			return slices.MinFunc(hosts, s.compareRendezvous)
		}
	}
	return nil
}

// sendHeartbeats returns the heartbeats of a round and the probes of hosts that may
// be reachable again.
func (s *State) sendHeartbeats(now time.Time) []Command {
	var commands []Command
	peers := s.heartbeatPeers()
	extra := 0
	for _, name := range s.hostNames {
		h := s.hosts[name]
		failing := (h.state == Joining || h.state == Ready || h.state == Suspect) && !h.failingSince.IsZero()
		recovering := h.state == Suspect && h.successes > 0
		if (failing || recovering) && extra < maxExtraPeers && name != s.self.Host && !slices.Contains(peers, h) {
			peers = append(peers, h)
			extra++
		}
	}
	for _, h := range peers {
		commands = append(commands, s.heartbeatTo(now, h))
	}
	return append(commands, s.probeUnreachable(now)...)
}

// probeUnreachable probes hosts that may be reachable again: those that have begun
// to reply, one host of each lost domain and, with a probability that bounds the
// load, one host that is unreachable or on which the failure domains disagree.
func (s *State) probeUnreachable(now time.Time) []Command {
	var single, returning []*host
	byDomain := map[string][]*host{}
	for _, name := range s.hostNames {
		h := s.hosts[name]
		disputed := h.state == Ready && (h.ownObservation.state == Unreachable || h.homeObservation.state == Unreachable)
		exited := h.state == Leaving && !h.failingSince.IsZero()
		switch {
		case name == s.self.Host:
		case disputed || exited:
			single = append(single, h)
		case h.state != Unreachable && (h.state != Gone || h.leaving || now.Sub(h.goneAt) > time.Minute):
		case h.lostWithDomain:
			byDomain[h.member.FailureDomain] = append(byDomain[h.member.FailureDomain], h)
		case h.successes > 0:
			returning = append(returning, h)
		default:
			single = append(single, h)
		}
	}
	var commands []Command
	for _, h := range returning[:min(len(returning), maxExtraPeers)] {
		commands = append(commands, s.probeHost(now, h)...)
	}
	// A returning host must not get probes of the whole fleet at once: about four
	// daemons of each failure domain probe it in a round and spread the result.
	chance := probersPerDomain / float64(len(s.ring())+1) * float64(len(single))
	if len(single) > 0 && s.random.Float64() < chance {
		commands = append(commands, s.probeHost(now, single[s.round%len(single)])...)
	}
	for _, name := range slices.Sorted(maps.Keys(byDomain)) {
		hosts := byDomain[name]
		next := hosts[s.round%len(hosts)]
		for _, h := range hosts {
			if h.successes > 0 {
				next = h
			}
		}
		commands = append(commands, s.probeHost(now, next)...)
	}
	return commands
}
