package detector

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// maxQueued bounds the rumours that wait to be sent; those sent most are dropped
// first.
const maxQueued = 1_024

// maxRepairs bounds the facts added to a heartbeat for a peer whose digest
// differs.
const maxRepairs = 4

// Kinds of rumours.
const (
	kindHost   = "host"
	kindTarget = "target"
	kindDomain = "domain"
)

// observation is the newest observation of one failure domain about a subject.
type observation struct {
	stamp int
	state string
}

// take stores a newer observation; of two that were made at the same time the
// worse one stands.
func (o *observation) take(rumour encoder.Rumour) bool {
	worse := rumour.State == Unreachable && o.state != Unreachable
	if rumour.Sequence < o.stamp || rumour.Sequence == o.stamp && !worse {
		return false
	}
	o.stamp, o.state = rumour.Sequence, rumour.State
	return true
}

// rumours is the queue of news to spread, one for each subject and observer.
type rumours struct {
	queue []queued
}

type queued struct {
	rumour encoder.Rumour
	sent   int
	urgent bool
}

// add queues a rumour in place of an older one about the same.
func (r *rumours) add(rumour encoder.Rumour, urgent bool) {
	r.queue = slices.DeleteFunc(r.queue, func(q queued) bool {
		return q.rumour.Kind == rumour.Kind && q.rumour.Subject == rumour.Subject && q.rumour.Observer == rumour.Observer
	})
	r.queue = slices.Insert(r.queue, 0, queued{rumour: rumour, urgent: urgent})
	if len(r.queue) > maxQueued {
		r.queue = r.queue[:maxQueued]
	}
}

// take returns up to limit rumours, those sent least first and among them the
// newest, and counts them as sent. A rumour is sent 3 log2(hosts) times: in each
// round it reaches several hosts, and the factor leaves room for lost messages.
// What a failure domain observes about others goes only to hosts in it.
func (r *rumours) take(limit, hosts int, same bool) []encoder.Rumour {
	slices.SortStableFunc(r.queue, func(a, b queued) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.sent, b.sent)
	})
	times := 3*bits.Len(uint(hosts)) + 3
	var out []encoder.Rumour
	for i := range r.queue {
		q := &r.queue[i]
		if len(out) == limit {
			break
		}
		if q.rumour.Observer != "" && !same && q.rumour.Observer != q.rumour.FailureDomain {
			continue
		}
		out = append(out, q.rumour)
		q.sent++
	}
	r.queue = slices.DeleteFunc(r.queue, func(q queued) bool { return q.sent >= times })
	return out
}

func (s *State) ownFact(now time.Time) encoder.Rumour {
	return encoder.Rumour{
		Kind: kindHost, Subject: s.self.Host, State: s.ownState(), Incarnation: s.self.Incarnation,
		Generation: s.self.Generation, Sequence: s.sequence, At: int(now.UnixMilli()),
		Address: s.self.Address, FailureDomain: s.self.FailureDomain, Region: s.self.Region,
	}
}

// hear applies the rumours of a heartbeat.
func (s *State) hear(now time.Time, list []encoder.Rumour) {
	if len(list) > s.settings.MaxRumours {
		list = list[:s.settings.MaxRumours]
	}
	for _, rumour := range list {
		switch rumour.Kind {
		case kindHost:
			if rumour.Observer == "" {
				s.hearFact(now, rumour)
			} else {
				s.hearHost(now, rumour)
			}
		case kindTarget:
			if rumour.State == Leaving {
				s.targetLeaving(now, rumour.Subject, rumour.At)
			} else {
				s.hearTarget(now, rumour)
			}
		case kindDomain:
			if rumour.Observer == s.self.FailureDomain {
				s.hearDomain(now, rumour)
			}
		}
	}
}

// currentDigest hashes what a peer should know too: the leaving hosts and targets
// and, inside the failure domain, what cannot be reached. Peers with another
// digest are sent some of it, so that a host that missed the rumours learns it.
func (s *State) currentDigest(same bool) string {
	if s.digestStale {
		s.digestStale = false
		for i := range s.digests {
			hash := xxhash.New()
			for _, fact := range s.facts(i == 1) {
				hash.WriteString(fact.Kind + "\x00" + fact.Subject + "\x00" + fact.Observer + "\x00")
			}
			s.digests[i] = strconv.FormatUint(hash.Sum64()>>32, 16)
		}
	}
	if same {
		return s.digests[1]
	}
	return s.digests[0]
}

// facts returns the news that stay true: who is leaving, who cannot be reached
// inside its own failure domain and, for peers of the same failure domain, who
// cannot be reached from this one.
func (s *State) facts(same bool) []encoder.Rumour {
	var out []encoder.Rumour
	domain := s.self.FailureDomain
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		if d := s.domains[name]; d.lost && same {
			out = append(out, d.observed(domain))
		}
	}
	for _, name := range s.hostNames {
		h := s.hosts[name]
		if h.state == Leaving {
			out = append(out, h.fact())
		} else if h.state != Gone {
			for _, o := range observations(h.own, h.home, domain, h.member.FailureDomain, same) {
				out = append(out, h.observed(o.observer, o.observation))
			}
		}
	}
	for _, name := range s.targetNames {
		t := s.targets[name]
		if t.state == Leaving {
			out = append(out, encoder.Rumour{Kind: kindTarget, Subject: name, State: Leaving, At: t.leavingAt})
		} else if t.state != Gone {
			for _, o := range observations(t.own, t.home, domain, t.member.FailureDomain, same) {
				out = append(out, t.observed(o.observer, o.observation))
			}
		}
	}
	return out
}

type attributed struct {
	observer string
	observation
}

// observations returns those that say unreachable and concern a peer.
func observations(own, home observation, domain, subjectDomain string, same bool) []attributed {
	var out []attributed
	if own.state == Unreachable && (same || subjectDomain == domain) {
		out = append(out, attributed{domain, own})
	}
	if home.state == Unreachable && subjectDomain != domain {
		out = append(out, attributed{subjectDomain, home})
	}
	return out
}

// repairs returns some of the facts, others each time.
func (s *State) repairs(limit int, same bool) []encoder.Rumour {
	limit = min(limit, maxRepairs)
	if limit <= 0 {
		return nil
	}
	all := s.facts(same)
	if len(all) <= limit {
		return all
	}
	var out []encoder.Rumour
	for range limit {
		out = append(out, all[s.repairCursor%len(all)])
		s.repairCursor++
	}
	return out
}
