package borrower

import (
	"context"
	"encoding/json"
	"slices"
	"time"
	"unicode/utf8"

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
	// SettleInterval is the interval at which loans are confirmed, SettleDelay the time after which a borrower that has
	// not confirmed a loan is asked for it, SettleRetryDelay that after which either is tried again.
	SettleInterval   time.Duration
	SettleDelay      time.Duration
	SettleRetryDelay time.Duration
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options {
	return Options{
		ReplyTimeout: 50 * time.Millisecond, CallTimeout: 400 * time.Millisecond, MaxPeers: 12, HolderLifetime: time.Minute,
		SettleInterval: 50 * time.Millisecond, SettleDelay: 250 * time.Millisecond, SettleRetryDelay: time.Second,
	}
}

// Lender provides what a daemon can pass on to a peer: turns that it holds in memory, and
// unused tokens of its grants.
type Lender interface {
	// LendTurn returns a turn that is in memory, or nil. The caller calls done when it has sent the turn's
	// text. The text is missing if it takes more than maxBytes, or if there is no memory to send it.
	LendTurn(ctx context.Context, id string, maxBytes int) (turn *historian.Turn, hasText bool, done func())
	// LendTokens lends tokens. The Ticket of the request is set by the Lender, and that of the reply identifies the loan.
	LendTokens(ctx context.Context, request accountant.BorrowRequested) accountant.Lend
	// SettleLoan takes the tokens of a loan back if it was not received.
	SettleLoan(ctx context.Context, settled accountant.LoanSettled)
}

// Borrower requests turns and tokens from peers. It is safe for concurrent use.
type Borrower struct {
	messenger *messenger.Messenger
	peers     PeerList
	options   Options
	log       *zap.Logger
	host      string
	// incarnation names this run of the daemon.
	incarnation string
	holders     *holderIndex
	receipts    *receipts
	loans       *loans
	// unsettled has capacity 1 and holds a value after a loan was made or received.
	unsettled chan struct{}
}

// PeerList lists the peers of a daemon.
type PeerList interface {
	// Peers returns all peers, RegionPeers those in this daemon's region, nearest first.
	Peers() []messenger.Peer
	RegionPeers() []messenger.Peer
	// Refresh makes sure that the list is current.
	Refresh(ctx context.Context) error
}

// New returns a Borrower of the daemon on the given host, of which the incarnation names this run. It asks the peers on
// the list. RunSettlement must be running while tokens are borrowed or lent.
func New(m *messenger.Messenger, list PeerList, host, incarnation string, options Options, log *zap.Logger) *Borrower {
	return &Borrower{
		messenger: m, peers: list, host: host, incarnation: incarnation, options: options, log: log,
		holders: newHolderIndex(options.HolderLifetime), receipts: newReceipts(), loans: newLoans(), unsettled: make(chan struct{}, 1),
	}
}

// replyHandler has the functions that a query of peers calls.
type replyHandler[Reply any] struct {
	// accept is called for each reply, one at a time. It returns true if no other reply is needed.
	accept func(host string, reply *Reply) bool
	// late is called for replies after the end of the query, failed for peers that do not reply. Both may be called at
	// the same time for several peers, and may be nil.
	late   func(host string, reply *Reply)
	failed func(host string)
}

// queryPeers sends a request to all given peers at once. It returns when a reply is accepted as the last one, when all
// calls have ended, or after ReplyTimeout. The remaining calls go on, since a new connection takes longer.
func queryPeers[Reply any](
	ctx context.Context, b *Borrower, peers []messenger.Peer, method string, request any, handler replyHandler[Reply],
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
				if handler.failed != nil {
					handler.failed(peer.Host)
				}
			}
			select {
			case replies <- peerReply{peer.Host, result}:
			case <-done:
				if result != nil && handler.late != nil {
					handler.late(peer.Host, result)
				}
			}
		}()
	}
	timeout := time.After(b.options.ReplyTimeout)
	for range peers {
		select {
		case r := <-replies:
			if r.reply != nil && handler.accept(r.host, r.reply) {
				return
			}
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// FoundTurn is a turn that a peer has in memory. The zero value means that none has it.
type FoundTurn struct {
	Host string
	// Turn is nil if its text takes more memory than was requested.
	Turn *historian.Turn
	// Bytes is the memory of the turn, EarlierBytes that of the earlier turns of its chain.
	Bytes        int
	EarlierBytes int
}

// PeerCount returns the number of peers that FindTurn asks.
func (b *Borrower) PeerCount() int { return len(b.nearestPeers()) }

// FindTurn asks the peers in the region for a turn whose text takes up to maxBytes. It asks for none whose ID is not
// UTF-8, which messages between daemons cannot have.
func (b *Borrower) FindTurn(ctx context.Context, id string, maxBytes int) FoundTurn {
	var found FoundTurn
	if !utf8.ValidString(id) {
		return found
	}
	queryPeers(ctx, b, b.nearestPeers(), messenger.MethodReadTurn, encoder.TurnQuestion{Turn: id, MaxBytes: maxBytes},
		replyHandler[encoder.TurnAnswer]{accept: func(host string, reply *encoder.TurnAnswer) bool {
			found = decodeTurn(host, id, maxBytes, reply)
			return found.Host != ""
		}})
	return found
}

// ReadTurn asks one peer for a turn that FindTurn has found. It returns nil if the peer does not send it.
func (b *Borrower) ReadTurn(ctx context.Context, id string, found FoundTurn) *historian.Turn {
	peer, listed := peerOn(b.nearestPeers(), found.Host)
	if !listed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, b.options.CallTimeout)
	defer cancel()
	reply, err := messenger.Call[encoder.TurnAnswer](
		ctx, b.messenger, peer, messenger.MethodReadTurn, encoder.TurnQuestion{Turn: id, MaxBytes: found.Bytes})
	if err != nil {
		b.log.Debug("peer did not send a turn", zap.String("peer", found.Host), zap.String("turn", id), zap.Error(err))
		return nil
	}
	return decodeTurn(found.Host, id, found.Bytes, &reply).Turn
}

// decodeTurn returns the turn in a reply.
func decodeTurn(host, id string, maxBytes int, reply *encoder.TurnAnswer) FoundTurn {
	if !reply.Found || len(reply.Text) > maxBytes {
		return FoundTurn{}
	}
	found := FoundTurn{Host: host, Bytes: reply.Bytes, EarlierBytes: reply.EarlierBytes}
	if len(reply.Text) < reply.Bytes {
		return found
	}
	found.Turn = &historian.Turn{
		ID: id, Partition: reply.Part, Previous: reply.Previous, Workspace: reply.Workspace, Text: reply.Text,
		EarlierBytes: reply.EarlierBytes, Expires: time.Unix(int64(reply.ExpiresAt), 0),
	}
	if reply.UnpackedBytes > 0 {
		found.Turn.Text, found.Turn.Packed, found.Turn.UnpackedBytes = nil, reply.Text, reply.UnpackedBytes
	}
	return found
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
	unknownAt := map[string]string{}
	replied := map[string]bool{}
	number := b.receipts.ask(hostsOf(peers))
	query := encoder.TokenQuestion{Program: request.Program, Tokens: request.Tokens, Host: b.host, Incarnation: b.incarnation, Loan: number}
	queryPeers(ctx, b, peers, messenger.MethodBorrowTokens, query, replyHandler[encoder.TokenAnswer]{
		accept: func(host string, reply *encoder.TokenAnswer) bool {
			replied[host] = true
			received.Tokens += b.receive(host, number, reply)
			if reply.UnknownProgram {
				unknownAt[host] = reply.Incarnation
			}
			for _, l := range reply.Borrowers {
				received.Borrowers = append(received.Borrowers, accountant.Borrower(l))
			}
			if reply.Uncertain {
				received.Uncertain = append(received.Uncertain, host)
			}
			return false
		},
		late:   func(host string, reply *encoder.TokenAnswer) { onLate(b.receive(host, number, reply)) },
		failed: func(host string) { b.receipts.close(question{host, number}) },
	})
	if len(unknownAt) > 0 {
		received.UnknownAt = unknownAt
	}
	for _, host := range hosts {
		_, isListed := peerOn(peers, host)
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

// peerOn returns the peer on a host, and whether there is one.
func peerOn(peers []messenger.Peer, host string) (messenger.Peer, bool) {
	i := slices.IndexFunc(peers, func(p messenger.Peer) bool { return p.Host == host })
	if i < 0 {
		return messenger.Peer{}, false
	}
	return peers[i], true
}

func hostsOf(peers []messenger.Peer) []string {
	hosts := make([]string, len(peers))
	for i, p := range peers {
		hosts[i] = p.Host
	}
	return hosts
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
		return answer(params, func(request encoder.TurnQuestion) any { return lendTurn(ctx, lender, request) })
	case messenger.MethodFindHolders:
		return answer(params, func(request encoder.HolderQuestion) any {
			return encoder.HolderAnswer{Hosts: b.holders.register(request.Program, request.Host)}
		})
	case messenger.MethodBorrowTokens:
		return answer(params, func(request encoder.TokenQuestion) any { return b.lendTokens(ctx, lender, request) })
	case messenger.MethodLoanNotice:
		return answer(params, func(notice encoder.LoanNotice) any {
			b.settleReceived(ctx, lender, notice)
			return struct{}{}
		})
	case messenger.MethodLoanQuestion:
		return answer(params, func(request encoder.LoanQuestion) any { return b.answerLoans(request) })
	}
	return nil, false, nil
}

// answer decodes a request and returns the reply to it as Handle does.
func answer[Request any](params json.RawMessage, reply func(Request) any) (any, bool, error) {
	var request Request
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, true, err
	}
	return reply(request), true, nil
}

// lendTurn returns the reply to a request for a turn. Peers of earlier versions, which name no size, know no deflated
// texts.
func lendTurn(ctx context.Context, lender Lender, request encoder.TurnQuestion) any {
	maxBytes := request.MaxBytes
	if maxBytes == 0 {
		maxBytes = historian.PlainBytes
	}
	turn, hasText, done := lender.LendTurn(ctx, request.Turn, maxBytes)
	if turn == nil || !utf8.ValidString(turn.Previous) || request.MaxBytes == 0 && (!hasText || turn.UnpackedBytes > 0) {
		done()
		return encoder.TurnAnswer{}
	}
	answer := encoder.TurnAnswer{
		Found: true, Part: turn.Partition, Previous: turn.Previous, Workspace: turn.Workspace, Bytes: turn.MemoryBytes(),
		EarlierBytes: turn.EarlierBytes, UnpackedBytes: turn.UnpackedBytes, ExpiresAt: int(turn.Expires.Unix()),
	}
	if hasText {
		answer.Text = turn.Text
		if turn.UnpackedBytes > 0 {
			answer.Text = turn.Packed
		}
	}
	return messenger.Result{Value: answer, Done: done}
}
