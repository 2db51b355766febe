package lessor

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// hostsChanged takes the live hosts over. A host that is no longer live stays known
// until its lease has ended.
func (s *State) hostsChanged(now time.Time, live []Host) {
	seen := map[string]bool{}
	if !slices.ContainsFunc(live, func(h Host) bool { return h.Name == s.options.Self.Name }) {
		live = append(slices.Clone(live), s.options.Self)
	}
	for _, host := range live {
		seen[host.Name] = true
		view := s.hostView(host.Name)
		if !view.live {
			view.live, view.since = true, now
		}
		if before := view.host.Incarnation; before != "" && host.Incarnation != before {
			// A restarted owner does not know of shards that it is not ranked for.
			view.restartedAt, view.readAt = now, now
		}
		view.host = host
	}
	for _, view := range s.views {
		name := view.host.Name
		if view.live && !seen[name] {
			view.live = false
			if s.caresForShardOf(name) {
				view.readAt = now
			}
		}
	}
	s.recount(now)
}

func (s *State) caresForShardOf(host string) bool {
	for _, shard := range s.cared {
		if shard.known && shard.row.Owner == host {
			return true
		}
	}
	return false
}

// hostView returns the view of a host and creates it if needed.
func (s *State) hostView(name string) *hostView {
	view := s.hosts[name]
	if view == nil {
		view = &hostView{host: Host{Name: name}, hash: xxhash.Sum64String(name)}
		s.hosts[name] = view
		s.sortViews()
	}
	return view
}

// recount computes preferences anew after the live hosts have changed.
func (s *State) recount(now time.Time) {
	var live []Host
	for _, view := range s.views {
		if view.live && s.eligible(view) {
			live = append(live, view.host)
		}
	}
	s.places = group(live)
	s.settle(now)
	self := s.options.Self.Name
	for _, view := range s.views {
		name := view.host.Name
		view.watched, _ = rank(s.places.all, view.hash, self, s.options.WatchersPerLease, name)
		if name == self {
			view.watched = s.options.WatchersPerLease
		}
	}
	for _, shard := range s.order {
		before := shard.rank
		shard.rank, _ = rank(s.places.candidates(shard.domain), shard.hash, self, claimRanks, "")
		if shard.rank < before {
			shard.readAt = now
		}
	}
	s.selectCared()
}

// selectCared lists the shards whose rows this daemon reads.
func (s *State) selectCared() {
	s.cared = s.cared[:0]
	for _, shard := range s.order {
		mine := shard.known && shard.row.Owner == s.options.Self.Name
		if shard.rank < claimRanks || shard.state != stateOther || shard.invited || mine {
			s.cared = append(s.cared, shard)
		}
	}
}

// lookForOwn reads each shard once at the start of a new incarnation: an earlier one
// may have owned shards for which this host is not ranked, and nobody else looks for
// them before noticing the restart.
func (s *State) lookForOwn(now time.Time) {
	for _, shard := range s.order {
		if shard.state == stateOther && shard.rank >= claimRanks {
			shard.invited, shard.readAt = true, now
		}
	}
	s.selectCared()
}

// eligible reports whether a live host may own shards.
func (s *State) eligible(view *hostView) bool {
	if view.host.Name == s.options.Self.Name {
		return !s.draining
	}
	return !view.host.Leaving && !view.excluded
}

// exclude leaves out live hosts that have had no lease for a while: they cannot reach
// the store, or are just starting. Only hosts that read their leases know of them.
func (s *State) exclude(now time.Time) {
	changed := false
	for _, view := range s.views {
		if !view.known || s.mayHold(view) {
			view.endedAt = time.Time{}
		} else if view.endedAt.IsZero() {
			view.endedAt = now
		}
		excluded := !view.endedAt.IsZero() && now.Sub(view.endedAt) > 2*s.options.Lease
		if excluded != view.excluded {
			view.excluded, changed = excluded, true
		}
	}
	if changed {
		s.recount(now)
	}
}

// settle computes which hosts have been live for long enough to get shards.
func (s *State) settle(now time.Time) {
	var settled []Host
	s.settleAt = time.Time{}
	for _, view := range s.views {
		name := view.host.Name
		if !view.live || !s.eligible(view) {
			continue
		}
		at := view.since.Add(s.options.StabilizationPeriod)
		if name == s.options.Self.Name || !now.Before(at) {
			settled = append(settled, view.host)
		} else if s.settleAt.IsZero() || at.Before(s.settleAt) {
			s.settleAt = at
		}
	}
	s.settled = group(settled)
}

// leasesRead notes lease rows. Reads in long succession start the observation anew:
// between them the store may have been away for the holder too.
func (s *State) leasesRead(now time.Time, m LeaseRowsRead) {
	for _, name := range m.Failed {
		s.hostView(name).reading = false
	}
	for _, read := range m.Rows {
		view := s.hostView(read.Key)
		view.reading = false
		var row encoder.LeaseRow
		if read.Version != provider.VersionAbsent {
			if err := json.Unmarshal(read.Value, &row); err != nil || row.Incarnation == "" {
				s.emit(RowDamaged{Table: committer.TableLeases, Key: read.Key})
				view.known = false
				continue
			}
		}
		if !view.known || view.version != read.Version || now.Sub(view.lastAt) > s.options.Lease*2/3 {
			view.seenAt = now
		}
		view.known, view.row, view.version = true, row, read.Version
		view.lastAt, view.sentAt = now, view.requestedAt
	}
}

