package replicator

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/packer"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/relayer"
)

const (
	// wholeTable stands for the version in a question for all rows of a table.
	wholeTable = -1
	// maxTableBytes bounds the rows of a reply.
	maxTableBytes = 32 << 20
	// minAnswerInterval is the shortest time until a question is answered since the copy has been
	// confirmed. A daemon that follows the store with short waits confirms its copy more often.
	minAnswerInterval = 200 * time.Millisecond
)

// Options configure a Store.
type Options struct {
	// Tables lists the tables that are replicated.
	Tables []string
	// GroupSize is the number of daemons of a failure domain that share one leader, including it, and
	// the largest number of daemons of a region that all follow the store.
	GroupSize int
	// MaxSources is the number of leaders of which a daemon may follow one.
	MaxSources int
	// MaxAge is the largest age of a copy that a daemon uses.
	MaxAge time.Duration
	// WaitMargin is added to the wait of a feed request when a leader is asked, whose own copy is
	// confirmed about once in such a wait.
	WaitMargin time.Duration
	// ReplyMargin is the time beyond the wait after which a reply is overdue.
	ReplyMargin time.Duration
	// StaleWait replaces the wait of a feed request while the daemon's own copy is too old.
	StaleWait time.Duration
	// StartWait is how long a daemon that starts waits for the copy of a leader that starts too.
	StartWait time.Duration
	// StartGrace is the time from its start after which a daemon without any copy asks the store if
	// no leader replies.
	StartGrace time.Duration
	// StoreStagger is the time between two daemons that turn to the store since all copies are old.
	StoreStagger time.Duration
	// SuspendTime is how long a daemon is not asked after it has not replied, and how long a leader
	// stays with the store after all copies were old.
	SuspendTime time.Duration
}

// DefaultOptions returns the options of a daemon. A change reaches every daemon within the wait of
// one feed request and MaxAge even if a leader stops in the middle.
func DefaultOptions(tables ...string) Options {
	return Options{
		Tables: tables, GroupSize: 8, MaxSources: 3, MaxAge: 2 * time.Second, WaitMargin: 250 * time.Millisecond,
		ReplyMargin: 300 * time.Millisecond, StaleWait: 250 * time.Millisecond, StartWait: time.Second,
		StartGrace: time.Second, StoreStagger: 300 * time.Millisecond, SuspendTime: 5 * time.Second,
	}
}

// ErrStale is in the chain of errors that say that the region has no fresh copy of a table and that
// it is not this daemon's turn to ask the store.
var ErrStale = errors.New("no fresh copy in the region")

// Store is a store whose replicated tables may be followed through other daemons. It is safe for
// concurrent use.
type Store struct {
	provider.RowStore
	messenger *messenger.Messenger
	own       Daemon
	others    func() []Daemon
	options   Options
	log       *zap.Logger

	mutex    sync.Mutex
	replicas map[string]*replica
	// partial holds the rows of tables that are being read page by page.
	partial map[string]provider.RowPage
	chooser *chooser
	// following is the daemon that replied last, empty for the store.
	following string
}

// New returns a Store for a daemon of a region, whose other daemons a function returns. Tables that
// are not replicated go to the given store.
func New(
	store provider.RowStore, m *messenger.Messenger, own Daemon, others func() []Daemon, options Options, log *zap.Logger,
) *Store {
	s := &Store{
		RowStore: store, messenger: m, own: own, others: others, options: options, log: log,
		replicas: map[string]*replica{}, partial: map[string]provider.RowPage{}, chooser: newChooser(options, time.Now()),
	}
	for _, table := range options.Tables {
		s.replicas[table] = newReplica()
	}
	return s
}

// Feed implements provider.RowStore.
func (s *Store) Feed(ctx context.Context, table string, after int64, wait time.Duration) (provider.RowPage, error) {
	if !s.replicated(table) {
		return s.RowStore.Feed(ctx, table, after, wait)
	}
	if page, done, err := s.askRegion(ctx, table, after, wait); done {
		return page, err
	}
	s.setFollowing("", nil)
	page, err := s.RowStore.Feed(ctx, table, after, wait)
	if err == nil {
		s.applyPage(table, page)
	}
	return page, err
}

// Range implements provider.RowStore. A whole table is read from another daemon's copy.
func (s *Store) Range(ctx context.Context, r provider.RowRange) (provider.RowPage, error) {
	if !s.replicated(r.Table) || r.Partition != "" || r.To != "" || r.Limit != 0 {
		return s.RowStore.Range(ctx, r)
	}
	if r.From == "" {
		if page, done, err := s.askRegion(ctx, r.Table, wholeTable, s.options.StartWait); done {
			return page, err
		}
	}
	page, err := s.RowStore.Range(ctx, r)
	if err == nil {
		s.addPartial(r.From == "", r.Table, page)
	}
	return page, err
}

func (s *Store) replicated(table string) bool { return slices.Contains(s.options.Tables, table) }

