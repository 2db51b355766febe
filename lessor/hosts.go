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

// setLiveHosts updates the live hosts. A host that is no longer live keeps its view,
// since its lease may not have ended yet.
func (s *State) setLiveHosts(now time.Time, live []Host) {
	seen := map[string]bool{}
	if !slices.ContainsFunc(live, func(h Host) bool { return h.Name == s.options.Self.Name }) {
		live = append(slices.Clone(live), s.options.Self)
	}
	for _, host := range live {
		seen[host.Name] = true
		view := s.hostView(host.Name)
		if !view.live {
			view.live, view.liveSince = true, now
		}
		if before := view.host.Incarnation; before != "" && host.Incarnation != before {
			// The restarted owner may not find shards for which it does not rank, so
			// its lease row is read at once.
			view.restartedAt, view.nextReadAt = now, now
		}
		view.host = host
	}
	for _, view := range s.sortedHosts {
		name := view.host.Name
		if view.live && !seen[name] {
			view.live = false
			if s.monitorsShardOf(name) {
				view.nextReadAt = now
			}
		}
	}
	s.updateRanks(now)
}

// monitorsShardOf reports whether the row of a monitored shard names the host as
// owner.
func (s *State) monitorsShardOf(host string) bool {
	for _, shard := range s.monitored {
		if shard.rowKnown && shard.row.Owner == host {
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
		s.sortHosts()
	}
	return view
}

// updateRanks computes this daemon's ranks for shards and leases from the live hosts.
func (s *State) updateRanks(now time.Time) {
	var live []Host
	for _, view := range s.sortedHosts {
		if view.live && s.eligible(view) {
			live = append(live, view.host)
		}
	}
	s.eligibleHosts = groupHosts(live)
	s.updateStable(now)
	self := s.options.Self.Name
	for _, view := range s.sortedHosts {
		name := view.host.Name
		view.watcherRank, _ = rank(s.eligibleHosts.all, view.hash, self, s.options.WatchersPerLease, name)
		if name == self {
			view.watcherRank = s.options.WatchersPerLease
		}
	}
	for _, shard := range s.allShards {
		before := shard.rank
		shard.rank, _ = rank(s.eligibleHosts.candidates(shard.domain), shard.hash, self, claimersPerShard, "")
		if shard.rank < before {
			shard.nextReadAt = now
		}
	}
	s.selectMonitored()
}

// selectMonitored selects the shards whose rows this daemon reads or that it owns.
func (s *State) selectMonitored() {
	s.monitored = s.monitored[:0]
	for _, shard := range s.allShards {
		mine := shard.rowKnown && shard.row.Owner == s.options.Self.Name
		if shard.rank < claimersPerShard || shard.state != stateOther || shard.readRequired || mine {
			s.monitored = append(s.monitored, shard)
		}
	}
}

// findOwnShards reads each shard row once at the start of a new incarnation. An
// earlier incarnation may have owned shards for which this host does not rank, and no
// other daemon looks for them before it notices the restart.
func (s *State) findOwnShards(now time.Time) {
	for _, shard := range s.allShards {
		if shard.state == stateOther && shard.rank >= claimersPerShard {
			shard.readRequired, shard.nextReadAt = true, now
		}
	}
	s.selectMonitored()
}

// eligible reports whether a live host may own shards.
func (s *State) eligible(view *hostView) bool {
	if view.host.Name == s.options.Self.Name {
		return !s.draining
	}
	return !view.host.Leaving && !view.excluded
}

// updateExcluded excludes a live host from ownership when its lease ended more than
// two lease durations ago: the host cannot reach the store, or is just starting. Only
// daemons that read the host's lease row notice this.
func (s *State) updateExcluded(now time.Time) {
	changed := false
	for _, view := range s.sortedHosts {
		if !view.rowKnown || s.mayHoldLease(view) {
			view.leaseEndedAt = time.Time{}
		} else if view.leaseEndedAt.IsZero() {
			view.leaseEndedAt = now
		}
		excluded := !view.leaseEndedAt.IsZero() && now.Sub(view.leaseEndedAt) > 2*s.options.Lease
		if excluded != view.excluded {
			view.excluded, changed = excluded, true
		}
	}
	if changed {
		s.updateRanks(now)
	}
}

// updateStable selects the hosts that have been live for StabilizationPeriod. Only
// they get shards by rebalancing.
func (s *State) updateStable(now time.Time) {
	var settled []Host
	s.nextStableAt = time.Time{}
	for _, view := range s.sortedHosts {
		name := view.host.Name
		if !view.live || !s.eligible(view) {
			continue
		}
		at := view.liveSince.Add(s.options.StabilizationPeriod)
		if name == s.options.Self.Name || !now.Before(at) {
			settled = append(settled, view.host)
		} else if s.nextStableAt.IsZero() || at.Before(s.nextStableAt) {
			s.nextStableAt = at
		}
	}
	s.stableHosts = groupHosts(settled)
}

// recordLeaseRows records the results of a ReadLeaseRows. When a read follows the one
// before it after more than two thirds of a lease, the observation of an unchanged row
// starts anew: meanwhile the store may have been unavailable to the holder too.
func (s *State) recordLeaseRows(now time.Time, m LeaseRowsRead) {
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
				view.rowKnown = false
				continue
			}
		}
		if !view.rowKnown || view.version != read.Version || now.Sub(view.lastSeenAt) > s.options.Lease*2/3 {
			view.firstSeenAt = now
		}
		view.rowKnown, view.row, view.version = true, row, read.Version
		view.lastSeenAt, view.rowRequestedAt = now, view.requestedAt
	}
}

