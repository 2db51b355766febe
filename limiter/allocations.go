package limiter

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// ownParts returns the own fraction in the row.
func (s *holder) ownParts(r *rowState, h *holding) int {
	if a := r.allocations[h.quota.Workspace]; a != nil {
		return a.partsOf(s.host, s.incarnation)
	}
	return 0
}

// mayWrite reports whether a row may be written now.
func (s *holder) mayWrite(now time.Time, r *rowState) bool {
	return r.write == nil && !r.unreadable && !r.reading && !now.Before(r.retryAt) && (s.usable(now) || s.stopping)
}

// ended returns a function that reports whether the process of a share has ended, and the conditions
// under which that is true.
func (s *holder) ended(now time.Time) (ended func(*share) bool, conditions map[string]int64) {
	conditions = map[string]int64{}
	return func(other *share) bool {
		if other.host == s.host {
			// This process runs, so that an earlier one on its host has ended, unless the own row has been
			// replaced by a later one meanwhile.
			if other.incarnation == s.incarnation || !s.lease.written {
				return false
			}
			conditions[s.host] = s.lease.version
			return true
		}
		seen, ok := s.seen[other.host]
		if !ok {
			return false
		}
		replaced := seen.version != provider.VersionAbsent && seen.incarnation != other.incarnation
		if !replaced && now.Sub(seen.since) < freeAfter {
			return false
		}
		conditions[other.host] = seen.version
		return true
	}, conditions
}

// initialParts is the fraction that a holder takes while its demand is not known yet.
func (h *holding) initialParts() int { return int(initialShare * wholeQuota / float64(h.cells)) }

// desired returns the fraction that this daemon should hold according to the row, and whether it
// needs more than the remainder has.
func (s *holder) desired(now time.Time, r *rowState, h *holding) (parts int, wantsMore bool) {
	a := r.allocations[h.quota.Workspace]
	if a == nil {
		a = &allocation{}
	} else {
		a = a.clone()
	}
	ended, _ := s.ended(now)
	a.free(&h.quota, ended)
	held := a.partsOf(s.host, s.incarnation)
	if s.stopping {
		return 0, false
	}
	idle := now.Sub(h.lastRequest)
	takesOver := h.first == s.host || now.Sub(h.firstRequest) >= takeoverDelay || now.Sub(h.takeoverAt) < takeoverDelay
	keep := requestMemory
	if h.first == s.host {
		keep = keepTime
	}
	if held == 0 && (!takesOver || idle > keep) {
		return 0, false
	}
	if h.first != s.host && idle > requestMemory {
		return 0, false
	}
	need := h.need(now)
	fair := fairParts(need, a.othersNeeds(s.host))
	othersShort := slices.ContainsFunc(a.shares, func(o share) bool { return o.host != s.host && a.lacks(&o) })
	available := held + a.remainder()
	if len(a.shares) >= maxShares && held == 0 {
		available = 0
	}
	floor := h.quota.minParts()
	if h.first == s.host {
		floor = max(floor, int(float64(h.initialParts())*keptShare))
	}
	young := now.Sub(h.grownAt) < shrinkAfter
	switch {
	case held == 0:
		// The demand is not known yet.
		wanted := max(fair, h.initialParts(), floor)
		if available < h.quota.minParts() || need == 0 && available < h.initialParts() {
			s.rereadLater(now, r, h)
			return 0, need > 0
		}
		return min(wanted, available), available < min(wanted, fair)
	case othersShort && float64(held) > float64(fair)*shortAt+minChange:
		if idle > keepTime {
			return 0, false
		}
		return max(fair, min(h.quota.minParts(), held)), false
	case idle > keepTime:
		return 0, false
	case float64(need) > growAt*float64(held):
		wanted := max(fair, held)
		if wanted > available {
			s.rereadLater(now, r, h)
		}
		return min(wanted, max(available, held)), short(need, fair, available)
	case !young && held > 2*max(fair, floor) && idle < keepTime:
		return max(fair, floor), false
	}
	return held, false
}

// rereadLater reads a row again from time to time: others may have returned parts since it was read.
func (s *holder) rereadLater(now time.Time, r *rowState, h *holding) {
	if now.Before(h.rereadAt) || now.Sub(r.confirmed) < minRereadDelay {
		return
	}
	h.rereadDelay = min(maxRereadDelay, max(minRereadDelay, 2*h.rereadDelay))
	h.rereadAt = now.Add(h.rereadDelay)
	r.reread = true
}