// askRegion returns the changes of a table from another daemon's copy and adds them to this daemon's
// own. It returns false if the store has to be asked.
func (s *Store) askRegion(
	ctx context.Context, table string, after int64, wait time.Duration,
) (page provider.RowPage, done bool, err error) {
	t := newTopology(s.own, s.others(), s.options.GroupSize, s.options.MaxSources)
	s.mutex.Lock()
	sources := s.chooser.sources(time.Now(), &t)
	s.mutex.Unlock()
	wait = s.waitFor(table, after, wait)
	var stale *provider.RowPage
	replied := false
	for _, peer := range sources {
		page, err := s.query(ctx, peer, table, after, wait)
		provider.ReportProgress(ctx, 0)
		switch {
		case err == nil && s.usable(table, after, &page):
			s.setFollowing(peer.Host, nil)
			s.add(table, after, page)
			return page, true, nil
		case err == nil:
			replied = true
			if stale == nil || page.Age < stale.Age {
				stale = &page
			}
		case provider.KindOf(err) == provider.KindNotFound:
			return page, true, err
		case ctx.Err() != nil:
			return page, true, err
		case errors.Is(err, errNoCopy):
			replied = true
		default:
			s.suspend(table, peer.Host, err)
		}
		// The first source has been waited for.
		wait = 0
	}
	if s.mayAskStore(table, &t, replied) {
		return provider.RowPage{}, false, nil
	}
	if stale != nil && after != wholeTable && len(stale.Rows) > 0 {
		// An old copy may still be newer than this daemon's.
		s.add(table, after, *stale)
		return *stale, true, nil
	}
	return provider.RowPage{}, true, provider.NewError("replica.query", provider.KindUnavailable, ErrStale)
}

// waitFor returns the time for which the first source may wait for a change.
func (s *Store) waitFor(table string, after int64, wait time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.replicas[table]
	switch {
	case after == wholeTable:
		return wait
	case r.known() && r.age(time.Now()) > s.options.MaxAge:
		return min(wait, s.options.StaleWait)
	}
	return wait + s.options.WaitMargin
}

// usable reports whether a reply is fresh. A whole table must not be older than this daemon's own
// copy.
func (s *Store) usable(table string, after int64, page *provider.RowPage) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return page.Age <= s.options.MaxAge && (after != wholeTable || page.Version >= s.replicas[table].version)
}

// suspend records that a daemon has not replied. A daemon that starts goes on asking, since others
// start at the same time.
func (s *Store) suspend(table, host string, err error) {
	s.mutex.Lock()
	if s.replicas[table].known() {
		s.chooser.suspend(time.Now(), host)
	}
	s.mutex.Unlock()
	s.setFollowing("", err)
}

func (s *Store) mayAskStore(table string, t *topology, replied bool) bool {
	now := time.Now()
	s.mutex.Lock()
	r := s.replicas[table]
	known, age := r.known(), r.age(now)
	may := s.chooser.mayAskStore(now, t, known, age, replied)
	s.mutex.Unlock()
	if replied && known {
		s.log.Info("copies of the store's table in the region are too old", zap.String("table", table), zap.Duration("age", age),
			zap.Int("rank", t.rank), zap.Bool("askingStore", may))
	}
	return may
}

// setFollowing records which daemon is followed, and logs a change.
func (s *Store) setFollowing(host string, err error) {
	s.mutex.Lock()
	before := s.following
	s.following = host
	s.mutex.Unlock()
	if before != host {
		s.log.Info("source of the store's tables changed", zap.String("leader", host), zap.String("before", before), zap.Error(err))
	}
}

// errNoCopy means that a daemon has no copy of a table yet.
var errNoCopy = errors.New("the daemon has no copy of the table")

// query asks a peer for its copy.
func (s *Store) query(ctx context.Context, peer messenger.Peer, table string, after int64, wait time.Duration) (provider.RowPage, error) {
	const operation = "replica.query"
	ctx, cancel := context.WithTimeout(ctx, wait+s.options.ReplyMargin)
	defer cancel()
	began := time.Now()
	question := encoder.ReplicaQuestion{Table: table, After: int(after), WaitMs: int(wait.Milliseconds())}
	answer, err := messenger.Call[encoder.ReplicaAnswer](ctx, s.messenger, peer, messenger.MethodReplica, question)
	if err != nil {
		return provider.RowPage{}, provider.NewError(operation, provider.KindUnavailable, err)
	}
	switch kind := provider.ParseKind(answer.Kind); kind {
	case provider.KindNone:
	case provider.KindUnavailable:
		return provider.RowPage{}, provider.NewError(operation, kind, errNoCopy)
	default:
		return provider.RowPage{}, provider.NewError(operation, kind, errors.New("reported by the leader"))
	}
	rows, err := unpack(answer.Packed)
	if err != nil {
		return provider.RowPage{}, provider.NewError(operation, provider.KindInvalid, err)
	}
	// The reply may have waited for a peer or a process that stood still.
	age := time.Duration(answer.AgeMs)*time.Millisecond + max(0, time.Since(began)-wait)
	return provider.RowPage{Rows: rows, Version: int64(answer.Version), Age: age}, nil
}

