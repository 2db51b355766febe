package limiter

import (
	"slices"
	"time"
)

// waiting is a request for permits that waits.
type waiting struct {
	ticket  ticket
	program string
	// begun is set if an earlier call of the program has been admitted.
	begun    bool
	needed   int
	extra    int
	deadline time.Time
	limit    time.Time
}

func (s *holder) request(now time.Time, m *permitsRequested) {
	h := s.holdings[m.workspace]
	if h == nil {
		s.emit(grant{ticket: m.ticket, reason: reasonUnknown})
		return
	}
	h.bucket.refill(now, s.lease.end, &h.quota)
	if m.lend {
		s.lend(now, h, m)
		return
	}
	if !m.again {
		h.demand.add(now, float64(m.needed), h.window())
	}
	if now.Sub(h.lastRequest) > requestMemory {
		h.firstRequest = now
	}
	h.lastRequest, h.first, h.lenders = now, m.first, m.lenders
	if m.takeover {
		h.takeoverAt = now
	}
	w := waiting{ticket: m.ticket, program: m.program, begun: h.programs.known(m.program), needed: m.needed, extra: m.extra, deadline: m.deadline, limit: m.limit}
	if !s.hasRoom(now, h, &w) {
		g := s.rejection(now, h, &w, max(minRetryAfter, reservedTime/2))
		g.reason = ReasonProgram
		s.emit(g)
		return
	}
	h.enqueue(w)
	s.serve(now, h)
	g := groupOf(m.workspace)
	if r := s.row(g); !r.known && r.write == nil && r.conflicts == 0 {
		r.retryAt = time.Time{}
		if !s.usable(now) {
			// The row names holders that may lend tokens until this daemon has a lease.
			s.read(now, g, r)
		}
	}
	s.maintain(now, g)
	s.help(now, h)
}

// enqueue adds a request to the queue, those of programs that have begun before the others.
func (h *holding) enqueue(w waiting) {
	at := len(h.queue)
	if w.begun {
		if i := slices.IndexFunc(h.queue, func(other waiting) bool { return !other.begun }); i >= 0 {
			at = i
		}
	}
	h.queue = slices.Insert(h.queue, at, w)
}

// hasRoom reports whether a call leaves room for the programs that have begun. It may not if the quota is
// used up and the call begins a program.
func (s *holder) hasRoom(now time.Time, h *holding, w *waiting) bool {
	if w.program == "" || w.begun || h.bucket.parts == 0 || float64(h.need(now)) < reserveAt*float64(h.bucket.parts) {
		return true
	}
	if r := s.groups[groupOf(h.quota.Workspace)]; r != nil && r.allocations[h.quota.Workspace] != nil && r.allocations[h.quota.Workspace].remainder() > h.bucket.parts/4 {
		return true
	}
	return h.bucket.tokens+h.bucket.rate(&h.quota)*reservedTime.Seconds() >= float64(w.needed)+h.programs.reserved(now)
}

// lend gives tokens that this holder does not need to another one.
func (s *holder) lend(now time.Time, h *holding, m *permitsRequested) {
	tokens := 0.0
	if s.usable(now) && len(h.queue) == 0 {
		tokens = min(float64(m.needed)/lendUnit, h.bucket.tokens)
		// Of the rest, half is lent, so that the buckets level out.
		tokens += min(float64(m.extra)/lendUnit, (h.bucket.tokens-tokens)/2)
	}
	h.bucket.tokens -= tokens
	s.emit(grant{ticket: m.ticket, permits: int(tokens * lendUnit), fraction: h.bucket.fraction(), age: s.age(now, h)})
}

// age returns the time since the store confirmed the fraction.
func (s *holder) age(now time.Time, h *holding) time.Duration {
	r := s.groups[groupOf(h.quota.Workspace)]
	if r == nil || r.confirmed.IsZero() {
		return 0
	}
	return now.Sub(r.confirmed)
}

// serve grants permits to the requests that wait, oldest first, and rejects those whose time is over.
func (s *holder) serve(now time.Time, h *holding) {
	for len(h.queue) > 0 {
		w := &h.queue[0]
		permits := h.takeTokens(now, w.needed)
		if permits == 0 {
			break
		}
		if permits == w.needed && len(h.queue) == 1 {
			permits += h.takeTokens(now, max(0, min(w.extra, int(h.bucket.tokens-h.bucket.depth(&h.quota)/4))))
		}
		h.programs.record(now, w.program)
		s.emit(grant{ticket: w.ticket, permits: permits, fraction: h.bucket.fraction(), age: s.age(now, h)})
		h.queue = h.queue[1:]
	}
	ahead := 0.0
	h.queue = slices.DeleteFunc(h.queue, func(w waiting) bool {
		wait := h.waitFor(ahead + float64(w.needed))
		hopeless := now.Add(wait).After(w.limit) && !s.mayGetMore(now, h)
		switch {
		case hopeless || !now.Before(w.limit):
			s.emit(s.rejection(now, h, &w, wait))
		case !now.Before(w.deadline):
			s.emit(grant{ticket: w.ticket, reason: reasonPending, retryAfter: wait, fraction: h.bucket.fraction(), age: s.age(now, h)})
		default:
			ahead += float64(w.needed)
			return false
		}
		return true
	})
}

