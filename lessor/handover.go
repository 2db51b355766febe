package lessor

import (
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// rebalance cancels handovers to hosts that can no longer receive shards. It then
// starts the handover of one shard that another host should own or, during a drain, of
// all shards.
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

// drain starts the handover of all shards to the remaining hosts. Without any, a shard
// is left without an owner.
func (s *State) drain() {
	for _, shard := range s.monitored {
		if shard.state == stateOwned {
			_, shard.newOwner = rank(s.eligibleHosts.candidates(shard.domain), shard.hash, "", 0, "")
			shard.fire(eventDrain)
			s.emit(DrainShard{Shard: shard.name, To: shard.newOwner})
		}
	}
}

// canReceive reports whether a host is live, may own shards and is not known to have
// lost its lease.
func (s *State) canReceive(host string) bool {
	view := s.hosts[host]
	return view != nil && view.live && s.eligible(view) && (!view.rowKnown || s.mayHoldLease(view))
}

// holdsLease reports whether the host's lease was recently seen to be active and
// renewed.
func (s *State) holdsLease(now time.Time, host string) bool {
	view := s.hosts[host]
	return view != nil && view.rowKnown && view.row.State == committer.LeaseRowActive &&
		now.Sub(view.lastSeenAt) < s.options.Lease && view.lastSeenAt.Sub(view.firstSeenAt) < s.options.Lease
}

// resume cancels the handover of a shard, which this daemon then serves again.
func (s *State) resume(shard *shardView) {
	shard.fire(eventKeep)
	shard.newOwner = ""
	s.emit(ResumeShard{Shard: shard.name})
}

// handOver hands over a draining shard that has become idle. The row names the new
// owner's incarnation only when its lease row is known.
func (s *State) handOver(name string) {
	shard := s.shards[name]
	if shard == nil || shard.state != stateDraining || !s.leaseValid {
		return
	}
	shard.fire(eventIdle)
	row := encoder.ShardRow{Shard: name, Owner: shard.newOwner, Epoch: shard.row.Epoch + 1}
	if view := s.hosts[shard.newOwner]; view != nil && view.rowKnown && view.row.State == committer.LeaseRowActive {
		row.Incarnation = view.row.Incarnation
	}
	s.emit(HandOverShard{Shard: name, To: shard.newOwner, Row: row})
}

// finishHandover records the new owner, or resumes the shard when the handover failed.
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
	// The new owner gets time to add its log range before this daemon reads the row.
	shard.nextReadAt = now.Add(s.jitter(s.options.CheckInterval))
}

// receiveShard schedules an immediate read of the row of a shard that was handed over
// to this daemon.
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

// recordOwner records the owner that another daemon has reported. It is used for
// routing only; a claim requires a row that was read from the store.
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

// checkDrained emits Drained when a requested drain is complete.
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
