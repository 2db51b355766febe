package limiter

import (
	"cmp"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// leaseDuration is how long fractions are valid after the sending of a renewal. With renewInterval it
	// leaves 11 s for an outage of the store. Others may free the fractions of a holder after freeAfter
	// without a renewal; the difference allows for clocks of different speed.
	leaseDuration = 16 * time.Second
	freeAfter     = 17 * time.Second
	renewInterval = 5 * time.Second
	// renewRetryDelay is the delay after a renewal that failed.
	renewRetryDelay = 300 * time.Millisecond
	// restartTokens is the number of tokens for the whole quota that come with fractions of holders
	// that have ended. Without them, a holder that restarts would reject calls until the first token.
	restartTokens = 4
	// minWindow and maxWindow bound the time over which demand is measured: that of windowEvents
	// calls at the rate of the quota.
	minWindow    = 2 * time.Second
	maxWindow    = 30 * time.Second
	windowEvents = 100
	// keepTime is how long a fraction without calls is kept while no other daemon needs it, shrinkAfter
	// how long one is kept that is more than twice the demand.
	keepTime    = 60 * time.Second
	shrinkAfter = 10 * time.Second
	// growAt is the fraction of the own part that demand may use before the holder takes more.
	growAt = 0.9
	// minChange is the smallest change of a fraction that is worth a write, in millionths. shortAt is the
	// demand, as a multiple of the own fraction, from which a holder asks others for a part of theirs.
	// Smaller differences are made up by borrowed tokens.
	minChange = wholeQuota / 50
	shortAt   = 1.25
	// initialShare is the part of the quota that the holders of all cells take together before their demand
	// is known.
	initialShare = 0.9
	// keptShare is the part of the initial fraction that the first host of a cell keeps while others do not
	// need it, since the demand of a small workspace is uneven.
	keptShare = 0.75
	// noticeInterval is the shortest interval between two reads of a row.
	noticeInterval = 500 * time.Millisecond
	// takeoverDelay is how long a daemon that is not the first of its cell serves requests with borrowed
	// tokens before it takes a fraction: a late reply of the first one is no reason for another holder.
	// requestMemory is the longest time between two requests of the same takeover.
	takeoverDelay = 200 * time.Millisecond
	requestMemory = 2 * time.Second
	// conflictDelay is the mean delay after a conflicting write. It doubles with each further one, up to
	// maxConflictDelay, or to maxWaitingDelay while calls wait.
	conflictDelay    = 4 * time.Millisecond
	maxConflictDelay = 128 * time.Millisecond
	maxWaitingDelay  = 16 * time.Millisecond
	// failureDelay is the mean delay after a write that failed.
	failureDelay = 250 * time.Millisecond
	// primeDelay is the longest delay before a fraction is taken without a call, so that daemons that start
	// together do not all write at once.
	primeDelay = 300 * time.Millisecond
	// minWantDelay and maxWantDelay bound the interval at which a holder asks others for a part of
	// their fractions.
	minWantDelay = 200 * time.Millisecond
	maxWantDelay = 3 * time.Second
	// minRereadDelay and maxRereadDelay bound the interval at which a holder that would take more reads the
	// row to see whether others have returned something.
	minRereadDelay = time.Second
	maxRereadDelay = 10 * time.Second
	// holdersInterval is the interval at which the holders' rows are read while fractions are short.
	holdersInterval = 4 * time.Second
	// refreshInterval is the interval at which a holder reads the rows of its fractions: a notice may be lost.
	refreshInterval = 20 * time.Second
	// borrowCooldown is how long a holder that had no tokens is not asked again, startCooldown replaces it
	// while this daemon has no fraction: the other one may be about to get its own.
	borrowCooldown = 150 * time.Millisecond
	startCooldown  = 25 * time.Millisecond
	// lendUnit is the number of units into which tokens are divided when holders lend them to each other:
	// several holders may have less than a whole one each.
	lendUnit = 1000
	// lentKept is how long borrowed tokens are kept that the bucket has no room for.
	lentKept = 100 * time.Millisecond
	// maxBorrowing bounds the requests for tokens of a workspace that are under way.
	maxBorrowing = 2
	// maxShares bounds the holders of a workspace.
	maxShares = 40
	// minRetryAfter and maxRetryAfter bound the retry delay.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// holding is what a daemon holds of the quota of one workspace.
type holding struct {
	quota  Quota
	cells  int
	bucket bucket
	demand meter
	queue  []waiting
	// lenders are the hosts that may lend tokens.
	lenders []string
	// first is the first host of the cell.
	first string
	// primed is set once the holder has taken a first fraction before any request.
	primed bool
	// takeoverAt is when hosts before this one last did not accept a request.
	takeoverAt time.Time
	// firstRequest is when the present series of requests began, lastRequest the time of the last one.
	firstRequest time.Time
	lastRequest  time.Time
	// grownAt is when the fraction last grew.
	grownAt time.Time
	// wantAt is the earliest time of the next request for a part of others' fractions.
	wantAt    time.Time
	wantDelay time.Duration
	// rereadAt is the earliest time of the next read of the row to find out whether others have returned
	// parts of theirs.
	rereadAt    time.Time
	rereadDelay time.Duration
	// borrowing is the number of requests for tokens without a reply.
	borrowing int
	programs  programs
	// lent are borrowed tokens that the bucket has no room for. They are valid until lentUntil.
	lent      float64
	lentUntil time.Time
	// coolUntil holds the hosts that had no tokens.
	coolUntil map[string]time.Time
}

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

// rowState is what is known of the row of a group.
type rowState struct {
	// version is the version to which allocations belong, known once the store has told it.
	version     int64
	known       bool
	confirmed   time.Time
	allocations map[string]*allocation
	// unreadable is set if the row cannot be decoded. Nothing is taken from it.
	unreadable bool
	// write is the write in progress.
	write *pendingWrite
	// unresolved is set after a write of unknown outcome, until the row has another version.
	unresolved bool
	// stale is set after a lapse of the lease, until a write under the new lease has succeeded. A read
	// is not enough: a late copy of an earlier response looks the same.
	stale   bool
	reading bool
	// readAt is when the row was last read.
	readAt time.Time
	// reread is set if the row has to be read again after the present read.
	reread bool
	// retryAt is the earliest time of the next write.
	retryAt time.Time
	// conflicts is the number of conflicting writes in a row.
	conflicts int
}

type pendingWrite struct {
	// epoch is that of the lease under which the write was sent.
	epoch       int
	allocations map[string]*allocation
	changes     []change
}

// seenHolder is a row of HolderTable as it was first seen in its version.
type seenHolder struct {
	version     int64
	incarnation string
	since       time.Time
}

// lease is the lease of the own fractions.
type lease struct {
	version  int64
	renewals int
	written  bool
	end      time.Time
	renewing bool
	renewAt  time.Time
	// epoch is the number of lapses.
	epoch int
	// superseded is set when another process on the host has taken the row.
	superseded bool
}

// holder decides about the fractions that a daemon holds and about permits from them. It is not safe
// for concurrent use.
type holder struct {
	host        string
	incarnation string
	random      *rand.Rand
	holdings    map[string]*holding
	groups      map[group]*rowState
	// workspaces are the names of the holdings of each group.
	workspaces map[group][]string
	lease      lease
	seen       map[string]seenHolder
	// holdersAt is the earliest time of the next read of HolderTable.
	holdersAt      time.Time
	readingHolders bool
	stopping       bool
	commands       []command
}

func newHolder(host, incarnation string, seed uint64) *holder {
	return &holder{
		host: host, incarnation: incarnation, random: rand.New(rand.NewPCG(seed, 1)), holdings: map[string]*holding{},
		groups: map[group]*rowState{}, workspaces: map[group][]string{}, seen: map[string]seenHolder{},
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// update applies a message and returns the commands that follow from it.
func (s *holder) update(now time.Time, m message) []command {
	s.commands = nil
	s.checkLapse(now)
	switch m := m.(type) {
	case quotasChanged:
		s.setQuotas(now, m)
	case placesChanged:
		s.setPlaces(now, m)
	case permitsRequested:
		s.request(now, &m)
	case leaseWritten:
		s.finishRenewal(now, &m)
	case rowWritten:
		s.finishWrite(now, &m)
	case rowRead:
		s.finishRead(now, &m)
	case holdersRead:
		s.observeHolders(now, &m)
	case tokensLent:
		s.receiveLent(now, &m)
	case noticeReceived:
		if r := s.groups[m.group]; r != nil {
			s.read(now, m.group, r)
		}
	case stopRequested:
		s.stopping = true
		for _, g := range sortedKeys(s.groups) {
			s.maintain(now, g)
		}
	case tick:
		s.tick(now)
	}
	return s.commands
}

func (s *holder) emit(c command) { s.commands = append(s.commands, c) }

// setQuotas replaces the quotas. Tokens above a reduced depth are lost.
func (s *holder) setQuotas(now time.Time, m quotasChanged) {
	current := map[string]bool{}
	for _, q := range m.quotas {
		current[q.Workspace] = true
		h := s.holdings[q.Workspace]
		if h == nil {
			g := groupOf(q.Workspace)
			s.holdings[q.Workspace] = &holding{quota: q, cells: max(1, m.cells[q.Workspace]), coolUntil: map[string]time.Time{}, bucket: bucket{at: now}, demand: meter{at: now}}
			s.workspaces[g] = append(s.workspaces[g], q.Workspace)
			continue
		}
		h.bucket.refill(now, s.lease.end, &h.quota)
		h.quota, h.cells = q, max(1, m.cells[q.Workspace])
		h.bucket.resize(h.bucket.parts, &h.quota)
	}
	for _, workspace := range sortedKeys(s.holdings) {
		if h := s.holdings[workspace]; !current[workspace] {
			// The fraction stays in the row until the lease ends or the process does, unless other
			// workspaces of the group cause a write before.
			for _, w := range h.queue {
				s.emit(grant{ticket: w.ticket, reason: reasonUnknown})
			}
			g := groupOf(workspace)
			s.workspaces[g] = slices.DeleteFunc(s.workspaces[g], func(name string) bool { return name == workspace })
			delete(s.holdings, workspace)
		}
	}
	s.renew(now)
}

// setPlaces sets the first hosts of the cells.
func (s *holder) setPlaces(now time.Time, m placesChanged) {
	for workspace, first := range m.first {
		if h := s.holdings[workspace]; h != nil {
			h.first = first
		}
	}
	if s.usable(now) {
		s.prime(now)
	}
}

// prime takes fractions for the workspaces for which this daemon is the first of its cell, so that their
// first calls need not wait for the store.
func (s *holder) prime(now time.Time) {
	for _, g := range sortedKeys(s.workspaces) {
		for _, workspace := range s.workspaces[g] {
			if h := s.holdings[workspace]; h.first == s.host && !h.primed {
				h.primed, h.lastRequest = true, now
				if s.groups[g] == nil {
					s.row(g).retryAt = now.Add(time.Duration(s.random.Int64N(int64(primeDelay))))
				}
			}
		}
		s.maintain(now, g)
	}
}

// usable reports whether the fractions of the lease are valid.
func (s *holder) usable(now time.Time) bool { return now.Before(s.lease.end) }

// checkLapse notices that the lease has ended. Other daemons may have freed the fractions, so that
// they are not used before their rows have been read under a new lease.
func (s *holder) checkLapse(now time.Time) {
	if s.lease.end.IsZero() || now.Before(s.lease.end) {
		return
	}
	s.emit(leaseLapsed{overdue: now.Sub(s.lease.end)})
	s.lease.end = time.Time{}
	s.lease.epoch++
	for g, r := range s.groups {
		r.stale = true
		for _, workspace := range s.workspaces[g] {
			h := s.holdings[workspace]
			h.bucket.resize(0, &h.quota)
			h.bucket.at = now
		}
	}
}

// renew renews the lease if that is due.
func (s *holder) renew(now time.Time) {
	l := &s.lease
	if l.renewing || l.superseded || s.stopping || now.Before(l.renewAt) || len(s.holdings) == 0 {
		return
	}
	l.renewing = true
	l.renewals++
	s.emit(renewLease{version: l.version, renewals: l.renewals})
}

func (s *holder) finishRenewal(now time.Time, m *leaseWritten) {
	l := &s.lease
	l.renewing = false
	switch m.kind {
	case provider.KindNone:
		l.version, l.written = m.version, true
		l.renewAt = m.sentAt.Add(renewInterval - renewInterval/10 + time.Duration(s.random.Int64N(int64(renewInterval/5))))
		if end := m.sentAt.Add(leaseDuration); end.After(now) {
			l.end = end
		} else {
			l.renewAt = now
		}
		s.prime(now)
	case provider.KindConflict:
		// The row of an earlier process is replaced. One of another process that came after this one
		// means that this one should have ended.
		if l.written && m.incarnation != s.incarnation {
			l.superseded, l.end = true, now
			s.checkLapse(now)
			return
		}
		l.written = l.written || m.incarnation == s.incarnation
		l.version, l.renewAt = m.version, now
		s.renew(now)
	default:
		l.renewAt = now.Add(renewRetryDelay)
	}
}

// window returns the time over which the demand of a workspace is measured.
func (h *holding) window() time.Duration {
	return max(minWindow, min(maxWindow, time.Duration(windowEvents/h.quota.RatePerSecond*float64(time.Second))))
}

// need returns the demand in millionths of the quota.
func (h *holding) need(now time.Time) int {
	rate := h.demand.add(now, 0, h.window())
	return int(min(10, rate/h.quota.RatePerSecond) * wholeQuota)
}

// row returns the state of a group's row.
func (s *holder) row(g group) *rowState {
	r := s.groups[g]
	if r == nil {
		r = &rowState{allocations: map[string]*allocation{}}
		s.groups[g] = r
	}
	return r
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

func (s *holder) finishWrite(now time.Time, m *rowWritten) {
	r := s.groups[m.group]
	w := r.write
	r.write = nil
	switch {
	case m.kind == provider.KindNone:
		s.completeWrite(now, m, r, w)
	case m.kind == provider.KindConflict:
		s.resolveConflict(now, m, r, w)
	case m.kind.NoEffect():
		s.undo(now, r, w)
		r.retryAt = now.Add(failureDelay/2 + time.Duration(s.random.Int64N(int64(failureDelay))))
	default:
		// The tokens that were given are lost, and fractions stay reduced until the outcome is known.
		r.unresolved = true
		r.retryAt = now.Add(failureDelay/2 + time.Duration(s.random.Int64N(int64(failureDelay))))
	}
	s.afterRow(now, m.group)
}

func (s *holder) completeWrite(now time.Time, m *rowWritten, r *rowState, w *pendingWrite) {
	notified := map[string]bool{}
	r.version, r.known, r.confirmed, r.unresolved = m.version, true, now, false
	r.allocations, r.conflicts = w.allocations, 0
	if w.epoch == s.lease.epoch && s.usable(now) {
		r.stale = false
	}
	for _, c := range w.changes {
		if h := s.holdings[c.workspace]; h != nil && c.after > c.before {
			h.grownAt = now
		}
		// All others hear that this daemon is short; those that are short, that it has returned a part.
		a := r.allocations[c.workspace]
		lacks := a.lacks(&share{host: s.host, parts: c.after, need: c.need})
		for _, o := range a.shares {
			if o.host != s.host && (lacks || c.after < c.before && a.lacks(&o)) {
				notified[o.host] = true
			}
		}
	}
	s.applyParts(now, m.group, r)
	for _, c := range w.changes {
		if h := s.holdings[c.workspace]; h != nil && !r.stale && s.usable(now) {
			h.bucket.add(c.taken, &h.quota)
		}
	}
	if len(notified) > 0 {
		s.emit(notifyHolders{group: m.group, hosts: sortedKeys(notified)})
	}
}

// applyParts sets the fractions to those of the row, unless they are not valid.
func (s *holder) applyParts(now time.Time, g group, r *rowState) {
	for _, workspace := range s.workspaces[g] {
		h := s.holdings[workspace]
		parts := s.ownParts(r, h)
		if r.stale || !s.usable(now) {
			parts = 0
		}
		if r.unresolved {
			parts = min(parts, h.bucket.parts)
		}
		h.bucket.refill(now, s.lease.end, &h.quota)
		h.bucket.resize(parts, &h.quota)
	}
}

// undo restores the fractions after a write that had no effect.
func (s *holder) undo(now time.Time, r *rowState, w *pendingWrite) {
	if r.stale || r.unresolved || !s.usable(now) {
		return
	}
	for _, c := range w.changes {
		if h := s.holdings[c.workspace]; h != nil && c.after < c.before {
			h.bucket.refill(now, s.lease.end, &h.quota)
			h.bucket.resize(c.before, &h.quota)
			h.bucket.add(c.given, &h.quota)
		}
	}
}

func (s *holder) resolveConflict(now time.Time, m *rowWritten, r *rowState, w *pendingWrite) {
	s.undo(now, r, w)
	current := provider.VersionedRow{RowKey: m.group.key()}
	for i := range m.conflict {
		if m.conflict[i].RowKey == current.RowKey {
			current = m.conflict[i]
		} else if m.conflict[i].Table == HolderTable {
			s.observeHolder(now, &m.conflict[i])
		}
	}
	s.adopt(now, m.group, r, &current)
	limit := maxConflictDelay
	if s.waits(m.group) {
		limit = maxWaitingDelay
	}
	delay := min(limit, conflictDelay<<min(r.conflicts, 6))
	r.conflicts++
	r.retryAt = now.Add(time.Duration(s.random.Int64N(int64(2 * delay))))
}

// adopt takes over a row as the store has it.
func (s *holder) adopt(now time.Time, g group, r *rowState, row *provider.VersionedRow) {
	if r.known && row.Version < r.version {
		// Rows are never removed, so that this is a late copy of an earlier response.
		return
	}
	if r.unresolved && row.Version != r.version {
		// A write under the earlier version can no longer take effect.
		r.unresolved = false
	}
	allocations := map[string]*allocation{}
	r.unreadable = false
	if row.Version != provider.VersionAbsent {
		var err error
		if allocations, err = decodeRow(row.Value); err != nil {
			r.unreadable = true
			allocations = map[string]*allocation{}
		}
	}
	r.version, r.known, r.confirmed, r.allocations = row.Version, true, now, allocations
	s.applyParts(now, g, r)
}

// read reads the row of a group.
func (s *holder) read(now time.Time, g group, r *rowState) {
	if r.reading || r.write != nil || now.Sub(r.readAt) < noticeInterval {
		r.reread = true
		return
	}
	r.reading, r.reread, r.readAt = true, false, now
	s.emit(readRow{group: g})
}

func (s *holder) finishRead(now time.Time, m *rowRead) {
	r := s.groups[m.group]
	r.reading = false
	if m.kind == provider.KindNone {
		s.adopt(now, m.group, r, &m.row)
	} else {
		r.retryAt = now.Add(failureDelay/2 + time.Duration(s.random.Int64N(int64(failureDelay))))
		r.reread = true
	}
	s.afterRow(now, m.group)
}

// afterRow continues after a change of what is known of a row.
func (s *holder) afterRow(now time.Time, g group) {
	r := s.groups[g]
	if r.reread && r.write == nil && !now.Before(r.retryAt) {
		s.read(now, g, r)
	}
	s.maintain(now, g)
	for _, workspace := range s.workspaces[g] {
		h := s.holdings[workspace]
		s.serve(now, h)
		s.help(now, h)
	}
}

func (s *holder) tick(now time.Time) {
	s.renew(now)
	for _, g := range sortedKeys(s.groups) {
		r := s.groups[g]
		if r.known && now.Sub(r.confirmed) > refreshInterval && (r.unreadable || s.holds(r, g)) {
			r.reread = true
		}
		if r.reread && r.write == nil && !now.Before(r.retryAt) && s.usable(now) {
			s.read(now, g, r)
		}
		s.maintain(now, g)
		for _, workspace := range s.workspaces[g] {
			h := s.holdings[workspace]
			if len(h.queue) > 0 {
				h.bucket.refill(now, s.lease.end, &h.quota)
				s.serve(now, h)
				s.help(now, h)
			}
		}
	}
}

func (s *holder) holds(r *rowState, g group) bool {
	return slices.ContainsFunc(s.workspaces[g], func(workspace string) bool { return s.ownParts(r, s.holdings[workspace]) > 0 })
}

// waits reports whether requests for a workspace of the group wait.
func (s *holder) waits(g group) bool {
	return slices.ContainsFunc(s.workspaces[g], func(workspace string) bool { return len(s.holdings[workspace].queue) > 0 })
}

// busy reports whether requests wait or a row has to be written soon.
func (s *holder) busy() bool {
	for _, h := range s.holdings {
		if len(h.queue) > 0 {
			return true
		}
	}
	return false
}

// returned reports whether a stopping holder has returned all fractions.
func (s *holder) returned() bool {
	for g, r := range s.groups {
		if r.write != nil || r.unresolved || s.holds(r, g) {
			return false
		}
	}
	return true
}
