package borrower

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/messenger"
)

// Options configure a Borrower.
type Options struct {
	// ReplyTimeout bounds the wait for replies, CallTimeout a single call. A call goes on
	// after ReplyTimeout, because a new connection takes longer.
	ReplyTimeout time.Duration
	CallTimeout  time.Duration
	// MaxPeers bounds the number of peers that are asked, nearest first.
	MaxPeers int
	// HolderLifetime is how long a daemon counts as a holder of a program's tokens.
	HolderLifetime time.Duration
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options {
	return Options{ReplyTimeout: 50 * time.Millisecond, CallTimeout: 400 * time.Millisecond, MaxPeers: 12, HolderLifetime: time.Minute}
}

// Lender provides what a daemon can pass on to a peer: turns that it holds in memory, and
// unused tokens of its grants.
type Lender interface {
	Turn(id string) *historian.Turn
	LendTokens(ctx context.Context, program string, tokens int) accountant.Lend
}

// Borrower requests turns and tokens from peers. It is safe for concurrent use.
type Borrower struct {
	messenger *messenger.Messenger
	peers     PeerList
	options   Options
	log       *zap.Logger
	host      string
	holders   *holderIndex
}

// PeerList lists the peers of a daemon.
type PeerList interface {
	// Peers returns all peers, RegionPeers those in this daemon's region, nearest first.
	Peers() []messenger.Peer
	RegionPeers() []messenger.Peer
	// Refresh makes sure that the list is current.
	Refresh(ctx context.Context) error
}

// New returns a Borrower of the daemon on the given host. It asks the peers on the list.
func New(m *messenger.Messenger, list PeerList, host string, options Options, log *zap.Logger) *Borrower {
	return &Borrower{messenger: m, peers: list, host: host, options: options, log: log, holders: newHolderIndex(options.HolderLifetime)}
}

// queryPeers sends a request to all given peers at once and passes each reply to accept, with the
// peer's host. It returns when accept returns true, when all calls have ended, or after
// ReplyTimeout. The remaining calls go on, since a new connection takes longer; their replies are
// passed to onLate.
func queryPeers[Reply any](
	ctx context.Context, b *Borrower, peers []messenger.Peer, method string, request any,
	accept func(host string, reply *Reply) bool, onLate func(*Reply),
) {
	type peerReply struct {
		host  string
		reply *Reply
	}
	replies := make(chan peerReply)
	done := make(chan struct{})
	defer close(done)
	callsCtx := context.WithoutCancel(ctx)
	for _, peer := range peers {
		go func() {
			callCtx, cancel := context.WithTimeout(callsCtx, b.options.CallTimeout)
			defer cancel()
			reply, err := messenger.Call[Reply](callCtx, b.messenger, peer, method, request)
			result := &reply
			if err != nil {
				b.log.Debug("peer did not reply", zap.String("peer", peer.Host), zap.String("method", method), zap.Error(err))
				result = nil
			}
			select {
			case replies <- peerReply{peer.Host, result}:
			case <-done:
				if result != nil {
					onLate(result)
				}
			}
		}()
	}
	timeout := time.After(b.options.ReplyTimeout)
	for range peers {
		select {
		case r := <-replies:
			if r.reply != nil && accept(r.host, r.reply) {
				return
			}
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Turn returns a turn that a peer in the region has in memory, or nil.
func (b *Borrower) Turn(ctx context.Context, id string) *historian.Turn {
	var turn *historian.Turn
	queryPeers(ctx, b, b.nearestPeers(), messenger.MethodReadTurn, encoder.TurnQuestion{Turn: id},
		func(_ string, reply *encoder.TurnAnswer) bool {
			if reply.Found {
				turn = &historian.Turn{
					ID: id, Partition: reply.Part, Previous: reply.Previous, Workspace: reply.Workspace, Text: reply.Text, Expires: time.Unix(int64(reply.ExpiresAt), 0),
				}
			}
			return reply.Found
		}, func(*encoder.TurnAnswer) {})
	return turn
}

// BorrowTokens borrows unused tokens from peers. If the request names no hosts, it asks the daemons that
// are registered as holders of the program's tokens. If these lend none and the program has started, it
// asks the nearest peers. Tokens that arrive after the return are passed to onLate.
func (b *Borrower) BorrowTokens(ctx context.Context, request accountant.Borrow, onLate func(tokens int)) accountant.TokensReceived {
	if len(request.Hosts) > 0 {
		peers, current := b.listedPeers(ctx, request.Hosts)
		return b.borrowFrom(ctx, request, peers, current, onLate)
	}
	received := accountant.TokensReceived{Program: request.Program}
	if holders := b.findHolders(ctx, request.Program); len(holders) > 0 {
		received = b.borrowFrom(ctx, request, holders, true, onLate)
	}
	if received.Tokens == 0 && request.ProgramStarted {
		return b.borrowFrom(ctx, request, b.nearestPeers(), true, onLate)
	}
	return received
}

// borrowFrom borrows unused tokens from the given peers. All are asked at once, since the caller waits:
// if several lend tokens, this daemon keeps the sum. current is false if the list from which the peers
// come could not be refreshed.
func (b *Borrower) borrowFrom(
	ctx context.Context, request accountant.Borrow, peers []messenger.Peer, current bool, onLate func(tokens int),
) accountant.TokensReceived {
	hosts, received := request.Hosts, accountant.TokensReceived{Program: request.Program}
	replied := map[string]bool{}
	queryPeers(ctx, b, peers, messenger.MethodBorrowTokens, encoder.TokenQuestion{Program: request.Program, Tokens: request.Tokens},
		func(host string, reply *encoder.TokenAnswer) bool {
			replied[host] = true
			received.Tokens += reply.Tokens
			if reply.UnknownProgram {
				received.Ended = append(received.Ended, host)
			}
			return false
		}, func(reply *encoder.TokenAnswer) { onLate(reply.Tokens) })
	for _, host := range hosts {
		isListed := slices.ContainsFunc(peers, func(p messenger.Peer) bool { return p.Host == host })
		switch {
		case replied[host]:
		case !isListed && current:
			received.Ended = append(received.Ended, host)
		default:
			received.Silent = append(received.Silent, host)
		}
	}
	return received
}

// listedPeers returns the peers on the given hosts. The tokens of a daemon that is missing
// from a current list are lost; current is false if the list could not be refreshed.
func (b *Borrower) listedPeers(ctx context.Context, hosts []string) (peers []messenger.Peer, current bool) {
	onHosts := func() []messenger.Peer {
		return slices.DeleteFunc(b.peers.Peers(), func(p messenger.Peer) bool { return !slices.Contains(hosts, p.Host) })
	}
	if peers = onHosts(); len(peers) == len(hosts) {
		return peers, true
	}
	ctx, cancel := context.WithTimeout(ctx, b.options.ReplyTimeout)
	defer cancel()
	if err := b.peers.Refresh(ctx); err != nil {
		b.log.Info("refreshing the list of daemons failed; asking the listed peers only", zap.Strings("wanted", hosts), zap.Int("listed", len(peers)), zap.Error(err))
		return peers, false
	}
	return onHosts(), true
}

// nearestPeers returns the peers to ask when it is not known which of them has a turn or
// tokens. All are in this daemon's region, because the callers of a program stay in their region.
func (b *Borrower) nearestPeers() []messenger.Peer {
	peers := b.peers.RegionPeers()
	return peers[:min(len(peers), b.options.MaxPeers)]
}

// Handle serves the requests of peers for turns and tokens. It reports whether the method
// is one of them.
func (b *Borrower) Handle(ctx context.Context, lender Lender, method string, params json.RawMessage) (any, bool, error) {
	switch method {
	case messenger.MethodReadTurn:
		var request encoder.TurnQuestion
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, true, err
		}
		turn := lender.Turn(request.Turn)
		if turn == nil {
			return encoder.TurnAnswer{}, true, nil
		}
		return encoder.TurnAnswer{
			Found: true, Part: turn.Partition, Previous: turn.Previous, Workspace: turn.Workspace, Text: turn.Text,
			ExpiresAt: int(turn.Expires.Unix()),
		}, true, nil
	case messenger.MethodFindHolders:
		var request encoder.HolderQuestion
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, true, err
		}
		return encoder.HolderAnswer{Hosts: b.holders.register(request.Program, request.Host)}, true, nil
	case messenger.MethodBorrowTokens:
		var request encoder.TokenQuestion
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, true, err
		}
		lent := lender.LendTokens(ctx, request.Program, request.Tokens)
		return encoder.TokenAnswer{Tokens: lent.Tokens, UnknownProgram: lent.UnknownProgram}, true, nil
	}
	return nil, false, nil
}
