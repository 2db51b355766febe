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
)

// Options configure a Store.
type Options struct {
	// Tables lists the tables that are replicated.
	Tables []string
	// GroupSize is the number of daemons of a failure domain that share one leader, including it.
	GroupSize int
	// MaxAge is the largest age of a leader's copy that a daemon uses.
	MaxAge time.Duration
	// ReplyMargin is the time beyond the wait after which a reply is overdue.
	ReplyMargin time.Duration
	// SuspendTime is how long a daemon follows the store itself after its leader has failed.
	SuspendTime time.Duration
}

// DefaultOptions returns the options of a daemon. A change reaches every daemon within the wait of
// one feed request and MaxAge even if a leader stops in the middle.
func DefaultOptions(tables ...string) Options {
	return Options{
		Tables: tables, GroupSize: 8, MaxAge: 2 * time.Second, ReplyMargin: 300 * time.Millisecond, SuspendTime: 5 * time.Second,
	}
}

// Peers returns the other daemons of the failure domain.
type Peers func() []messenger.Peer

// Store is a store whose replicated tables may be followed through a leader. It is safe for
// concurrent use.
type Store struct {
	provider.RowStore
	messenger *messenger.Messenger
	host      string
	peers     Peers
	options   Options
	log       *zap.Logger

	mutex    sync.Mutex
	replicas map[string]*replica
	// partial holds the rows of tables that are being read page by page.
	partial map[string]provider.RowPage
	// suspendedUntil is the time until which no leader is asked. following is the leader that
	// replied last, empty for the store.
	suspendedUntil time.Time
	following      string
}

// New returns a Store for the daemon on the host. Tables that are not replicated go to the given
// store.
func New(store provider.RowStore, m *messenger.Messenger, host string, peers Peers, options Options, log *zap.Logger) *Store {
	s := &Store{
		RowStore: store, messenger: m, host: host, peers: peers, options: options, log: log,
		replicas: map[string]*replica{}, partial: map[string]provider.RowPage{},
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
	if page, err := s.askLeader(ctx, table, after, wait); err == nil || provider.KindOf(err) == provider.KindNotFound {
		return page, err
	}
	page, err := s.RowStore.Feed(ctx, table, after, wait)
	if err == nil {
		s.applyPage(table, page)
	}
	return page, err
}

// Range implements provider.RowStore. A whole table is read from the leader's copy.
func (s *Store) Range(ctx context.Context, r provider.RowRange) (provider.RowPage, error) {
	if !s.replicated(r.Table) || r.Partition != "" || r.To != "" || r.Limit != 0 {
		return s.RowStore.Range(ctx, r)
	}
	if r.From == "" {
		if page, err := s.askLeader(ctx, r.Table, wholeTable, 0); err == nil {
			return page, nil
		}
	}
	page, err := s.RowStore.Range(ctx, r)
	if err == nil {
		s.addPartial(r.From == "", r.Table, page)
	}
	return page, err
}

func (s *Store) replicated(table string) bool { return slices.Contains(s.options.Tables, table) }

var errNoLeader = errors.New("this daemon follows the store")

// askLeader returns the changes of a table from the leader's copy and adds them to this daemon's
// own. Any error but KindNotFound means that the store has to be asked.
func (s *Store) askLeader(ctx context.Context, table string, after int64, wait time.Duration) (provider.RowPage, error) {
	peer, ok := leader(s.host, s.peers(), s.options.GroupSize)
	s.mutex.Lock()
	suspended := time.Now().Before(s.suspendedUntil)
	s.mutex.Unlock()
	if !ok || suspended {
		return provider.RowPage{}, errNoLeader
	}
	page, err := s.query(ctx, peer, table, after, wait)
	switch {
	case err == nil:
		s.setFollowing(peer.Host, nil)
		if after == wholeTable {
			s.replaceTable(table, page)
		} else {
			s.applyPage(table, page)
		}
	case provider.KindOf(err) != provider.KindNotFound && ctx.Err() == nil:
		s.setFollowing("", err)
	}
	return page, err
}

// setFollowing records which leader is followed, and logs a change. An error suspends the leader.
func (s *Store) setFollowing(host string, err error) {
	s.mutex.Lock()
	before := s.following
	s.following = host
	if err != nil {
		s.suspendedUntil = time.Now().Add(s.options.SuspendTime)
	}
	s.mutex.Unlock()
	if before != host {
		s.log.Info("source of the store's tables changed", zap.String("leader", host), zap.String("before", before), zap.Error(err))
	}
}

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
	if kind := provider.ParseKind(answer.Kind); kind != provider.KindNone {
		return provider.RowPage{}, provider.NewError(operation, kind, errors.New("reported by the leader"))
	}
	// The reply may have waited for a peer or a process that stood still.
	age := time.Duration(answer.AgeMs)*time.Millisecond + max(0, time.Since(began)-wait)
	if age > s.options.MaxAge {
		return provider.RowPage{}, provider.NewError(operation, provider.KindUnavailable, errors.New("copy of the leader is too old"))
	}
	rows, err := unpack(answer.Packed)
	if err != nil {
		return provider.RowPage{}, provider.NewError(operation, provider.KindInvalid, err)
	}
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

// answer waits until the copy has changes, has become too old or the wait has ended.
func (s *Store) answer(ctx context.Context, question *encoder.ReplicaQuestion) encoder.ReplicaAnswer {
	end := time.NewTimer(time.Duration(question.WaitMs) * time.Millisecond)
	defer end.Stop()
	for waiting := true; ; {
		reply, old, changed := s.tryAnswer(question, !waiting)
		if reply != nil {
			return *reply
		}
		select {
		case <-changed:
		case <-old:
			waiting = false
		case <-end.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
}

// tryAnswer returns the answer if there are changes or final is set. Otherwise it returns a channel
// that signals when the copy is too old, and one that is closed when it changes.
func (s *Store) tryAnswer(question *encoder.ReplicaQuestion, final bool) (reply *encoder.ReplicaAnswer, old <-chan time.Time, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.replicas[question.Table]
	now := time.Now()
	if r == nil || !r.known() {
		return &encoder.ReplicaAnswer{Kind: provider.KindUnavailable.String()}, nil, nil
	}
	rows, ok := r.table(), true
	if question.After != wholeTable {
		rows, ok = r.changesAfter(int64(question.After))
	}
	switch {
	case !ok:
		return &encoder.ReplicaAnswer{Kind: provider.KindNotFound.String()}, nil, nil
	case len(rows) == 0 && !final && r.age(now) < s.options.MaxAge:
		return nil, time.After(s.options.MaxAge - r.age(now)), r.changed
	}
	return &encoder.ReplicaAnswer{
		Kind: provider.KindNone.String(), Packed: r.pack(int64(question.After), rows), Version: int(r.version), AgeMs: int(r.age(now).Milliseconds()),
	}, nil, nil
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
