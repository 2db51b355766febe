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

// Peers lists the other daemons, nearest first.
type Peers func() []messenger.Peer

// Observer is told of each call to the store: its operation, the way and how it ended.
type Observer func(operation string, way AccessMode, kind provider.Kind, took time.Duration)

// Store is the platform's store, reached directly or through another daemon. It is safe
// for concurrent use.
type Store struct {
	direct  provider.RowStore
	links   *messenger.Messenger
	peers   Peers
	options Options
	observe Observer
	log     *zap.Logger
	// proving is held during the read that proves the store to be up.
	proving sync.Mutex
	mutex   sync.Mutex
	state   *State
	last    AccessMode
}

// New returns a store that uses the direct path.
func New(
	direct provider.RowStore, links *messenger.Messenger, peers Peers, options Options, observe Observer, log *zap.Logger,
) *Store {
	return &Store{
		direct: direct, links: links, peers: peers, options: options, observe: observe, log: log, state: newState(options),
	}
}

// AccessMode returns how the store can be reached.
func (s *Store) AccessMode() AccessMode {
	reach, _ := s.route()
	return reach
}

func (s *Store) route() (AccessMode, string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.reach(time.Now())
}

// note records what became of a direct call.
func (s *Store) note(operation string, began time.Time, err error) {
	s.observe(operation, Direct, provider.KindOf(err), time.Since(began))
	if answered(err) {
		s.update(DirectResponded{})
		return
	}
	s.update(DirectFailed{})
}

// answered reports whether an error is an answer of a store that works.
func answered(err error) bool {
	switch provider.KindOf(err) {
	case provider.KindUnavailable, provider.KindUnknown:
		return false
	}
	return true
}

func (s *Store) update(m Message) {
	s.mutex.Lock()
	now := time.Now()
	ask := s.state.Update(now, m)
	reach, peer := s.state.reach(now)
	changed := reach != s.last
	s.last = reach
	s.mutex.Unlock()
	if changed {
		s.log.Info("way to the store", zap.Stringer("reach", reach), zap.String("peer", peer))
	}
	if ask {
		s.ask()
	}
}

// ask asks some of the other daemons whether they reach the store: the nearest, and
// others at random.
func (s *Store) ask() {
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
			said, err := messenger.Call[encoder.StoreState](ctx, s.links, peer, messenger.MethodStoreState, encoder.StoreState{})
			s.update(PeerReported{Host: peer.Host, Up: err == nil && said.Up, Replied: err == nil})
		}()
	}
}

func (s *Store) find(host string) (messenger.Peer, bool) {
	for _, p := range s.peers() {
		if p.Host == host {
			return p, true
		}
	}
	return messenger.Peer{}, false
}

// Apply implements provider.RowStore.
func (s *Store) Apply(ctx context.Context, t provider.RowTransaction) (int64, error) {
	if reach, host := s.route(); reach == Relayed {
		answer, err := s.relay(ctx, host, messenger.MethodStoreApply, encodeChange(ctx, &t))
		if err != nil {
			return 0, err
		}
		return int64(answer.Version), decodeError("store.apply", &answer)
	}
	began := time.Now()
	version, err := s.direct.Apply(ctx, t)
	s.note("apply", began, err)
	return version, err
}

// Range implements provider.RowStore.
func (s *Store) Range(ctx context.Context, r provider.RowRange) (provider.RowPage, error) {
	if reach, host := s.route(); reach == Relayed {
		answer, err := s.relay(ctx, host, messenger.MethodStoreRange, encodeRange(ctx, &r))
		if err == nil {
			err = decodeError("store.range", &answer)
		}
		if err != nil {
			return provider.RowPage{}, err
		}
		return provider.RowPage{Rows: decodeRows(answer.Rows), More: answer.More, Version: int64(answer.Version)}, nil
	}
	began := time.Now()
	page, err := s.direct.Range(ctx, r)
	s.note("range", began, err)
	return page, err
}

// Feed implements provider.RowStore. It always takes the direct way, and so finds out
// when that is open again.
func (s *Store) Feed(ctx context.Context, table string, after int64, wait time.Duration) (provider.RowPage, error) {
	began := time.Now()
	page, err := s.direct.Feed(ctx, table, after, wait)
	s.note("feed", began, err)
	return page, err
}

// relay sends a call of the store to another daemon.
func (s *Store) relay(ctx context.Context, host, method string, params any) (encoder.StoreAnswer, error) {
	peer, ok := s.find(host)
	if !ok {
		s.update(PeerReported{Host: host})
		return encoder.StoreAnswer{}, provider.NewError("store.relay", provider.KindUnavailable, errors.New("the relaying daemon has gone"))
	}
	began := time.Now()
	answer, err := messenger.Call[encoder.StoreAnswer](ctx, s.links, peer, method, params)
	s.observe(method, Relayed, provider.ParseKind(answer.Kind), time.Since(began))
	if err != nil {
		s.update(PeerReported{Host: host})
		kind := provider.KindUnknown
		if messenger.KindOf(err).NotSent() {
			kind = provider.KindUnavailable
		}
		return answer, provider.NewError("store.relay", kind, err)
	}
	return answer, nil
}

// prove reports whether the store answers this daemon, by a read if the last answer is not
// recent. Several questions at once cost one read.
func (s *Store) prove(ctx context.Context) bool {
	s.proving.Lock()
	defer s.proving.Unlock()
	s.mutex.Lock()
	proven, failing := s.state.proven(time.Now()), s.state.lost(time.Now())
	s.mutex.Unlock()
	if proven || failing {
		return proven
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.ProbeTimeout)
	defer cancel()
	began := time.Now()
	_, err := s.direct.Range(ctx, provider.RowRange{Table: "daemons", Partition: "probe", Limit: 1})
	s.note("probe", began, err)
	return answered(err)
}

// Handle serves the questions and calls of other daemons. It reports whether the method
// is one of them.
func (s *Store) Handle(ctx context.Context, method string, params json.RawMessage) (any, bool, error) {
	switch method {
	case messenger.MethodStoreState:
		return encoder.StoreState{Up: s.prove(ctx)}, true, nil
	case messenger.MethodStoreApply:
		var change encoder.StoreChange
		if err := json.Unmarshal(params, &change); err != nil {
			return nil, true, err
		}
		ctx, cancel := context.WithTimeout(ctx, time.Duration(change.TimeoutMs)*time.Millisecond)
		defer cancel()
		began := time.Now()
		version, err := s.direct.Apply(ctx, decodeChange(&change))
		s.note("applyForPeer", began, err)
		return encodeAnswer(provider.RowPage{Version: version}, err), true, nil
	case messenger.MethodStoreRange:
		var r encoder.StoreRange
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, true, err
		}
		ctx, cancel := context.WithTimeout(ctx, time.Duration(r.TimeoutMs)*time.Millisecond)
		defer cancel()
		began := time.Now()
		page, err := s.direct.Range(ctx, decodeRange(&r))
		s.note("rangeForPeer", began, err)
		return encodeAnswer(page, err), true, nil
	}
	return nil, false, nil
}
