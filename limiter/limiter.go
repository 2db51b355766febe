package limiter

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/registrar"
)

const (
	// busyTick is the interval of ticks while requests wait, idleTick that of others.
	busyTick = 5 * time.Millisecond
	idleTick = 250 * time.Millisecond
	// refreshDelay is the mean time from the start to an additional read of the list of daemons, which is
	// left out if it has more than maxRefreshed entries.
	refreshDelay = 300 * time.Millisecond
	maxRefreshed = 128
	// refreshPause is the shortest interval between additional reads of the list.
	refreshPause = 2 * time.Second
	// storeTimeout bounds a call to the store. Fractions stay reduced after it until the outcome is
	// known, so that it is longer than the responses of a slow store.
	storeTimeout = 3 * time.Second
	// domainPatience and regionPatience are how long the first host of a cell may take to reply before
	// the second one is asked.
	domainPatience = 30 * time.Millisecond
	regionPatience = 45 * time.Millisecond
	// holdTime is how long a holder waits for permits before it replies that they are pending.
	holdTime = 15 * time.Millisecond
	// borrowTimeout bounds a request to another holder for tokens, lentValidity the time after which
	// they are no longer used.
	borrowTimeout = 120 * time.Millisecond
	borrowWait    = 60 * time.Millisecond
	lentValidity  = 300 * time.Millisecond
	// noticeTimeout bounds a notice to another holder.
	noticeTimeout = 500 * time.Millisecond
	// noHolderRetryAfter is the retry delay after no holder has replied.
	noHolderRetryAfter = 300 * time.Millisecond
	// replyMargin is the part of a call's wait that is left for the reply of a holder.
	replyMargin = 10 * time.Millisecond
)

// Settings describe the daemon and the platform.
type Settings struct {
	// Own is this daemon's entry in the list of daemons.
	Own         registrar.Entry
	Incarnation string
	// Domains and Regions are the numbers of failure domains and regions.
	Domains int
	Regions int
	Seed    uint64
}

// Peers sends requests to other daemons.
type Peers interface {
	AskPermits(ctx context.Context, peer messenger.Peer, question encoder.PermitQuestion) (encoder.PermitAnswer, error)
	Notify(ctx context.Context, peer messenger.Peer, notice encoder.QuotaNotice) error
}

// messengerPeers sends requests over the connections of a messenger.
type messengerPeers struct{ messenger *messenger.Messenger }

// NewPeers returns a Peers that uses the connections of a messenger.
func NewPeers(m *messenger.Messenger) Peers { return messengerPeers{m} }

// AskPermits implements Peers.
func (p messengerPeers) AskPermits(ctx context.Context, peer messenger.Peer, question encoder.PermitQuestion) (encoder.PermitAnswer, error) {
	return messenger.Call[encoder.PermitAnswer](ctx, p.messenger, peer, messenger.MethodPermits, question)
}

// Notify implements Peers.
func (p messengerPeers) Notify(ctx context.Context, peer messenger.Peer, notice encoder.QuotaNotice) error {
	_, err := messenger.Call[struct{}](ctx, p.messenger, peer, messenger.MethodQuotaNotice, notice)
	return err
}

// Dependencies are the objects that a Limiter works with.
type Dependencies struct {
	Store provider.RowStore
	Peers Peers
	// Daemons returns the other daemons. The list must not be modified; a changed list is another slice.
	Daemons func() []registrar.Entry
	// Refresh reads the list of daemons again.
	Refresh func(ctx context.Context) error
	// Clock includes the time for which the host is suspended.
	Clock   provider.Clock
	Observe Observer
	Log     *zap.Logger
}

