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
	// Timeout bounds one question to all daemons.
	Timeout time.Duration
	// MaxAsked bounds the daemons that are asked, the nearest first: a program's callers
	// reach daemons of their own failure domain and region.
	MaxAsked int
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options { return Options{Timeout: 50 * time.Millisecond, MaxAsked: 12} }

// Source is what a daemon can pass on.
type Source interface {
	Turn(id string) *historian.Turn
	Give(ctx context.Context, program string, tokens int) int
}

// Borrower asks other daemons. It is safe for concurrent use.
type Borrower struct {
	links   *messenger.Messenger
	peers   func() []messenger.Peer
	options Options
	log     *zap.Logger
}

// New returns a borrower that asks the given daemons.
func New(links *messenger.Messenger, peers func() []messenger.Peer, options Options, log *zap.Logger) *Borrower {
	return &Borrower{links: links, peers: peers, options: options, log: log}
}

// ask puts a question to daemons at once and returns the first answer that is good.
func ask[Answer any](
	ctx context.Context, b *Borrower, peers []messenger.Peer, method string, question any, good func(*Answer) bool,
) (Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, b.options.Timeout)
	defer cancel()
	answers := make(chan *Answer, len(peers))
	for _, peer := range peers {
		go func() {
			answer, err := messenger.Call[Answer](ctx, b.links, peer, method, question)
			if err != nil {
				b.log.Debug("daemon does not answer", zap.String("peer", peer.Host), zap.String("method", method), zap.Error(err))
				answers <- nil
				return
			}
			answers <- &answer
		}()
	}
	for range peers {
		if answer := <-answers; answer != nil && good(answer) {
			return *answer, true
		}
	}
	var none Answer
	return none, false
}

// Turn returns a turn that another daemon has in memory, or nil.
func (b *Borrower) Turn(ctx context.Context, id string) *historian.Turn {
	answer, ok := ask(ctx, b, b.near(), messenger.MethodTurn, encoder.TurnQuestion{Turn: id},
		func(a *encoder.TurnAnswer) bool { return a.Found })
	if !ok {
		return nil
	}
	return &historian.Turn{
		ID: id, Previous: answer.Previous, Text: answer.Text, Expires: time.Unix(int64(answer.ExpiresAt), 0),
	}
}

// Tokens returns tokens that other daemons have passed on, or 0, and whether all that were
// asked have answered. All are asked at once, since the caller waits; what more than one
// of them gives stays with this daemon.
func (b *Borrower) Tokens(ctx context.Context, program string, tokens int, hosts []string) (total int, complete bool) {
	peers := b.near()
	if len(hosts) > 0 {
		// A daemon that is not listed any more has lost its tokens.
		peers = slices.DeleteFunc(slices.Clone(b.peers()), func(p messenger.Peer) bool {
			return !slices.Contains(hosts, p.Host)
		})
	}
	answered := 0
	ask(ctx, b, peers, messenger.MethodTokens, encoder.TokenQuestion{Program: program, Tokens: tokens},
		func(a *encoder.TokenAnswer) bool {
			answered++
			total += a.Tokens
			return false
		})
	return total, answered == len(peers)
}

// near returns the daemons that are asked when it is not known which one has something.
func (b *Borrower) near() []messenger.Peer {
	peers := b.peers()
	return peers[:min(len(peers), b.options.MaxAsked)]
}

// Handle serves the questions of other daemons. It reports whether the method is one of
// them.
func Handle(ctx context.Context, source Source, method string, params json.RawMessage) (any, bool, error) {
	switch method {
	case messenger.MethodTurn:
		var question encoder.TurnQuestion
		if err := json.Unmarshal(params, &question); err != nil {
			return nil, true, err
		}
		turn := source.Turn(question.Turn)
		if turn == nil {
			return encoder.TurnAnswer{}, true, nil
		}
		return encoder.TurnAnswer{
			Found: true, Previous: turn.Previous, Text: turn.Text, ExpiresAt: int(turn.Expires.Unix()),
		}, true, nil
	case messenger.MethodTokens:
		var question encoder.TokenQuestion
		if err := json.Unmarshal(params, &question); err != nil {
			return nil, true, err
		}
		return encoder.TokenAnswer{Tokens: source.Give(ctx, question.Program, question.Tokens)}, true, nil
	}
	return nil, false, nil
}
