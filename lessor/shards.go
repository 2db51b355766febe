package lessor

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// loadRetryDelay is the mean delay after a failed load of a shard.
const loadRetryDelay = time.Second

// readShards reads the rows of monitored shards that this daemon does not own,
// starting with those for which it ranks first.
func (s *State) readShards(now time.Time) {
	var due []string
	for rank := range claimersPerShard + 1 {
		due = s.dueShards(now, rank, due)
	}
	if len(due) > 0 {
		s.emit(ReadShardRows{Shards: due})
	}
}

// dueShards appends the shards of a rank whose rows are due to be read and schedules
// their next reads.
func (s *State) dueShards(now time.Time, rank int, due []string) []string {
	for _, shard := range s.monitored {
		if shard.rank != rank || shard.state != stateOther || shard.reading || now.Before(shard.nextReadAt) {
			continue
		}
		if !s.takeReadToken(now) {
			break
		}
		shard.reading = true
		// Second-ranked hosts read less often, since usually the first-ranked one
		// acts.
		interval := s.options.CheckInterval << (2 * min(shard.rank, 1))
		shard.nextReadAt = now.Add(s.jitter(interval))
		due = append(due, shard.name)
	}
	return due
}

// recordShardRows records the results of a ReadShardRows. Failed reads are repeated
// after about a second.
func (s *State) recordShardRows(now time.Time, m ShardRowsRead) {
	for _, name := range m.Failed {
		if shard := s.shards[name]; shard != nil {
			shard.reading = false
			shard.nextReadAt = now.Add(s.jitter(time.Second))
		}
	}
	for _, read := range m.Rows {
		shard := s.shards[read.Key]
		if shard == nil {
			continue
		}
		shard.reading = false
		if shard.state != stateOther || read.Version < shard.version {
			continue
		}
		row := encoder.ShardRow{Shard: shard.name}
		if read.Version != provider.VersionAbsent {
			if err := json.Unmarshal(read.Value, &row); err != nil || row.Shard != shard.name {
				s.emit(RowDamaged{Table: committer.TableShards, Key: read.Key})
				shard.rowKnown = false
				continue
			}
		}
		if read.Version != shard.version || shard.rowReceivedAt.IsZero() {
			// An unchanged row keeps its time: a lease row that was requested after
			// the first receipt proves as much as one requested after the last.
			shard.rowReceivedAt = now
		}
		shard.row, shard.version = row, read.Version
		shard.rowKnown, shard.readRequired = true, false
	}
	s.selectMonitored()
}

// claim claims all shards that have no owner and whose delay for this daemon's rank
// has passed. One claim is in progress at a time.
func (s *State) claim(now time.Time) {
	if s.claimInFlight || s.draining {
		return
	}
	var claims []Claim
	for _, shard := range s.monitored {
		if shard.state != stateOther || !shard.rowKnown || shard.reading {
			continue
		}
		mine := shard.row.Owner == s.options.Self.Name
		if !s.unowned(shard) || shard.rank >= claimersPerShard && !mine {
			shard.unownedSince = time.Time{}
			continue
		}
		if shard.unownedSince.IsZero() {
			shard.unownedSince = now
		}
		delay := time.Duration(shard.rank) * secondClaimDelay
		if mine {
			delay = 0
		}
		if now.Before(shard.unownedSince.Add(delay)) || len(claims) == maxShardsPerClaim {
			continue
		}
		shard.fire(eventClaim)
		shard.claimedRow = s.claimRow(shard)
		claims = append(claims, Claim{Row: shard.claimedRow, Version: shard.version})
	}
	if len(claims) > 0 {
		s.claimInFlight = true
		s.emit(ClaimShards{Claims: claims})
	}
}

// unowned reports whether a shard has no owner that can act. A shard whose row names
// this daemon and that is not loaded was handed to it or belonged to an earlier
// incarnation.
func (s *State) unowned(shard *shardView) bool {
	if shard.version == provider.VersionAbsent || shard.row.Owner == s.options.Self.Name {
		return true
	}
	return s.ownerEnded(shard)
}

// claimRow returns the row that makes this daemon the owner. It closes open log ranges
// at the end of the previous owner's log.
func (s *State) claimRow(shard *shardView) encoder.ShardRow {
	row := shard.row
	row.Shard, row.Owner, row.Incarnation = shard.name, s.options.Self.Name, s.incarnation
	row.Epoch++
	row.Logs = slices.Clone(row.Logs)
	for i := range row.Logs {
		if row.Logs[i].Through == 0 {
			row.Logs[i].Through = s.lastSequence(row.Logs[i].Host, row.Logs[i].Incarnation)
		}
	}
	// Closed ranges without rows need no replay.
	row.Logs = slices.DeleteFunc(row.Logs, func(l encoder.LogRange) bool {
		return l.Through != 0 && l.Through <= l.After
	})
	return row
}

// lastSequence returns the last sequence of an ended log. It returns 0 when the
// sequence is unknown; then all rows that exist are replayed.
func (s *State) lastSequence(host, incarnation string) int {
	view := s.hosts[host]
	if view == nil || !view.rowKnown {
		return 0
	}
	if view.row.Incarnation == incarnation {
		return view.row.Sequence
	}
	for _, past := range view.row.Past {
		if past.Incarnation == incarnation {
			return past.Through
		}
	}
	return 0
}

// finishClaim starts loading the claimed shards. After a failure it reads their rows
// again.
func (s *State) finishClaim(now time.Time, m ClaimFinished) {
	s.claimInFlight = false
	for _, name := range m.Shards {
		shard := s.shards[name]
		if shard == nil || shard.state != stateClaiming {
			continue
		}
		if m.Kind != provider.KindNone {
			shard.fire(eventRefused)
			shard.rowKnown, shard.nextReadAt = false, now
			continue
		}
		shard.row = shard.claimedRow
		shard.version++
		shard.fire(eventClaimed)
		shard.nextLoadAt, shard.unownedSince = now, time.Time{}
	}
}

// loadClaimed emits LoadShard for the claimed shards whose load is due.
func (s *State) loadClaimed(now time.Time) {
	for _, shard := range s.monitored {
		if shard.state == stateLoading && !shard.nextLoadAt.IsZero() && !now.Before(shard.nextLoadAt) {
			shard.nextLoadAt = time.Time{}
			s.emit(LoadShard{Shard: shard.name, Row: shard.row})
		}
	}
}

// finishLoad marks a shard as owned, or schedules another load after a failure.
func (s *State) finishLoad(now time.Time, m ShardLoaded) {
	shard := s.shards[m.Shard]
	if shard == nil || shard.state != stateLoading {
		return
	}
	if m.OK {
		shard.fire(eventLoaded)
		shard.nextLoadAt = time.Time{}
		return
	}
	shard.nextLoadAt = now.Add(s.jitter(loadRetryDelay))
}