// ownerEnded reports whether the owner in a shard's row certainly cannot act any more.
// A lease row of another incarnation proves this only if it was requested after the
// shard's row was received: otherwise the owner's incarnation may be newer than the
// lease row.
func (s *State) ownerEnded(shard *shardView) bool {
	view := s.hosts[shard.row.Owner]
	switch {
	case shard.row.Owner == "":
		return true
	case view == nil || !view.rowKnown:
		return false
	case shard.row.Incarnation != "" && shard.row.Incarnation == view.row.Incarnation:
		return view.row.State != committer.LeaseRowActive
	case view.rowRequestedAt.Before(shard.rowReceivedAt):
		return false
	}
	return shard.row.Incarnation != "" || !s.mayHoldLease(view)
}

// readLeases reads the lease rows that are due.
func (s *State) readLeases(now time.Time) {
	s.markNeededLeases(now)
	var due []string
	for _, view := range s.sortedHosts {
		name := view.host.Name
		watched := view.watcherRank < s.options.WatchersPerLease && (view.live || s.mayHoldLease(view))
		if !watched && !view.leaseNeeded || view.reading || now.Before(view.nextReadAt) {
			continue
		}
		if !s.takeReadToken(now) {
			break
		}
		view.reading, view.requestedAt = true, now
		view.nextReadAt = now.Add(s.options.Lease / 3)
		if !watched && !view.urgent {
			view.nextReadAt = now.Add(2 * s.options.Lease)
		}
		if expiry := view.firstSeenAt.Add(committer.ClaimerLease(s.options.Lease, s.options.ClockRateError)); view.rowKnown &&
			expiry.After(now) && expiry.Before(view.nextReadAt) {
			view.nextReadAt = expiry
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

// mayHoldLease reports whether the host's lease is not known to have ended.
func (s *State) mayHoldLease(view *hostView) bool {
	return !view.rowKnown || view.version != provider.VersionAbsent && view.row.State == committer.LeaseRowActive
}

// markNeededLeases marks the owners whose lease decides whether a monitored shard has
// an owner: those whose lease row is not known or was requested before the shard row
// was received, those that are not live or have recently restarted, and those whose
// lease row is older than two check intervals, since a live host may have lost its
// lease.
func (s *State) markNeededLeases(now time.Time) {
	for _, view := range s.sortedHosts {
		view.leaseNeeded, view.urgent = false, false
	}
	if s.handoverCandidate != "" {
		s.hostView(s.handoverCandidate).leaseNeeded = true
	}
	for _, shard := range s.monitored {
		owner := shard.row.Owner
		if shard.state != stateOther || !shard.rowKnown || owner == "" || owner == s.options.Self.Name {
			continue
		}
		view := s.hostView(owner)
		stale := now.Sub(view.lastSeenAt) > 2*s.options.CheckInterval
		if older := view.rowKnown && shard.row.Incarnation != view.row.Incarnation && view.rowRequestedAt.Before(shard.rowReceivedAt); older {
			view.leaseNeeded = true
			view.nextReadAt = earlier(view.nextReadAt, now)
		} else if !view.rowKnown || s.mayHoldLease(view) && (stale || !view.live || s.recentlyRestarted(now, view)) {
			view.leaseNeeded = true
		}
		// The first-ranked host of a shard reads often. If the second-ranked one read
		// as often, that would use up the read budget of its own shards when many
		// hosts fail.
		view.urgent = view.urgent || view.leaseNeeded && shard.rank == 0
	}
}

// recentlyRestarted reports whether the host has recently started a new incarnation;
// its lease row may still be that of the incarnation before.
func (s *State) recentlyRestarted(now time.Time, view *hostView) bool {
	return !view.restartedAt.IsZero() && now.Sub(view.restartedAt) < 2*s.options.Lease
}

// fenceExpired fences leases whose rows have been unchanged for long enough. The
// watchers act one after another, so that usually only one of them writes.
func (s *State) fenceExpired(now time.Time) {
	expiry := committer.ClaimerLease(s.options.Lease, s.options.ClockRateError)
	for _, view := range s.sortedHosts {
		name := view.host.Name
		if view.fencing || !view.rowKnown || view.version == provider.VersionAbsent ||
			view.row.State != committer.LeaseRowActive || name == s.options.Self.Name {
			continue
		}
		if view.watcherRank == s.options.WatchersPerLease && !view.leaseNeeded {
			continue
		}
		if view.lastSeenAt.Sub(view.firstSeenAt) < expiry || now.Before(view.firstSeenAt.Add(expiry+s.fenceDelay(view))) {
			continue
		}
		// Another daemon may have fenced the lease meanwhile: a read costs less than a
		// conflict.
		if now.Sub(view.lastSeenAt) > s.options.FenceStagger/5 {
			view.nextReadAt = earlier(view.nextReadAt, now)
			continue
		}
		view.fencing = true
		row := view.row
		row.State, row.FencedBy = committer.LeaseRowFenced, s.options.Self.Name
		s.emit(FenceHost{Host: name, Version: view.version, Row: row})
	}
}

// fenceDelay returns how long this daemon waits for others to fence an expired lease.
// Daemons that need a shard of the host and do not watch its lease come last, spread
// over further slots.
func (s *State) fenceDelay(view *hostView) time.Duration {
	position := view.watcherRank
	if position == s.options.WatchersPerLease {
		position += int(weight(xxhash.Sum64String(s.options.Self.Name), view.hash) % nonWatcherSlots)
	}
	return time.Duration(position) * s.options.FenceStagger
}

// finishFence records the outcome of a FenceHost and schedules another read of the
// row, after any outcome.
func (s *State) finishFence(now time.Time, m FenceFinished) {
	view := s.hostView(m.Host)
	view.fencing = false
	view.nextReadAt = now
	if m.Kind == provider.KindNone {
		view.row.State = committer.LeaseRowFenced
		view.version++
		s.scheduleShardReads(now, m.Host)
	} else if m.Kind != provider.KindConflict {
		view.nextReadAt = now.Add(s.options.FenceStagger)
	}
}

// scheduleShardReads schedules immediate reads of the monitored shard rows that name
// the host as owner.
func (s *State) scheduleShardReads(now time.Time, host string) {
	for _, shard := range s.monitored {
		if shard.state == stateOther && shard.row.Owner == host {
			shard.nextReadAt = now
		}
	}
}