// dead reports whether the owner in a shard's row certainly cannot act any more. A
// lease row of another incarnation proves this only if it was requested after the
// shard's row was received: otherwise the owner may be newer than the lease row.
func (s *State) dead(shard *shardView) bool {
	view := s.hosts[shard.row.Owner]
	switch {
	case shard.row.Owner == "":
		return true
	case view == nil || !view.known:
		return false
	case shard.row.Incarnation != "" && shard.row.Incarnation == view.row.Incarnation:
		return view.row.State != committer.LeaseRowActive
	case view.sentAt.Before(shard.receivedAt):
		return false
	}
	return shard.row.Incarnation != "" || !s.mayHold(view)
}

// readLeases reads the lease rows that are due.
func (s *State) readLeases(now time.Time) {
	s.markWanted(now)
	var due []string
	for _, view := range s.views {
		name := view.host.Name
		watched := view.watched < s.options.WatchersPerLease && (view.live || s.mayHold(view))
		if !watched && !view.wanted || view.reading || now.Before(view.readAt) {
			continue
		}
		if !s.allow(now) {
			break
		}
		view.reading, view.requestedAt = true, now
		view.readAt = now.Add(s.options.Lease / 3)
		if !watched && !view.urgent {
			view.readAt = now.Add(2 * s.options.Lease)
		}
		if expiry := view.seenAt.Add(committer.ClaimerLease(s.options.Lease, s.options.ClockRateError)); view.known &&
			expiry.After(now) && expiry.Before(view.readAt) {
			view.readAt = expiry
		}
		due = append(due, name)
	}
	if len(due) > 0 {
		s.emit(ReadLeaseRows{Hosts: due})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// mayHold reports whether the host's lease is not known to have ended.
func (s *State) mayHold(view *hostView) bool {
	return !view.known || view.version != provider.VersionAbsent && view.row.State == committer.LeaseRowActive
}

// markWanted marks the owners whose lease decides about a shard that this daemon
// cares for: owners that are not live, and now and then all others, since a live host
// may have lost its lease.
func (s *State) markWanted(now time.Time) {
	for _, view := range s.views {
		view.wanted, view.urgent = false, false
	}
	if s.proposed != "" {
		s.hostView(s.proposed).wanted = true
	}
	for _, shard := range s.cared {
		owner := shard.row.Owner
		if shard.state != stateOther || !shard.known || owner == "" || owner == s.options.Self.Name {
			continue
		}
		view := s.hostView(owner)
		stale := now.Sub(view.lastAt) > 2*s.options.CheckInterval
		if older := view.known && shard.row.Incarnation != view.row.Incarnation && view.sentAt.Before(shard.receivedAt); older {
			view.wanted = true
			view.readAt = earlier(view.readAt, now)
		} else if !view.known || s.mayHold(view) && (stale || !view.live || s.restarted(now, view)) {
			view.wanted = true
		}
		// The first-ranked host of a shard reads often; a second-ranked one that read as
		// often would take the budget from its own shards when many hosts fail.
		view.urgent = view.urgent || view.wanted && shard.rank == 0
	}
}

// restarted reports whether the host has recently begun a new run; its lease row may
// still be that of the run before.
func (s *State) restarted(now time.Time, view *hostView) bool {
	return !view.restartedAt.IsZero() && now.Sub(view.restartedAt) < 2*s.options.Lease
}

// fence fences leases that have been unchanged for long enough. The watchers take
// turns, so that usually only one writes.
func (s *State) fence(now time.Time) {
	expiry := committer.ClaimerLease(s.options.Lease, s.options.ClockRateError)
	for _, view := range s.views {
		name := view.host.Name
		if view.fencing || !view.known || view.version == provider.VersionAbsent ||
			view.row.State != committer.LeaseRowActive || name == s.options.Self.Name {
			continue
		}
		if view.watched == s.options.WatchersPerLease && !view.wanted {
			continue
		}
		if view.lastAt.Sub(view.seenAt) < expiry || now.Before(view.seenAt.Add(expiry+s.turn(view))) {
			continue
		}
		// Another one may have fenced it meanwhile: a read is cheaper than a conflict.
		if now.Sub(view.lastAt) > s.options.FenceStagger/5 {
			view.readAt = earlier(view.readAt, now)
			continue
		}
		view.fencing = true
		row := view.row
		row.State, row.FencedBy = committer.LeaseRowFenced, s.options.Self.Name
		s.emit(FenceHost{Host: name, Version: view.version, Row: row})
	}
}

// turn is how long this daemon leaves an expired lease to others. Those that need a
// shard of the host and are not its watchers come last, spread over further turns.
func (s *State) turn(view *hostView) time.Duration {
	position := view.watched
	if position == s.options.WatchersPerLease {
		position += int(weight(xxhash.Sum64String(s.options.Self.Name), view.hash) % otherTurns)
	}
	return time.Duration(position) * s.options.FenceStagger
}

// fenceFinished reads the row again, whatever the outcome was.
func (s *State) fenceFinished(now time.Time, m FenceFinished) {
	view := s.hostView(m.Host)
	view.fencing = false
	view.readAt = now
	if m.Kind == provider.KindNone {
		view.row.State = committer.LeaseRowFenced
		view.version++
		s.checkShardsOf(now, m.Host)
	} else if m.Kind != provider.KindConflict {
		view.readAt = now.Add(s.options.FenceStagger)
	}
}

// checkShardsOf reads the rows of the shards of a host soon.
func (s *State) checkShardsOf(now time.Time, host string) {
	for _, shard := range s.cared {
		if shard.state == stateOther && shard.row.Owner == host {
			shard.readAt = now
		}
	}
}