// Limiter limits the calls of workspaces. It is safe for concurrent use.
type Limiter struct {
	deps     Dependencies
	settings Settings
	quotas   atomic.Pointer[map[string]*Quota]
	// names are the names of the workspaces in metrics.
	names   atomic.Pointer[map[string]string]
	wake    chan struct{}
	tickets atomic.Uint64
	// refreshedAt is when the list of daemons was last read again, in Unix nanoseconds.
	refreshedAt atomic.Int64

	// mutex guards the fields below. Their updates take microseconds.
	mutex    sync.Mutex
	holder   *holder
	asker    *asker
	topology *topology
	// places is the topology that the holder has been told.
	places  *topology
	replies map[ticket]chan grant
}

// New returns a Limiter without quotas, which admits all calls and does nothing.
func New(deps Dependencies, settings Settings) *Limiter {
	l := &Limiter{
		deps: deps, settings: settings, wake: make(chan struct{}, 1), asker: newAsker(), replies: map[ticket]chan grant{},
		holder: newHolder(settings.Own.Host, settings.Incarnation, settings.Seed), topology: newTopology(settings.Own, nil),
	}
	l.quotas.Store(&map[string]*Quota{})
	l.names.Store(&map[string]string{})
	return l
}

// SetQuotas replaces the quotas. Those without a rate are ignored.
func (l *Limiter) SetQuotas(quotas []Quota) {
	byName := map[string]*Quota{}
	m := quotasChanged{cells: map[string]int{}}
	for _, q := range quotas {
		if q.RatePerSecond <= 0 || byName[q.Workspace] != nil {
			continue
		}
		byName[q.Workspace] = &q
		m.quotas = append(m.quotas, q)
		m.cells[q.Workspace] = l.settings.Regions
		if q.perDomain(l.settings.Domains) {
			m.cells[q.Workspace] = l.settings.Domains
		}
	}
	if len(byName) == 0 && len(*l.quotas.Load()) == 0 {
		return
	}
	names := metricNames(m.quotas)
	l.names.Store(&names)
	l.quotas.Store(&byName)
	l.update(m)
	l.mutex.Lock()
	l.places = nil
	l.mutex.Unlock()
	l.updatePlaces()
	l.mutex.Lock()
	l.asker.keep(byName)
	l.mutex.Unlock()
}

// Run renews the lease and changes fractions until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	refresh := time.NewTimer(refreshDelay/2 + rand.N(refreshDelay))
	defer refresh.Stop()
	interval := idleTick
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
			if len(*l.quotas.Load()) > 0 && len(l.deps.Daemons()) <= maxRefreshed {
				go l.refresh(ctx)
			}
			continue
		case <-l.wake:
			// A tick that is due soon must not be put off by each request.
			if interval > busyTick {
				interval = busyTick
				timer.Reset(interval)
			}
			continue
		case <-timer.C:
		}
		interval = l.tick()
		timer.Reset(interval)
	}
}

