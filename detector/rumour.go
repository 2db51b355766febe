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

// maxQueuedRumours limits the rumours that wait to be sent. Those at the end of the
// queue, the ones sent most often, are dropped first.
const maxQueuedRumours = 1_024

// maxRepairs limits the rumours added to a heartbeat for a peer whose digest
// differs.
const maxRepairs = 4

// Kinds of rumours.
const (
	kindHost   = "host"
	kindTarget = "target"
	kindDomain = "domain"
)

// observation is the newest observation of one failure domain about a host or
// target.
type observation struct {
	sequence int
	state    string
}

// replaceIfNewer stores the observation of a rumour if it is newer, and reports
// whether it did. Of two with the same sequence, unreachable wins.
func (o *observation) replaceIfNewer(rumour encoder.Rumour) bool {
	worse := rumour.State == Unreachable && o.state != Unreachable
	if rumour.Sequence < o.sequence || rumour.Sequence == o.sequence && !worse {
		return false
	}
	o.sequence, o.state = rumour.Sequence, rumour.State
	return true
}

// rumourQueue holds the rumours to send, one for each subject and observer.
type rumourQueue struct {
	entries []queuedRumour
}

type queuedRumour struct {
	rumour encoder.Rumour
	sent   int
	urgent bool
}

// add queues a rumour and removes an older one of the same kind, subject and
// observer.
func (r *rumourQueue) add(rumour encoder.Rumour, urgent bool) {
	r.entries = slices.DeleteFunc(r.entries, func(q queuedRumour) bool {
		return q.rumour.Kind == rumour.Kind && q.rumour.Subject == rumour.Subject && q.rumour.Observer == rumour.Observer
	})
	r.entries = slices.Insert(r.entries, 0, queuedRumour{rumour: rumour, urgent: urgent})
	if len(r.entries) > maxQueuedRumours {
		r.entries = r.entries[:maxQueuedRumours]
	}
}

// next returns up to limit rumours and counts them as sent: urgent ones first, then
// those sent least often, then the newest. A rumour is dropped after about
// 3 log2(hosts) transmissions: it reaches several hosts in each round, and the factor
// allows for lost messages. What a failure domain observes about the members of
// other domains is sent only within the domain.
func (r *rumourQueue) next(limit, hosts int, sameDomain bool) []encoder.Rumour {
	slices.SortStableFunc(r.entries, func(a, b queuedRumour) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.sent, b.sent)
	})
	maxSent := 3*bits.Len(uint(hosts)) + 3
	var out []encoder.Rumour
	for i := range r.entries {
		q := &r.entries[i]
		if len(out) == limit {
			break
		}
		if q.rumour.Observer != "" && !sameDomain && q.rumour.Observer != q.rumour.FailureDomain {
			continue
		}
		out = append(out, q.rumour)
		q.sent++
	}
	r.entries = slices.DeleteFunc(r.entries, func(q queuedRumour) bool { return q.sent >= maxSent })
	return out
}

func (s *State) ownFact(now time.Time) encoder.Rumour {
	return encoder.Rumour{
		Kind: kindHost, Subject: s.self.Host, State: s.ownState(), Incarnation: s.self.Incarnation,
		Generation: s.self.Generation, Sequence: s.sequence, At: int(now.UnixMilli()),
		Address: s.self.Address, FailureDomain: s.self.FailureDomain, Region: s.self.Region,
	}
}

// applyRumours applies the rumours of a heartbeat, at most Settings.MaxRumours.
func (s *State) applyRumours(now time.Time, list []encoder.Rumour) {
	if len(list) > s.settings.MaxRumours {
		list = list[:s.settings.MaxRumours]
	}
	for _, rumour := range list {
		switch rumour.Kind {
		case kindHost:
			if rumour.Observer == "" {
				s.receiveFact(now, rumour)
			} else {
				s.receiveHostObservation(now, rumour)
			}
		case kindTarget:
			if rumour.State == Leaving {
				s.targetLeaving(now, rumour.Subject, rumour.At)
			} else {
				s.receiveTargetObservation(now, rumour)
			}
		case kindDomain:
			if rumour.Observer == s.self.FailureDomain {
				s.receiveDomainObservation(now, rumour)
			}
		}
	}
}

// currentDigest returns a hash of digestRumours. A peer with another digest is sent
// some of these rumours, so that a host that missed them when they spread still
// gets them.
func (s *State) currentDigest(sameDomain bool) string {
	if s.digestStale {
		s.digestStale = false
		for i := range s.digests {
			hash := xxhash.New()
			for _, rumour := range s.digestRumours(i == 1) {
				hash.WriteString(rumour.Kind + "\x00" + rumour.Subject + "\x00" + rumour.Observer + "\x00")
			}
			s.digests[i] = strconv.FormatUint(hash.Sum64()>>32, 16)
		}
	}
	if sameDomain {
		return s.digests[1]
	}
	return s.digests[0]
}

// digestRumours returns the rumours that a peer should have as well: which hosts and
// targets are leaving, which are unreachable within their own failure domain and,
// for peers of the same failure domain, what is unreachable from this one.
func (s *State) digestRumours(sameDomain bool) []encoder.Rumour {
	var out []encoder.Rumour
	domain := s.self.FailureDomain
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		if d := s.domains[name]; d.lost && sameDomain {
			out = append(out, d.observationRumour(domain))
		}
	}
	for _, name := range s.hostNames {
		h := s.hosts[name]
		if h.state == Leaving {
			out = append(out, h.fact())
		} else if h.state != Gone {
			for _, o := range unreachableObservations(h.ownObservation, h.homeObservation, domain, h.member.FailureDomain, sameDomain) {
				out = append(out, h.observationRumour(o.observer, o.observation))
			}
		}
	}
	for _, name := range s.targetNames {
		t := s.targets[name]
		if t.state == Leaving {
			out = append(out, encoder.Rumour{Kind: kindTarget, Subject: name, State: Leaving, At: t.leavingAt})
		} else if t.state != Gone {
			for _, o := range unreachableObservations(t.ownObservation, t.homeObservation, domain, t.member.FailureDomain, sameDomain) {
				out = append(out, t.observationRumour(o.observer, o.observation))
			}
		}
	}
	return out
}

// attributedObservation is an observation with the failure domain that made it.
type attributedObservation struct {
	observer string
	observation
}

// unreachableObservations returns the observations of an unreachable host or target
// that may be sent to a peer.
func unreachableObservations(own, home observation, domain, subjectDomain string, sameDomain bool) []attributedObservation {
	var out []attributedObservation
	if own.state == Unreachable && (sameDomain || subjectDomain == domain) {
		out = append(out, attributedObservation{domain, own})
	}
	if home.state == Unreachable && subjectDomain != domain {
		out = append(out, attributedObservation{subjectDomain, home})
	}
	return out
}

// nextRepairs returns some of the digestRumours, continuing in the next call where
// this one stopped.
func (s *State) nextRepairs(limit int, sameDomain bool) []encoder.Rumour {
	limit = min(limit, maxRepairs)
	if limit <= 0 {
		return nil
	}
	all := s.digestRumours(sameDomain)
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
