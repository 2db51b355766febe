package borrower

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/messenger"
)

// Options configure a Borrower.
type Options struct {
	// ReplyTimeout bounds the time for which answers are waited for, CallTimeout that of a call.
	ReplyTimeout time.Duration
	CallTimeout  time.Duration
	// MaxPeers bounds the daemons that are asked, the nearest first.
	MaxPeers int
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options {
	return Options{ReplyTimeout: 50 * time.Millisecond, CallTimeout: 400 * time.Millisecond, MaxPeers: 12}
}

// Lender is what a daemon can pass on.
type Lender interface {
	Turn(id string) *historian.Turn
	LendTokens(ctx context.Context, program string, tokens int) int
}

// Borrower asks other daemons. It is safe for concurrent use.
type Borrower struct {
	links   *messenger.Messenger
	list    PeerList
	options Options
	log     *zap.Logger
}

// PeerList lists the other daemons.
type PeerList interface {
	// Peers returns all, RegionPeers those of the own region, nearest first.
	Peers() []messenger.Peer
	RegionPeers() []messenger.Peer
	// Refresh makes sure that the list is current.
	Refresh(ctx context.Context) error
}

// New returns a borrower that asks the given daemons.
func New(links *messenger.Messenger, list PeerList, options Options, log *zap.Logger) *Borrower {
	return &Borrower{links: links, list: list, options: options, log: log}
}

// ask puts a question to daemons at once and passes their answers to use, until it returns
// true or the time is over. It reports whether all have answered by then. A call goes on
// after that, since a new connection takes longer; late gets its answer.
func ask[Answer any](
	ctx context.Context, b *Borrower, peers []messenger.Peer, method string, question any,
	use func(*Answer) bool, late func(*Answer),
) (complete bool) {
	answers := make(chan *Answer)
	over := make(chan struct{})
	defer close(over)
	calls := context.WithoutCancel(ctx)
	for _, peer := range peers {
		go func() {
			call, cancel := context.WithTimeout(calls, b.options.CallTimeout)
			defer cancel()
			answer, err := messenger.Call[Answer](call, b.links, peer, method, question)
			result := &answer
			if err != nil {
				b.log.Debug("daemon does not answer", zap.String("peer", peer.Host), zap.String("method", method), zap.Error(err))
				result = nil
			}
			select {
			case answers <- result:
			case <-over:
				if result != nil {
					late(result)
				}
			}
		}()
	}
	timeout := time.After(b.options.ReplyTimeout)
	complete = true
	for range peers {
		select {
		case answer := <-answers:
			if answer == nil {
				complete = false
			} else if use(answer) {
				return complete
			}
		case <-timeout:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return complete
}

// Turn returns a turn that another daemon has in memory, or nil.
func (b *Borrower) Turn(ctx context.Context, id string) *historian.Turn {
	var turn *historian.Turn
	ask(ctx, b, b.near(), messenger.MethodReadTurn, encoder.TurnQuestion{Turn: id},
		func(a *encoder.TurnAnswer) bool {
			if a.Found {
				turn = &historian.Turn{
					ID: id, Partition: a.Part, Previous: a.Previous, Text: a.Text, Expires: time.Unix(int64(a.ExpiresAt), 0),
				}
			}
			return a.Found
		}, func(*encoder.TurnAnswer) {})
	return turn
}

// BorrowTokens returns tokens that other daemons have passed on, or 0, and whether all that were
// asked have answered. All are asked at once, since the caller waits; what more than one
// of them gives stays with this daemon, and what comes later is passed to late.
func (b *Borrower) BorrowTokens(
	ctx context.Context, program string, tokens int, hosts []string, late func(tokens int),
) (total int, complete bool) {
	peers, current := b.near(), true
	if len(hosts) > 0 {
		peers, current = b.named(ctx, hosts)
	}
	complete = ask(ctx, b, peers, messenger.MethodBorrowTokens, encoder.TokenQuestion{Program: program, Tokens: tokens},
		func(a *encoder.TokenAnswer) bool {
			total += a.Tokens
			return false
		}, func(a *encoder.TokenAnswer) { late(a.Tokens) })
	return total, complete && current
}

// named returns the daemons of the hosts. A daemon that a current list lacks has lost its
// tokens; current is false when there is no such list.
func (b *Borrower) named(ctx context.Context, hosts []string) (peers []messenger.Peer, current bool) {
	listed := func() []messenger.Peer {
		return slices.DeleteFunc(b.list.Peers(), func(p messenger.Peer) bool { return !slices.Contains(hosts, p.Host) })
	}
	if peers = listed(); len(peers) == len(hosts) {
		return peers, true
	}
	ctx, cancel := context.WithTimeout(ctx, b.options.ReplyTimeout)
	defer cancel()
	if err := b.list.Refresh(ctx); err != nil {
		b.log.Info("list of daemons not current", zap.Strings("wanted", hosts), zap.Int("listed", len(peers)), zap.Error(err))
		return peers, false
	}
	return listed(), true
}

// near returns the daemons that are asked when it is not known which one has something: a
// program's callers stay in their region.
func (b *Borrower) near() []messenger.Peer {
	peers := b.list.RegionPeers()
	return peers[:min(len(peers), b.options.MaxPeers)]
}

// Handle serves the questions of other daemons. It reports whether the method is one of
// them.
func Handle(ctx context.Context, source Lender, method string, params json.RawMessage) (any, bool, error) {
	switch method {
	case messenger.MethodReadTurn:
		var question encoder.TurnQuestion
		if err := json.Unmarshal(params, &question); err != nil {
			return nil, true, err
		}
		turn := source.Turn(question.Turn)
		if turn == nil {
			return encoder.TurnAnswer{}, true, nil
		}
		return encoder.TurnAnswer{
			Found: true, Part: turn.Partition, Previous: turn.Previous, Text: turn.Text, ExpiresAt: int(turn.Expires.Unix()),
		}, true, nil
	case messenger.MethodBorrowTokens:
		var question encoder.TokenQuestion
		if err := json.Unmarshal(params, &question); err != nil {
			return nil, true, err
		}
		return encoder.TokenAnswer{Tokens: source.LendTokens(ctx, question.Program, question.Tokens)}, true, nil
	}
	return nil, false, nil
}
