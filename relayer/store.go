package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Peers returns the peers, nearest first.
type Peers func() []messenger.Peer

// CallRecord describes a call to the store that has ended.
type CallRecord struct {
	Operation string
	// Mode is the access mode that the call used.
	Mode AccessMode
	// Kind is the kind of the call's error.
	Kind provider.Kind
	Took time.Duration
	// Bytes is the size of the part of the response that arrived from the store, 0 for calls through
	// a peer.
	Bytes int
}

// Observer is called after each call to the store.
type Observer func(c CallRecord)

// Store calls the platform's store directly or through a peer. It is safe for concurrent
// use.
type Store struct {
	direct    provider.RowStore
	messenger *messenger.Messenger
	peers     Peers
	options   Options
	observe   Observer
	log       *zap.Logger
	// probeMutex is held during a probe, so that concurrent queries share one read.
	probeMutex sync.Mutex
	mutex      sync.Mutex
	state      *State
	lastMode   AccessMode
}

// New returns a Store that starts with direct access.
func New(
	direct provider.RowStore, m *messenger.Messenger, peers Peers, options Options, observe Observer, log *zap.Logger,
) *Store {
	return &Store{
		direct: direct, messenger: m, peers: peers, options: options, observe: observe, log: log, state: newState(options),
	}
}

// AccessMode returns the current access mode.
func (s *Store) AccessMode() AccessMode {
	mode, _ := s.mode()
	return mode
}

// mode returns the current access mode and, if it is Relayed, the host of the relaying peer.
func (s *Store) mode() (AccessMode, string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.accessMode(time.Now())
}

// directCall is a call to the store that is under way.
type directCall struct {
	store     *Store
	operation string
	began     time.Time
	bytes     atomic.Int64
}

// beginDirect begins a direct call, which uses the returned context.
func (s *Store) beginDirect(ctx context.Context, operation string) (context.Context, *directCall) {
	c := &directCall{store: s, operation: operation, began: time.Now()}
	return provider.WithProgress(ctx, func(bytes int) { c.bytes.Add(int64(bytes)) }), c
}

// end reports the result of a direct call, which was due at the given time, to the observer and
// updates the state. A call that its caller has given up says nothing about the store.
func (c *directCall) end(ctx context.Context, due time.Time, err error) {
	c.store.observe(CallRecord{
		Operation: c.operation, Mode: Direct, Kind: provider.KindOf(err), Took: time.Since(c.began), Bytes: int(c.bytes.Load()),
	})
	switch {
	case storeResponded(err):
		c.store.update(DirectResponded{})
	case !errors.Is(context.Cause(ctx), context.Canceled):
		c.store.update(DirectFailed{Due: due})
	}
}

// storeResponded reports whether the result of a call, which may be an error, is a response
// of a working store.
func storeResponded(err error) bool {
	switch provider.KindOf(err) {
	case provider.KindUnavailable, provider.KindUnknown:
		return false
	}
	return true
}

// update applies a message to the state, logs a change of the access mode and queries peers
// if that is due.
func (s *Store) update(m Message) {
	s.mutex.Lock()
	now := time.Now()
	query := s.state.Update(now, m)
	mode, peer := s.state.accessMode(now)
	changed := mode != s.lastMode
	s.lastMode = mode
	s.mutex.Unlock()
	if changed {
		s.log.Info("access to the store changed", zap.Stringer("reach", mode), zap.String("peer", peer))
	}
	if query {
		s.queryPeers()
	}
}

// queryPeers asks some of the peers whether they reach the store: the nearest, and others
// at random.
func (s *Store) queryPeers() {
	peers := s.peers()
	if len(peers) > s.options.MaxPeers {
		near := s.options.MaxPeers / 2
		rand.Shuffle(len(peers)-near, func(i, j int) { peers[near+i], peers[near+j] = peers[near+j], peers[near+i] })
		peers = peers[:s.options.MaxPeers]
	}
	for _, peer := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), s.options.QueryTimeout)
			defer cancel()
			reply, err := messenger.Call[encoder.StoreState](ctx, s.messenger, peer, messenger.MethodStoreState, encoder.StoreState{})
			s.update(PeerReported{Host: peer.Host, Up: err == nil && reply.Up, Replied: err == nil})
		}()
	}
}

func (s *Store) findPeer(host string) (messenger.Peer, bool) {
	for _, p := range s.peers() {
		if p.Host == host {
			return p, true
		}
	}
	return messenger.Peer{}, false
}

