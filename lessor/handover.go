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
	for _, shard := range s.monitored {
		if shard.state == stateDraining && shard.newOwner != "" && !s.canReceive(shard.newOwner) {
			s.resume(shard)
		}
	}
	if now.Before(s.nextHandoverAt) {
		return
	}
	if s.draining {
		s.drain()
		return
	}
	s.handoverCandidate = ""
	for _, shard := range s.monitored {
		if shard.state != stateOwned {
			continue
		}
		_, first := rank(s.stableHosts.candidates(shard.domain), shard.hash, "", 0, "")
		if first == "" || first == s.options.Self.Name {
			continue
		}
		if !s.holdsLease(now, first) {
			if s.handoverCandidate == "" && s.canReceive(first) {
				s.handoverCandidate = first
			}
			continue
		}
		shard.newOwner = first
		shard.fire(eventDrain)
		s.nextHandoverAt = now.Add(s.options.HandoverInterval)
		s.emit(DrainShard{Shard: shard.name, To: first})
		return
	}
}

// drain hands all shards to the hosts that remain. Without any, a shard is left
// without an owner.
func (s *State) drain() {
	for _, shard := range s.monitored {
		if shard.state == stateOwned {
			_, shard.newOwner = rank(s.eligibleHosts.candidates(shard.domain), shard.hash, "", 0, "")
			shard.fire(eventDrain)
			s.emit(DrainShard{Shard: shard.name, To: shard.newOwner})
		}
	}
}

// canReceive reports whether a host can still get a shard.
func (s *State) canReceive(host string) bool {
	view := s.hosts[host]
	return view != nil && view.live && s.eligible(view) && (!view.rowKnown || s.mayHoldLease(view))
}

// holdsLease reports whether the host's lease was recently seen to be active.
func (s *State) holdsLease(now time.Time, host string) bool {
	view := s.hosts[host]
	return view != nil && view.rowKnown && view.row.State == committer.RowActive &&
		now.Sub(view.lastSeenAt) < s.options.Lease && view.lastSeenAt.Sub(view.firstSeenAt) < s.options.Lease
}

func (s *State) resume(shard *shardView) {
	shard.fire(eventKeep)
	shard.newOwner = ""
	s.emit(ResumeShard{Shard: shard.name})
}

// handOver hands a shard over.
func (s *State) handOver(name string) {
	shard := s.shards[name]
	if shard == nil || shard.state != stateDraining || !s.leaseValid {
		return
	}
	shard.fire(eventIdle)
	row := encoder.ShardRow{Shard: name, Owner: shard.newOwner, Epoch: shard.row.Epoch + 1}
	if view := s.hosts[shard.newOwner]; view != nil && view.rowKnown && view.row.State == committer.RowActive {
		row.Incarnation = view.row.Incarnation
	}
	s.emit(HandOverShard{Shard: name, To: shard.newOwner, Row: row})
}

// finishHandover keeps the shard when the handover failed.
func (s *State) finishHandover(now time.Time, m HandoverFinished) {
	shard := s.shards[m.Shard]
	if shard == nil || shard.state != stateHandingOver {
		return
	}
	if m.Kind != provider.KindNone {
		s.resume(shard)
		s.nextHandoverAt = now.Add(s.options.HandoverInterval)
		return
	}
	shard.fire(eventHandedOver)
	shard.rowKnown = false
	shard.learnedOwner, shard.learnedEpoch = shard.newOwner, shard.row.Epoch+1
	shard.newOwner = ""
	// The new owner gets time to add its log range before this daemon looks.
	shard.nextReadAt = now.Add(s.jitter(s.options.CheckInterval))
}

// receiveShard reads the row of a shard that was handed to this daemon.
func (s *State) receiveShard(now time.Time, name string) {
	shard := s.shards[name]
	if shard == nil || shard.state != stateOther {
		return
	}
	shard.nextReadAt = now
	shard.readRequired = true
	if !slices.Contains(s.monitored, shard) {
		s.monitored = append(s.monitored, shard)
	}
}

// recordOwner takes over what another daemon knows. Such knowledge serves routing
// only; a claim needs a row that was read.
func (s *State) recordOwner(now time.Time, m OwnerLearned) {
	shard := s.shards[m.Shard]
	if shard == nil || shard.state != stateOther || m.Epoch <= max(shard.row.Epoch, shard.learnedEpoch) {
		return
	}
	if m.Owner == s.options.Self.Name {
		s.receiveShard(now, m.Shard)
		return
	}
	shard.learnedOwner, shard.learnedEpoch = m.Owner, m.Epoch
}

// checkDrained reports the end of a requested drain.
func (s *State) checkDrained() {
	if !s.draining || s.drained || s.claimInFlight {
		return
	}
	for _, shard := range s.monitored {
		if shard.state != stateOther {
			return
		}
	}
	s.drained = true
	s.emit(Drained{})
}