// maintain writes the row of a group if a fraction should change or a write has to be resolved.
func (s *holder) maintain(now time.Time, g group) {
	r := s.groups[g]
	if r == nil || !s.mayWrite(now, r) {
		return
	}
	type decision struct {
		workspace string
		parts     int
		need      int
	}
	var decisions []decision
	scarce := false
	for _, workspace := range s.workspaces[g] {
		h := s.holdings[workspace]
		held := s.ownParts(r, h)
		parts, wants := s.desired(now, r, h)
		need := h.need(now)
		if a := r.allocations[workspace]; a != nil && parts == 0 && held == 0 && h.queue == nil && a.find(s.host, s.incarnation) != nil && now.Sub(h.lastRequest) > requestMemory {
			// The demand in the row would keep others from their part.
			decisions = append(decisions, decision{workspace: workspace})
			continue
		}
		least := max(minChange, held/6)
		if need > held && parts > held {
			// A part of the quota that is left over is taken, however small.
			least = minChange / 4
		}
		changed := parts != held && (abs(parts-held) >= least || parts == 0 || held == 0)
		if wants && need > 0 && !now.Before(h.wantAt) {
			h.wantDelay = min(maxWantDelay, max(minWantDelay, 2*h.wantDelay))
			h.wantAt = now.Add(h.wantDelay)
			scarce, changed = true, true
		}
		if !changed {
			if wants {
				scarce = true
			} else if a := r.allocations[workspace]; a != nil && held > 0 && s.misleads(a, need) {
				changed = true
			}
			parts = held
		}
		if parts > held {
			h.wantDelay, h.rereadDelay = 0, 0
		}
		if changed {
			if parts == 0 && !wants {
				need = 0
			}
			decisions = append(decisions, decision{workspace, parts, need})
		}
	}
	if scarce {
		s.findEnded(now)
	}
	if len(decisions) == 0 && !r.unresolved && !(r.stale && s.holds(r, g)) {
		return
	}
	w := &pendingWrite{epoch: s.lease.epoch, allocations: make(map[string]*allocation, len(r.allocations))}
	for workspace, a := range r.allocations {
		w.allocations[workspace] = a.clone()
	}
	ended, holders := s.ended(now)
	for _, d := range decisions {
		h := s.holdings[d.workspace]
		h.bucket.refill(now, s.lease.end, &h.quota)
		a := w.allocations[d.workspace]
		if a == nil {
			// Nobody has held a part of this quota before.
			a = &allocation{tokens: h.quota.depth()}
			w.allocations[d.workspace] = a
		}
		a.free(&h.quota, ended)
		c := change{workspace: d.workspace, before: a.partsOf(s.host, s.incarnation), need: d.need}
		c.after = min(d.parts, c.before+a.remainder())
		if c.after < c.before {
			c.given = h.bucket.tokens * float64(c.before-c.after) / float64(c.before)
			h.bucket.tokens -= c.given
			h.bucket.resize(min(h.bucket.parts, c.after), &h.quota)
		}
		c.taken = a.set(&h.quota, share{host: s.host, incarnation: s.incarnation, parts: c.after, need: d.need}, c.given)
		if s.stopping {
			a.shares = slices.DeleteFunc(a.shares, func(x share) bool { return x.host == s.host })
		}
		w.changes = append(w.changes, c)
	}
	r.write = w
	conditions := []provider.RowCondition{{RowKey: g.key(), Version: r.version}}
	for _, host := range sortedKeys(holders) {
		conditions = append(conditions, provider.RowCondition{RowKey: holderKey(host), Version: holders[host]})
	}
	s.emit(writeRow{group: g, value: encodeRow(w.allocations), conditions: conditions, changes: w.changes})
}

func abs(n int) int { return max(n, -n) }

// misleads reports whether the demand in the row makes other holders, which are short, expect much
// more or less than this daemon needs.
func (s *holder) misleads(a *allocation, need int) bool {
	own := a.find(s.host, s.incarnation)
	if own == nil {
		return false
	}
	others := a.othersNeeds(s.host)
	believed, fair := fairParts(own.need, others), fairParts(need, others)
	return abs(believed-fair) > max(minChange, believed/3) && slices.ContainsFunc(a.shares, func(o share) bool { return o.host != s.host && a.lacks(&o) })
}

// findEnded reads the rows of the holders, some of which may have ended.
func (s *holder) findEnded(now time.Time) {
	if s.readingHolders || now.Before(s.holdersAt) {
		return
	}
	s.readingHolders, s.holdersAt = true, now.Add(holdersInterval)
	s.emit(readHolders{})
}

func (s *holder) observeHolders(now time.Time, m *holdersRead) {
	s.readingHolders = false
	if m.kind != provider.KindNone {
		return
	}
	found := map[string]bool{}
	for i := range m.rows {
		found[m.rows[i].Key] = true
		s.observeHolder(now, &m.rows[i])
	}
	// A daemon that has ended as planned removes its row.
	for _, r := range s.groups {
		for _, a := range r.allocations {
			for i := range a.shares {
				if host := a.shares[i].host; !found[host] {
					s.observeHolder(now, &provider.VersionedRow{RowKey: holderKey(host)})
				}
			}
		}
	}
	for _, g := range sortedKeys(s.groups) {
		s.maintain(now, g)
	}
}

func (s *holder) observeHolder(now time.Time, row *provider.VersionedRow) {
	if seen, ok := s.seen[row.Key]; ok && seen.version == row.Version {
		return
	}
	incarnation, err := decodeHolder(row)
	if err != nil {
		delete(s.seen, row.Key)
		return
	}
	s.seen[row.Key] = seenHolder{version: row.Version, incarnation: incarnation, since: now}
}

// decodeHolder returns the incarnation in a row of HolderTable, empty if the row does not exist.
func decodeHolder(row *provider.VersionedRow) (string, error) {
	if row.Version == provider.VersionAbsent {
		return "", nil
	}
	var value encoder.QuotaHolder
	if err := json.Unmarshal(row.Value, &value); err != nil || value.Incarnation == "" {
		return "", &Error{operation: "decode holder", kind: KindMalformed, cause: err}
	}
	return value.Incarnation, nil
}