// Apply implements provider.RowStore.
func (s *Store) Apply(ctx context.Context, t provider.RowTransaction) (int64, error) {
	if mode, host := s.mode(); mode == Relayed {
		response, err := s.relay(ctx, host, messenger.MethodStoreApply, encodeChange(ctx, &t))
		if err != nil {
			return 0, err
		}
		return int64(response.Version), decodeError("store.apply", &response)
	}
	return s.directApply(ctx, "apply", t)
}

// Range implements provider.RowStore.
func (s *Store) Range(ctx context.Context, r provider.RowRange) (provider.RowPage, error) {
	if mode, host := s.mode(); mode == Relayed {
		response, err := s.relay(ctx, host, messenger.MethodStoreRange, encodeRange(ctx, &r))
		if err != nil {
			return provider.RowPage{}, err
		}
		return decodePage("store.range", &response)
	}
	return s.directRange(ctx, "range", r)
}

func (s *Store) directApply(ctx context.Context, operation string, t provider.RowTransaction) (int64, error) {
	ctx, call := s.beginDirect(ctx, operation)
	version, err := s.direct.Apply(ctx, t)
	call.end(ctx, time.Now(), err)
	return version, err
}

func (s *Store) directRange(ctx context.Context, operation string, r provider.RowRange) (provider.RowPage, error) {
	ctx, call := s.beginDirect(ctx, operation)
	page, err := s.direct.Range(ctx, r)
	call.end(ctx, time.Now(), err)
	return page, err
}

func (s *Store) directDown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.directDown(time.Now())
}

// relay sends a call to the store through the peer on the host.
func (s *Store) relay(ctx context.Context, host, method string, params any) (encoder.StoreAnswer, error) {
	peer, ok := s.findPeer(host)
	if !ok {
		s.update(PeerReported{Host: host})
		return encoder.StoreAnswer{}, provider.NewError("store.relay", provider.KindUnavailable, errors.New("the relaying daemon is no longer listed"))
	}
	began := time.Now()
	response, err := messenger.Call[encoder.StoreAnswer](ctx, s.messenger, peer, method, params)
	s.observe(CallRecord{Operation: method, Mode: Relayed, Kind: provider.ParseKind(response.Kind), Took: time.Since(began)})
	if err != nil {
		s.update(PeerReported{Host: host})
		kind := provider.KindUnknown
		if messenger.KindOf(err).NotRun() {
			kind = provider.KindUnavailable
		}
		return response, provider.NewError("store.relay", kind, err)
	}
	if storeResponded(decodeError(method, &response)) {
		s.update(PeerReported{Host: host, Up: true, Replied: true})
	}
	return response, nil
}

// probe reports whether the store responds to this daemon. Without a recent response it
// makes a read, unless the direct path is down. Concurrent queries share one read.
func (s *Store) probe(ctx context.Context) bool {
	s.probeMutex.Lock()
	defer s.probeMutex.Unlock()
	s.mutex.Lock()
	up, down := s.state.recentlyUp(time.Now()), s.state.directDown(time.Now())
	s.mutex.Unlock()
	if up || down {
		return up
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.ProbeTimeout)
	defer cancel()
	_, err := s.directRange(ctx, "probe", provider.RowRange{Table: "daemons", Partition: "probe", Limit: 1})
	return storeResponded(err)
}

// Handle serves the queries and relayed calls of peers. It reports whether the method is
// one of them.
func (s *Store) Handle(ctx context.Context, method string, params json.RawMessage) (any, bool, error) {
	switch method {
	case messenger.MethodStoreState:
		return encoder.StoreState{Up: s.probe(ctx)}, true, nil
	case messenger.MethodStoreApply:
		var change encoder.StoreChange
		if err := json.Unmarshal(params, &change); err != nil {
			return nil, true, err
		}
		ctx, cancel := context.WithTimeout(ctx, time.Duration(change.TimeoutMs)*time.Millisecond)
		defer cancel()
		version, err := s.directApply(ctx, "applyForPeer", decodeChange(&change))
		return encodeResponse(provider.RowPage{Version: version}, err), true, nil
	case messenger.MethodStoreRange:
		var r encoder.StoreRange
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, true, err
		}
		ctx, cancel := context.WithTimeout(ctx, time.Duration(r.TimeoutMs)*time.Millisecond)
		defer cancel()
		page, err := s.directRange(ctx, "rangeForPeer", decodeRange(&r))
		return encodeResponse(page, err), true, nil
	case messenger.MethodStoreFeed:
		var f encoder.StoreFeed
		if err := json.Unmarshal(params, &f); err != nil {
			return nil, true, err
		}
		wait := time.Duration(f.WaitMs) * time.Millisecond
		page, err := s.directFeed(ctx, "feedForPeer", f.Table, int64(f.After), wait)
		return encodeResponse(page, err), true, nil
	}
	return nil, false, nil
}