// Handle serves the questions of peers. It reports whether the method is one of them.
func (s *Store) Handle(ctx context.Context, method string, params json.RawMessage) (any, bool, error) {
	if method != messenger.MethodReplica {
		return nil, false, nil
	}
	var question encoder.ReplicaQuestion
	if err := json.Unmarshal(params, &question); err != nil {
		return nil, true, err
	}
	return s.answer(ctx, &question), true, nil
}

// answer waits until the copy has changes, has been confirmed anew or has become too old, or the
// wait has ended.
func (s *Store) answer(ctx context.Context, question *encoder.ReplicaQuestion) encoder.ReplicaAnswer {
	askedAt := time.Now()
	end := time.NewTimer(time.Duration(question.WaitMs) * time.Millisecond)
	defer end.Stop()
	for final := question.WaitMs <= 0; ; {
		reply, again, updated := s.tryAnswer(question, askedAt, final)
		if reply != nil {
			return *reply
		}
		select {
		case <-updated:
		case <-again:
		case <-end.C:
			final = true
		case <-ctx.Done():
			final = true
		}
	}
}

// tryAnswer returns the answer to a question if it is due; it is if final is set. Otherwise it
// returns a channel that signals when to try again, and one that is closed when the copy is
// updated.
func (s *Store) tryAnswer(
	question *encoder.ReplicaQuestion, askedAt time.Time, final bool,
) (reply *encoder.ReplicaAnswer, again <-chan time.Time, updated <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	r := s.replicas[question.Table]
	switch {
	case r == nil || !r.known() && final:
		return &encoder.ReplicaAnswer{Kind: provider.KindUnavailable.String()}, nil, nil
	case !r.known():
		return nil, nil, r.updated
	}
	rows, ok := r.table(), true
	if question.After != wholeTable {
		rows, ok = r.changesAfter(int64(question.After))
	}
	if !ok {
		return &encoder.ReplicaAnswer{Kind: provider.KindNotFound.String()}, nil, nil
	}
	if !final && question.After != wholeTable && len(rows) == 0 {
		if hold := s.holdTime(r, now, askedAt); hold > 0 {
			return nil, time.After(hold), r.updated
		}
	}
	return &encoder.ReplicaAnswer{
		Kind: provider.KindNone.String(), Packed: r.pack(int64(question.After), rows), Version: int(r.version),
		AgeMs: int(r.age(now).Milliseconds()),
	}, nil, nil
}

// holdTime returns the time for which a question is held whose changes are not known yet, unless the
// copy is updated before.
func (s *Store) holdTime(r *replica, now, askedAt time.Time) time.Duration {
	elapsed, age := now.Sub(askedAt), r.age(now)
	switch wasFresh := age-elapsed < s.options.MaxAge; {
	case r.confirmedAt.After(askedAt):
		return minAnswerInterval - elapsed
	case wasFresh:
		return s.options.MaxAge - age
	}
	// The copy was too old when the question came; only an update makes it worth an answer.
	return s.options.MaxAge
}

// add adds a reply to this daemon's own copy.
func (s *Store) add(table string, after int64, page provider.RowPage) {
	if after == wholeTable {
		s.replaceTable(table, page)
	} else {
		s.applyPage(table, page)
	}
}

func (s *Store) applyPage(table string, page provider.RowPage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// Changes complete a copy only if it has the table that they change.
	if r := s.replicas[table]; r.known() {
		r.apply(time.Now().Add(-page.Age), page)
	}
}

func (s *Store) replaceTable(table string, page provider.RowPage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replicas[table].replace(time.Now().Add(-page.Age), page.Rows, page.Version)
}

// addPartial adds a page of a table that is read from the store, and makes the rows the copy once
// the last page has arrived. Changes between the pages come again with the feed, which begins at the
// version of the first page.
func (s *Store) addPartial(first bool, table string, page provider.RowPage) {
	s.mutex.Lock()
	partial := page
	if !first {
		partial = s.partial[table]
		partial.Rows = append(partial.Rows, page.Rows...)
	}
	s.partial[table] = partial
	complete := !page.More || len(page.Rows) == 0
	if complete {
		delete(s.partial, table)
	}
	s.mutex.Unlock()
	if complete {
		s.replaceTable(table, partial)
	}
}

// pack encodes and deflates rows. It returns an empty value if there are none.
func pack(rows []provider.VersionedRow) []byte {
	if len(rows) == 0 {
		return []byte{}
	}
	// The type has only numbers, strings and bytes, so encoding cannot fail.
	encoded, _ := json.Marshal(relayer.EncodeRows(rows))
	return packer.Deflate(encoded)
}

func unpack(packed []byte) ([]provider.VersionedRow, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	encoded, err := packer.Inflate(packed, maxTableBytes)
	if err != nil {
		return nil, err
	}
	var rows []encoder.StoredRow
	if err := json.Unmarshal(encoded, &rows); err != nil {
		return nil, err
	}
	return relayer.DecodeRows(rows), nil
}
