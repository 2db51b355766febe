package relayer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Feed implements provider.RowStore. It sends a direct request and, while the direct path is down,
// one through a peer, and returns the first response. When a direct request is overdue, its
// connection may have fallen silent or its response may be late, so that another one is sent and
// the first one stays open; a response that is arriving is not overdue. Direct requests also tell
// the state when the direct path works again.
func (s *Store) Feed(ctx context.Context, table string, after int64, wait time.Duration) (provider.RowPage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := feedRace{store: s, table: table, after: after, results: make(chan feedResult), nextDirect: s.options.FeedOverdue}
	ctx = provider.WithProgress(ctx, func(int) { r.lastPart.Store(time.Now().UnixNano()) })
	directWait := wait
	if s.directDown() {
		directWait = min(wait, s.options.FeedProbeWait)
	}
	due := time.Now().Add(directWait)
	overdue := time.NewTimer(directWait + s.options.FeedOverdue)
	defer overdue.Stop()
	patience := time.NewTimer(directWait + s.options.FeedPatience)
	defer patience.Stop()
	r.startDirect(ctx, directWait)
	r.startRelayed(ctx, wait)
	for {
		select {
		case result := <-r.results:
			r.open--
			if storeResponded(result.err) {
				return result.page, result.err
			}
			if result.relayed {
				r.relaying = false
			} else {
				r.startRelayed(ctx, wait)
			}
			if r.open == 0 {
				return result.page, result.err
			}
		case <-overdue.C:
			if arriving := s.options.FeedOverdue - r.sinceLastPart(); arriving > 0 {
				overdue.Reset(arriving)
				continue
			}
			s.update(DirectFailed{Due: due})
			if time.Since(r.lastDirect) >= r.nextDirect {
				s.log.Info("response of the store is overdue; asking again", zap.String("table", table), zap.Int("open", r.open))
				r.nextDirect *= 2
				r.startDirect(ctx, min(wait, s.options.FeedProbeWait))
			}
			r.startRelayed(ctx, wait)
			overdue.Reset(s.options.QueryInterval)
		case <-patience.C:
			if arriving := s.options.FeedPatience - r.sinceLastPart(); arriving > 0 {
				patience.Reset(arriving)
				continue
			}
			return provider.RowPage{}, provider.NewError("store.feed", provider.KindUnknown, errors.New("no response"))
		case <-ctx.Done():
			return provider.RowPage{}, provider.NewError("store.feed", provider.KindUnknown, ctx.Err())
		}
	}
}

// feedResult is the result of one request of a feedRace.
type feedResult struct {
	page    provider.RowPage
	err     error
	relayed bool
}

// feedRace holds the requests for the same changes of a table.
type feedRace struct {
	store   *Store
	table   string
	after   int64
	results chan feedResult
	// open is the number of requests without a result.
	open int
	// relaying is set while a request through a peer is open.
	relaying   bool
	lastDirect time.Time
	// nextDirect is the time after lastDirect from which another direct request may be sent. It
	// doubles with each one, since all of them share a link that may be full.
	nextDirect time.Duration
	// lastPart is when the last part of a response arrived, in Unix nanoseconds.
	lastPart atomic.Int64
}

func (r *feedRace) sinceLastPart() time.Duration { return time.Since(time.Unix(0, r.lastPart.Load())) }

// start sends a request. Its result is dropped if the context ends first.
func (r *feedRace) start(ctx context.Context, request func() feedResult) {
	r.open++
	go func() {
		result := request()
		select {
		case r.results <- result:
		case <-ctx.Done():
		}
	}()
}

func (r *feedRace) startDirect(ctx context.Context, wait time.Duration) {
	r.lastDirect = time.Now()
	r.start(ctx, func() feedResult {
		page, err := r.store.directFeed(ctx, "feed", r.table, r.after, wait)
		return feedResult{page: page, err: err}
	})
}

// startRelayed sends a request through a peer if the access mode is Relayed and none is open.
func (r *feedRace) startRelayed(ctx context.Context, wait time.Duration) {
	mode, host := r.store.mode()
	if mode != Relayed || r.relaying {
		return
	}
	r.relaying = true
	r.start(ctx, func() feedResult {
		page, err := r.store.relayFeed(ctx, host, r.table, r.after, min(wait, r.store.options.RelayedFeedWait))
		return feedResult{page: page, err: err, relayed: true}
	})
}

// directFeed sends one request, whose response is due at the end of its wait.
func (s *Store) directFeed(
	ctx context.Context, operation, table string, after int64, wait time.Duration,
) (provider.RowPage, error) {
	ctx, call := s.beginDirect(ctx, operation)
	page, err := s.direct.Feed(ctx, table, after, wait)
	call.end(ctx, call.began.Add(wait), err)
	return page, err
}

// relayFeed waits for changes of a table through the peer on the host.
func (s *Store) relayFeed(
	ctx context.Context, host, table string, after int64, wait time.Duration,
) (provider.RowPage, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.options.QueryTimeout)
	defer cancel()
	params := encoder.StoreFeed{Table: table, After: int(after), WaitMs: int(wait.Milliseconds())}
	response, err := s.relay(ctx, host, messenger.MethodStoreFeed, params)
	if err != nil {
		return provider.RowPage{}, err
	}
	return decodePage("store.feed", &response)
}