// refresh reads the list of daemons: those that started at the same time are missing from the first list,
// and a host that wrongly counts as the first of its cell takes a fraction that others need.
func (l *Limiter) refresh(ctx context.Context) {
	now := l.deps.Clock.Now().UnixNano()
	if last := l.refreshedAt.Load(); now-last < int64(refreshPause) || !l.refreshedAt.CompareAndSwap(last, now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := l.deps.Refresh(ctx); err != nil {
		l.deps.Log.Info("list of daemons not read for quotas", zap.Error(err))
	}
}

// tick updates the holder and returns the time until the next tick.
func (l *Limiter) tick() time.Duration {
	if len(*l.quotas.Load()) == 0 {
		return idleTick
	}
	l.updatePlaces()
	l.update(tick{})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.holder.busy() {
		return busyTick
	}
	return idleTick
}

// updatePlaces tells the holder about the first hosts of the cells if the list of daemons or the quotas
// have changed.
func (l *Limiter) updatePlaces() {
	entries := l.deps.Daemons()
	l.mutex.Lock()
	if l.places != nil && l.places.isFor(entries) {
		l.mutex.Unlock()
		return
	}
	l.places = l.currentTopology(entries)
	m := placesChanged{first: map[string]string{}}
	for workspace, q := range *l.quotas.Load() {
		m.first[workspace] = l.places.route(l.place(q)).order[0]
	}
	l.mutex.Unlock()
	l.update(m)
}

func (l *Limiter) place(q *Quota) place {
	return place{groupOf(q.Workspace), q.perDomain(l.settings.Domains)}
}

// currentTopology returns the topology of a list of daemons. The caller holds the mutex.
func (l *Limiter) currentTopology(entries []registrar.Entry) *topology {
	if !l.topology.isFor(entries) {
		l.topology = newTopology(l.settings.Own, entries)
	}
	return l.topology
}

// update passes a message to the holder and carries out its commands.
func (l *Limiter) update(m message) {
	l.mutex.Lock()
	now := l.deps.Clock.Now()
	commands := l.holder.update(now, m)
	for _, c := range commands {
		if g, ok := c.(grant); ok {
			if reply := l.replies[g.ticket]; reply != nil {
				delete(l.replies, g.ticket)
				reply <- g
			}
		}
	}
	busy := l.holder.busy()
	l.mutex.Unlock()
	for _, c := range commands {
		l.execute(c)
	}
	if busy {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// hold asks the own holder for permits and returns its reply.
func (l *Limiter) hold(m permitsRequested) grant {
	m.ticket = ticket(l.tickets.Add(1))
	reply := make(chan grant, 1)
	l.mutex.Lock()
	l.replies[m.ticket] = reply
	l.mutex.Unlock()
	l.update(m)
	// Each request is answered at its deadline at the latest, unless Run has ended.
	timeout := time.NewTimer(2 * maxWait)
	defer timeout.Stop()
	select {
	case g := <-reply:
		return g
	case <-timeout.C:
	}
	l.mutex.Lock()
	delete(l.replies, m.ticket)
	l.mutex.Unlock()
	return grant{reason: reasonStopping}
}

// route returns the place and the hosts for a workspace.
func (l *Limiter) route(q *Quota) *route {
	entries := l.deps.Daemons()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.currentTopology(entries).route(l.place(q))
}

func (l *Limiter) peer(host string) (messenger.Peer, bool) {
	entries := l.deps.Daemons()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e, ok := l.currentTopology(entries).byHost[host]
	return messenger.Peer{Host: e.Host, Address: e.Address}, ok
}

// answer is the reply of a holder, or an error.
type answer struct {
	host    string
	grant   grant
	expires time.Time
	err     error
}

// Admit decides whether a call is within the quota of its workspace. It waits for at most maxWait.
func (l *Limiter) Admit(ctx context.Context, request Request) Decision {
	q := (*l.quotas.Load())[request.Workspace]
	if q == nil {
		return Decision{Admitted: true}
	}
	now := l.deps.Clock.Now()
	l.mutex.Lock()
	expires, ok := l.asker.take(now, request.Workspace)
	extra := 0
	if !ok {
		extra = l.asker.extra(now, request.Workspace)
	}
	l.mutex.Unlock()
	d := Decision{Admitted: true, Limited: true, Expires: expires}
	if !ok {
		d = l.ask(ctx, now, q, request, extra)
	}
	l.deps.Observe.decision((*l.names.Load())[request.Workspace], &d, l.deps.Clock.Now().Sub(now))
	return d
}

// ask asks the hosts of the cell for a permit, one after the other.
func (l *Limiter) ask(ctx context.Context, began time.Time, q *Quota, request Request, extra int) Decision {
	r := l.route(q)
	l.mutex.Lock()
	hosts := l.asker.order(began, r.order)
	l.mutex.Unlock()
	patience := regionPatience
	if q.perDomain(l.settings.Domains) {
		patience = domainPatience
	}
	answers := make(chan answer, len(hosts))
	asked, open, failed := 0, 0, 0
	askNext := func() {
		if asked == len(hosts) {
			return
		}
		host := hosts[asked]
		asked++
		open++
		takeover := failed == asked-1 && host != r.order[0]
		go func() { answers <- l.askHost(host, began, r, request, extra, takeover, false) }()
	}
	deadline := time.NewTimer(maxWait)
	defer deadline.Stop()
	askNext()
	impatient := time.NewTimer(patience)
	defer impatient.Stop()
	last := Decision{Limited: true, Reason: ReasonNoHolder, RetryAfter: noHolderRetryAfter}
	for open > 0 {
		select {
		case a := <-answers:
			open--
			if a.err == nil && a.grant.reason == reasonPending {
				impatient.Stop()
				open++
				last = Decision{
					Limited: true, Reason: ReasonOverQuota, RetryAfter: a.grant.retryAfter, Holder: a.host, Fraction: a.grant.fraction, Age: a.grant.age,
				}
				if a.grant.fraction == 0 {
					last.Reason = ReasonNoFraction
				}
				go func() { answers <- l.askHost(a.host, began, r, request, extra, false, true) }()
				continue
			}
			if a.err == nil && a.grant.permits > 0 {
				l.keepLater(request.Workspace, answers, open)
				l.putSpare(request.Workspace, a.grant.permits-1, a.expires)
				return Decision{
					Admitted: true, Limited: true, Expires: a.expires, Holder: a.host, Fraction: a.grant.fraction, Age: a.grant.age,
				}
			}
			if a.err == nil {
				last = Decision{
					Limited: true, Reason: a.grant.reason, RetryAfter: a.grant.retryAfter, Holder: a.host, Fraction: a.grant.fraction, Age: a.grant.age,
				}
				if a.grant.reason == ReasonOverQuota || a.grant.reason == ReasonProgram {
					l.keepLater(request.Workspace, answers, open)
					return last
				}
			} else {
				failed++
			}
			askNext()
		case <-impatient.C:
			if hosts[asked-1] != l.settings.Own.Host {
				askNext()
			}
		case <-deadline.C:
			l.keepLater(request.Workspace, answers, open)
			return last
		case <-ctx.Done():
			l.keepLater(request.Workspace, answers, open)
			return last
		}
	}
	return last
}

// keepLater keeps the permits of answers that arrive after the decision.
func (l *Limiter) keepLater(workspace string, answers <-chan answer, open int) {
	if open == 0 {
		return
	}
	go func() {
		for range open {
			if a := <-answers; a.err == nil {
				l.putSpare(workspace, a.grant.permits, a.expires)
			}
		}
	}()
}

func (l *Limiter) putSpare(workspace string, count int, expires time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.asker.put(workspace, count, expires)
}

// askHost asks one host, which may be this daemon, for a permit.
func (l *Limiter) askHost(host string, began time.Time, r *route, request Request, extra int, takeover, again bool) answer {
	sentAt := l.deps.Clock.Now()
	left := maxWait - sentAt.Sub(began)
	if host == l.settings.Own.Host {
		g := l.hold(permitsRequested{
			workspace: request.Workspace, program: request.Program, needed: 1, deadline: sentAt.Add(left - replyMargin), limit: sentAt.Add(left - replyMargin),
			takeover: takeover, first: r.order[0], lenders: r.lenders,
		})
		return answer{host: host, grant: g, expires: sentAt.Add(permitValidity)}
	}
	peer, ok := l.peer(host)
	if !ok {
		return answer{host: host, err: &Error{operation: "ask " + host, kind: KindUnlisted}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(left, replyMargin))
	defer cancel()
	reply, err := l.deps.Peers.AskPermits(ctx, peer, encoder.PermitQuestion{
		Workspace: request.Workspace, Program: request.Program, Needed: 1, Extra: extra, Takeover: takeover,
		Again: again, WaitMs: int(min(holdTime, left-replyMargin).Milliseconds()), LimitMs: int((left - replyMargin).Milliseconds()),
	})
	l.mutex.Lock()
	if err != nil || reply.Reason == reasonStopping {
		l.asker.suspect(l.deps.Clock.Now(), host)
	} else {
		l.asker.trust(host)
	}
	l.mutex.Unlock()
	if err != nil {
		return answer{host: host, err: err}
	}
	return answer{
		host: host, expires: sentAt.Add(min(permitValidity, time.Duration(reply.ValidMs)*time.Millisecond)),
		grant: grant{
			permits: reply.Permits, reason: reply.Reason, retryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
			fraction: reply.Fraction, age: time.Duration(reply.AgeMs) * time.Millisecond,
		},
	}
}

// Handle serves the requests of peers. It reports whether the method is one of them.
func (l *Limiter) Handle(_ context.Context, method string, params json.RawMessage) (any, bool, error) {
	switch method {
	case messenger.MethodPermits:
		var question encoder.PermitQuestion
		if err := json.Unmarshal(params, &question); err != nil {
			return nil, true, &Error{operation: method, kind: KindMalformed, cause: err}
		}
		return l.answer(&question), true, nil
	case messenger.MethodQuotaNotice:
		var notice encoder.QuotaNotice
		if err := json.Unmarshal(params, &notice); err != nil {
			return nil, true, &Error{operation: method, kind: KindMalformed, cause: err}
		}
		if g, ok := parseGroup(notice.Row); ok {
			l.update(noticeReceived{group: g})
		}
		return struct{}{}, true, nil
	}
	return nil, false, nil
}

// answer answers a question for permits.
func (l *Limiter) answer(question *encoder.PermitQuestion) encoder.PermitAnswer {
	q := (*l.quotas.Load())[question.Workspace]
	if q == nil {
		return encoder.PermitAnswer{Reason: reasonUnknown}
	}
	r := l.route(q)
	now := l.deps.Clock.Now()
	most := maxExtra
	if question.Lend {
		most *= lendUnit
	}
	g := l.hold(permitsRequested{
		workspace: question.Workspace, program: question.Program, needed: max(1, question.Needed), extra: max(0, min(most, question.Extra)),
		deadline: now.Add(min(maxWait, time.Duration(question.WaitMs)*time.Millisecond)), again: question.Again,
		limit: now.Add(min(maxWait, time.Duration(question.LimitMs)*time.Millisecond)),
		lend:  question.Lend, takeover: question.Takeover, first: r.order[0], lenders: r.lenders,
	})
	return encoder.PermitAnswer{
		Permits: g.permits, ValidMs: int(permitValidity.Milliseconds()), Reason: g.reason,
		RetryAfterMs: int(g.retryAfter.Milliseconds()), Fraction: g.fraction, AgeMs: int(g.age.Milliseconds()),
	}
}

// ReturnFractions returns all fractions at a planned stop, until the context ends.
func (l *Limiter) ReturnFractions(ctx context.Context) {
	if len(*l.quotas.Load()) == 0 {
		return
	}
	l.update(stopRequested{})
	for !l.returned() {
		select {
		case <-ctx.Done():
			l.deps.Log.Warn("grace period ended before all fractions of quotas were returned; they are freed later")
			return
		case <-time.After(busyTick):
			l.update(tick{})
		}
	}
}

// Fractions returns the sum of the fractions that this daemon holds, by the name of the workspace in
// metrics, and the time until the end of their lease.
func (l *Limiter) Fractions() (fractions map[string]float64, lease time.Duration) {
	names := *l.names.Load()
	fractions = map[string]float64{}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for workspace, h := range l.holder.holdings {
		fractions[names[workspace]] += h.bucket.fraction()
	}
	return fractions, max(0, l.holder.lease.end.Sub(l.deps.Clock.Now()))
}

func (l *Limiter) returned() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.holder.returned()
}
