package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Peers returns the peers, nearest first.
type Peers func() []messenger.Peer

// Observer is called after each call to the store with its operation, the access mode that
// it used, the kind of its error and its duration.
type Observer func(operation string, mode AccessMode, kind provider.Kind, took time.Duration)

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

// recordResult reports the result of a direct call to the observer and updates the state. A call
// that its caller has given up says nothing about the store.
func (s *Store) recordResult(ctx context.Context, operation string, began time.Time, err error) {
	s.recordResultDue(ctx, operation, began, time.Now(), err)
}

// recordResultDue does the same for a call whose response was due at the given time.
func (s *Store) recordResultDue(ctx context.Context, operation string, began, due time.Time, err error) {
	s.observe(operation, Direct, provider.KindOf(err), time.Since(began))
	switch {
	case storeResponded(err):
		s.update(DirectResponded{})
	case !errors.Is(ctx.Err(), context.Canceled):
		s.update(DirectFailed{Due: due})
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
	began := time.Now()
	version, err := s.direct.Apply(ctx, t)
	s.recordResult(ctx, "apply", began, err)
	return version, err
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
	began := time.Now()
	page, err := s.direct.Range(ctx, r)
	s.recordResult(ctx, "range", began, err)
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
	s.observe(method, Relayed, provider.ParseKind(response.Kind), time.Since(began))
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
	began := time.Now()
	_, err := s.direct.Range(ctx, provider.RowRange{Table: "daemons", Partition: "probe", Limit: 1})
	s.recordResult(ctx, "probe", began, err)
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
		began := time.Now()
		version, err := s.direct.Apply(ctx, decodeChange(&change))
		s.recordResult(ctx, "applyForPeer", began, err)
		return encodeResponse(provider.RowPage{Version: version}, err), true, nil
	case messenger.MethodStoreRange:
		var r encoder.StoreRange
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, true, err
		}
		ctx, cancel := context.WithTimeout(ctx, time.Duration(r.TimeoutMs)*time.Millisecond)
		defer cancel()
		began := time.Now()
		page, err := s.direct.Range(ctx, decodeRange(&r))
		s.recordResult(ctx, "rangeForPeer", began, err)
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
