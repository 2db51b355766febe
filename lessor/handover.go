package lessor

import (
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// rebalance starts handovers of shards that another host should own.
func (s *State) rebalance(now time.Time) {
	for _, shard := range s.cared {
		if shard.state == stateDraining && shard.to != "" && !s.usable(shard.to) {
			s.keep(shard)
		}
	}
	if now.Before(s.handoverAt) {
		return
	}
	if s.draining {
		s.drain()
		return
	}
	s.proposed = ""
	for _, shard := range s.cared {
		if shard.state != stateOwned {
			continue
		}
		_, first := rank(s.settled.candidates(shard.domain), shard.hash, "", 0, "")
		if first == "" || first == s.options.Self.Name {
			continue
		}
		if !s.holdsLease(now, first) {
			if s.proposed == "" && s.usable(first) {
				s.proposed = first
			}
			continue
		}
		shard.to = first
		shard.fire(eventDrain)
		s.handoverAt = now.Add(s.options.HandoverInterval)
		s.emit(DrainShard{Shard: shard.name, To: first})
		return
	}
}

// drain hands all shards to the hosts that remain. Without any, a shard is left
// without an owner.
func (s *State) drain() {
	for _, shard := range s.cared {
		if shard.state == stateOwned {
			_, shard.to = rank(s.places.candidates(shard.domain), shard.hash, "", 0, "")
			shard.fire(eventDrain)
			s.emit(DrainShard{Shard: shard.name, To: shard.to})
		}
	}
}

// usable reports whether a host can still get a shard.
func (s *State) usable(host string) bool {
	view := s.hosts[host]
	return view != nil && view.live && s.eligible(view) && (!view.known || s.mayHold(view))
}

// holdsLease reports whether the host's lease was recently seen to be active.
func (s *State) holdsLease(now time.Time, host string) bool {
	view := s.hosts[host]
	return view != nil && view.known && view.row.State == committer.LeaseRowActive &&
		now.Sub(view.lastAt) < s.options.Lease && view.lastAt.Sub(view.seenAt) < s.options.Lease
}

func (s *State) keep(shard *shardView) {
	shard.fire(eventKeep)
	shard.to = ""
	s.emit(ResumeShard{Shard: shard.name})
}

// shardIdle hands a shard over.
func (s *State) shardIdle(name string) {
	shard := s.shards[name]
	if shard == nil || shard.state != stateDraining || !s.valid {
		return
	}
	shard.fire(eventIdle)
	row := encoder.ShardRow{Shard: name, Owner: shard.to, Epoch: shard.row.Epoch + 1}
	if view := s.hosts[shard.to]; view != nil && view.known && view.row.State == committer.LeaseRowActive {
		row.Incarnation = view.row.Incarnation
	}
	s.emit(HandOverShard{Shard: name, To: shard.to, Row: row})
}

// handoverFinished keeps the shard when the handover failed.
func (s *State) handoverFinished(now time.Time, m HandoverFinished) {
	shard := s.shards[m.Shard]
	if shard == nil || shard.state != stateHandingOver {
		return
	}
	if m.Kind != provider.KindNone {
		s.keep(shard)
		s.handoverAt = now.Add(s.options.HandoverInterval)
		return
	}
	shard.fire(eventHandedOver)
	shard.known = false
	shard.learned, shard.learnedEpoch = shard.to, shard.row.Epoch+1
	shard.to = ""
	// The new owner gets time to add its log range before this daemon looks.
	shard.readAt = now.Add(s.jitter(s.options.CheckInterval))
}

// handoverReceived reads the row of a shard that was handed to this daemon.
func (s *State) handoverReceived(now time.Time, name string) {
	shard := s.shards[name]
	if shard == nil || shard.state != stateOther {
		return
	}
	shard.readAt = now
	shard.invited = true
	if !slices.Contains(s.cared, shard) {
		s.cared = append(s.cared, shard)
	}
}

// ownerLearned takes over what another daemon knows. Such knowledge serves routing
// only; a claim needs a row that was read.
func (s *State) ownerLearned(now time.Time, m OwnerLearned) {
	shard := s.shards[m.Shard]
	if shard == nil || shard.state != stateOther || m.Epoch <= max(shard.row.Epoch, shard.learnedEpoch) {
		return
	}
	if m.Owner == s.options.Self.Name {
		s.handoverReceived(now, m.Shard)
		return
	}
	shard.learned, shard.learnedEpoch = m.Owner, m.Epoch
}

// checkDrained reports the end of a requested drain.
func (s *State) checkDrained() {
	if !s.draining || s.drained || s.claiming {
		return
	}
	for _, shard := range s.cared {
		if shard.state != stateOther {
			return
		}
	}
	s.drained = true
	s.emit(Drained{})
}