// rejection returns the rejection of a request for which tokens would be there after a wait.
func (s *holder) rejection(now time.Time, h *holding, w *waiting, wait time.Duration) grant {
	reason := ReasonOverQuota
	switch {
	case s.stopping:
		reason = reasonStopping
	case !s.usable(now):
		reason = ReasonNoLease
	case h.bucket.parts == 0:
		reason = ReasonNoFraction
	}
	return grant{ticket: w.ticket, reason: reason, retryAfter: wait, fraction: h.bucket.fraction(), age: s.age(now, h)}
}

// waitFor returns the time until the bucket has a number of tokens.
func (h *holding) waitFor(tokens float64) time.Duration {
	rate := h.bucket.rate(&h.quota)
	if rate <= 0 {
		// The fraction that this daemon is about to get is not known.
		return time.Duration(float64(h.cells) / h.quota.RatePerSecond * float64(time.Second))
	}
	return time.Duration(min(float64(maxRetryAfter), max(float64(minRetryAfter), (tokens-h.bucket.tokens)/rate*float64(time.Second))))
}

// mayGetMore reports whether tokens may arrive other than by time.
func (s *holder) mayGetMore(now time.Time, h *holding) bool {
	r := s.groups[groupOf(h.quota.Workspace)]
	if r == nil || h.bucket.parts == 0 || h.borrowing > 0 || s.lender(now, h) != "" {
		return true
	}
	if !s.usable(now) {
		return s.lease.renewing && !s.stopping
	}
	if r.write != nil || r.reading || r.stale || r.unresolved {
		return true
	}
	parts, _ := s.desired(now, r, h)
	return !r.unreadable && parts > s.ownParts(r, h)
}

// help asks others for tokens while requests wait.
func (s *holder) help(now time.Time, h *holding) {
	if len(h.queue) == 0 || h.borrowing >= maxBorrowing {
		return
	}
	host := s.lender(now, h)
	if host == "" {
		return
	}
	h.coolUntil[host] = now.Add(borrowTimeout)
	missing := -h.bucket.tokens
	if now.Before(h.lentUntil) {
		missing -= h.lent
	}
	for _, w := range h.queue {
		missing += float64(w.needed)
	}
	if missing <= 0 {
		return
	}
	h.borrowing++
	s.emit(borrowTokens{
		workspace: h.quota.Workspace, host: host, missing: missing, spare: min(maxExtra, h.bucket.depth(&h.quota)/2), ask: host == h.first,
	})
}

// lender returns the host to borrow tokens from, empty if there is none: the one with the largest
// fraction, or one that is the first of another cell.
func (s *holder) lender(now time.Time, h *holding) string {
	cool := func(host string) bool { return host == s.host || now.Before(h.coolUntil[host]) }
	if h.bucket.parts == 0 && h.first != "" && !cool(h.first) {
		return h.first
	}
	best, most := "", 0
	if r := s.groups[groupOf(h.quota.Workspace)]; r != nil && r.known {
		if a := r.allocations[h.quota.Workspace]; a != nil {
			for _, other := range a.shares {
				if surplus := other.parts - other.need; !cool(other.host) && other.parts > 0 && (best == "" || surplus > most) {
					best, most = other.host, surplus
				}
			}
		}
	}
	for _, host := range h.lenders {
		if best == "" && !cool(host) {
			best = host
		}
	}
	return best
}

// keepLent adds borrowed tokens to the bucket. Those that it has no room for are kept for a moment: the
// request for which they were borrowed may have been answered with reasonPending and come again.
func (h *holding) keepLent(now time.Time, tokens float64) {
	added := min(tokens, max(0, h.bucket.depth(&h.quota)-h.bucket.tokens))
	h.bucket.tokens += added
	if !now.Before(h.lentUntil) {
		h.lent = 0
	}
	if tokens > added {
		h.lent += tokens - added
		h.lentUntil = now.Add(lentKept)
	}
}

// takeTokens takes up to a number of tokens, borrowed ones first.
func (h *holding) takeTokens(now time.Time, wanted int) int {
	if !now.Before(h.lentUntil) {
		h.lent = 0
	}
	// The tolerance is far above the errors of the sums and far below a token.
	const tolerance = 1e-6
	taken := min(wanted, int(h.lent+h.bucket.tokens+tolerance))
	borrowed := min(h.lent, float64(taken))
	h.lent -= borrowed
	h.bucket.tokens = max(0, h.bucket.tokens-(float64(taken)-borrowed))
	return taken
}

func (s *holder) receiveLent(now time.Time, m *tokensLent) {
	h := s.holdings[m.workspace]
	if h == nil {
		return
	}
	h.borrowing--
	h.coolUntil[m.host] = time.Time{}
	if m.drained || m.late {
		cooldown := borrowCooldown
		if h.bucket.parts == 0 && m.host != h.first {
			cooldown = startCooldown
		}
		h.coolUntil[m.host] = now.Add(cooldown)
	}
	if !m.late {
		h.bucket.refill(now, s.lease.end, &h.quota)
		h.keepLent(now, m.tokens)
		s.serve(now, h)
	}
	s.help(now, h)
}
