package detector

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxWatched bounds the hosts that get extra heartbeats because one was missed.
const maxWatched = 8

// probersPerDomain is the mean number of daemons of a failure domain that probe one
// unreachable host in a round.
const probersPerDomain = 4.0

// score orders hosts and targets for rendezvous hashing.
func score(a, b uint64) uint64 {
	x := a ^ bits.RotateLeft64(b, 31)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (s *State) byRendezvous(a, b *host) int {
	own := xxhash.Sum64String(s.self.Host)
	return cmp.Or(
		cmp.Compare(score(own, xxhash.Sum64String(b.member.Host)), score(own, xxhash.Sum64String(a.member.Host))),
		cmp.Compare(a.member.Host, b.member.Host))
}

// ring returns the usable hosts of the own failure domain in order of hash, from
// the successor of this host.
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

// peers returns the hosts for the heartbeats of this round: two successors on the
// ring, one at a distance of a power of two by rotation, so that news crosses
// the domain in a logarithmic number of steps, and one host of another failure
// domain by rotation. The set of connections stays fixed while members do.
func (s *State) peers() []*host {
	ring := s.ring()
	out := slices.Clone(ring[:min(2, len(ring))])
	if far := len(ring); far > 2 {
		// Distances 4, 8, 16 and so on below the size of the ring.
		steps := max(1, bits.Len(uint(far))-2)
		i := min(4<<(s.round%steps), far) - 1
		if i >= 2 {
			out = append(out, ring[i])
		}
	}
	if h := s.peerAcross(); h != nil {
		out = append(out, h)
	}
	return out
}

func (s *State) peerAcross() *host {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(s.domains)), func(name string) bool {
		return name == s.self.FailureDomain
	})
	for i := range names {
		name := names[(s.round+i)%len(names)]
		hosts := slices.DeleteFunc(s.members(s.domains[name]), func(h *host) bool { return !h.usable() })
		if len(hosts) > 0 {
			return slices.MinFunc(hosts, s.byRendezvous)
		}
	}
	return nil
}

// beat sends the heartbeats of a round and probes hosts that may have returned.
func (s *State) beat(now time.Time) []Command {
	var commands []Command
	peers := s.peers()
	watched := 0
	for _, name := range s.hostNames {
		h := s.hosts[name]
		failing := (h.state == Joining || h.state == Ready || h.state == Suspect) && !h.firstMiss.IsZero()
		recovering := h.state == Suspect && h.successes > 0
		if (failing || recovering) && watched < maxWatched && name != s.self.Host && !slices.Contains(peers, h) {
			peers = append(peers, h)
			watched++
		}
	}
	for _, h := range peers {
		commands = append(commands, s.heartbeatTo(now, h))
	}
	return append(commands, s.probeLost(now)...)
}

// probeLost probes one host that is unreachable or about which the failure domains
// disagree, those that have begun to answer, and one host of each lost domain.
func (s *State) probeLost(now time.Time) []Command {
	var single, returning []*host
	byDomain := map[string][]*host{}
	for _, name := range s.hostNames {
		h := s.hosts[name]
		disputed := h.state == Ready && (h.own.state == Unreachable || h.home.state == Unreachable)
		exited := h.state == Leaving && !h.firstMiss.IsZero()
		switch {
		case name == s.self.Host:
		case disputed || exited:
			single = append(single, h)
		case h.state != Unreachable && (h.state != Gone || h.left || now.Sub(h.goneAt) > time.Minute):
		case h.byDomain:
			byDomain[h.member.FailureDomain] = append(byDomain[h.member.FailureDomain], h)
		case h.successes > 0:
			returning = append(returning, h)
		default:
			single = append(single, h)
		}
	}
	var commands []Command
	for _, h := range returning[:min(len(returning), maxWatched)] {
		commands = append(commands, s.probeHost(now, h)...)
	}
	// A returning host must not meet the whole fleet at once: about four daemons of
	// each failure domain probe it in a round, and others learn of it from them.
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
