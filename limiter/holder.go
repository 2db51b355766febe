package limiter

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

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
