package accountant

import (
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// Options configure a State.
type Options struct {
	// MaxExtraTurns is the largest number of further turns that one grant covers while much
	// of the budget remains.
	MaxExtraTurns int
	// A grant for further turns must leave MinRemainingShare of the tokens not granted yet,
	// and enough of them for MinRemainingTurns turns, to the peers.
	MinRemainingShare float64
	MinRemainingTurns int
	// MaxStaleness is the largest age of the row and of peers' replies on which a rejection
	// may be based.
	MaxStaleness time.Duration
	// IdleTimeout is the time after the last turn at which a program is removed from memory.
	IdleTimeout time.Duration
	// ReturnRetryDelay is the time after which a failed return of tokens is tried again, StopRetryDelay the same
	// while the daemon stops.
	ReturnRetryDelay time.Duration
	StopRetryDelay   time.Duration
	// MaxBytes bounds the memory of programs, 0 for no bound. Near it, programs without running turns are removed
	// earlier; at it, further programs are refused as Unavailable.
	MaxBytes int
	// Retention is the time after the last write at which a row expires.
	Retention time.Duration
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options {
	return Options{
		MaxExtraTurns: 24, MinRemainingShare: 0.5, MinRemainingTurns: 2, MaxStaleness: 200 * time.Millisecond,
		IdleTimeout: time.Minute, ReturnRetryDelay: 2 * time.Second, StopRetryDelay: 50 * time.Millisecond,
		Retention: 10 * time.Minute,
	}
}

// waiter is a request for tokens that is not decided yet.
type waiter struct {
	ticket Ticket
	tokens int
}

// program is this daemon's view of a program's budget.
type program struct {
	budget int
	// granted and version are those of the row as last read or written. unused is the part
	// of this daemon's grant that no turn has reserved. rowKnown is unset before the first
	// read or write and after a failed read.
	granted  int
	version  int64
	unused   int
	rowKnown bool
	// overdraft is the number of tokens that may be granted beyond the budget in place of lost ones.
	overdraft int
	// spare maps each host to the tokens that were unused or reserved there when its daemon
	// last wrote the row. lost is the sum of those of daemons that have ended since.
	spare map[string]int
	lost  int
	// writers are the last writes of the row by host.
	writers map[string]encoder.BudgetWrite
	// largestRequest is the largest number of tokens requested for one turn.
	largestRequest int
	// programStarted and findHolders are those of the last request.
	programStarted bool
	findHolders    bool
	// hadTokens is set once any daemon was granted tokens of the program.
	hadTokens bool
	// rowReadAt is when the row was last read or written.
	rowReadAt time.Time
	// regionAskedAt is when the region peers were last asked for tokens. holdersAskedAt is
	// when the peers that the row listed with spare tokens were last asked; holdersAsked
	// are these peers, holdersSilent those of them that did not reply, and holdersUncertain is set if
	// one of them may have more tokens soon.
	regionAskedAt    time.Time
	holdersAskedAt   time.Time
	holdersAsked     []string
	holdersSilent    []string
	holdersUncertain bool
	// hasGrant is set once this daemon has written the row, so that the row lists its tokens.
	hasGrant bool
	// pending is the write that is not settled, nil if there is none.
	pending   *pendingWrite
	reading   bool
	borrowing bool
	// borrowHosts are the peers being asked for tokens, nil if they are the region peers, and borrowTokens is what
	// they are asked for.
	borrowHosts  []string
	borrowTokens int
	waiters      []waiter
	// loans are those of which it is not known whether the borrower has received them. lent maps each host to what its
	// daemon has received and the row does not list.
	loans map[Ticket]Borrower
	lent  map[string]Borrower
	// reported maps each host to what peers have reported that they lent to its daemon, which the row may not list.
	reported map[string]Borrower
	// reserved is the number of tokens of the running turns.
	reserved   int
	lastUsedAt time.Time
	// renewAt is when the row is written anew, so that it does not expire while this daemon has tokens.
	renewAt time.Time
	// nextReturnAt is when unused tokens may be returned, after a return that failed.
	nextReturnAt time.Time
}

// needed is the number of tokens that waiters lack.
func (p *program) needed() int {
	need := -max(0, p.unused)
	for _, w := range p.waiters {
		need += w.tokens
	}
	return max(0, need)
}

// busy reports whether the program waits for the store or for peers.
func (p *program) busy() bool {
	return p.pending != nil && p.pending.inProgress || p.reading || p.borrowing
}

// State holds the budgets of the programs that this daemon serves. It is not safe for
// concurrent use.
type State struct {
	options     Options
	host        string
	incarnation string
	programs    map[string]*program
	bytes       int
	// sequence counts the writes of all programs, so that the daemon recognises a row that it wrote.
	// Numbers of a program would begin again after it was removed from memory.
	sequence int
	// stopping is set once the daemon stops.
	stopping bool
	commands []Command
	now      time.Time
}

// New returns an empty state. The host names the daemon, the incarnation this run of it.
func New(options Options, host, incarnation string) *State {
	return &State{options: options, host: host, incarnation: incarnation, programs: map[string]*program{}}
}

// ProgramCount returns the number of programs in memory.
func (s *State) ProgramCount() int { return len(s.programs) }

// Update applies a message and returns the commands that follow from it.
func (s *State) Update(now time.Time, message Message) []Command {
	s.commands, s.now = nil, now
	switch m := message.(type) {
	case ReservationRequested:
		s.addWaiter(m)
	case ReservationCancelled:
		s.removeWaiter(m)
	case TurnFinished:
		s.turnFinished(m)
	case WriteCompleted:
		s.writeCompleted(m)
	case ReadCompleted:
		s.readCompleted(m)
	case TokensReceived:
		s.tokensReceived(m)
	case BorrowRequested:
		s.lend(m)
	case LoanSettled:
		s.settleLoan(m)
	case Stopping:
		s.stopping = true
		for name, p := range s.programs {
			s.returnUnused(name, p)
		}
	case Tick:
		s.tick()
	}
	return s.commands
}

func (s *State) tokensReceived(m TokensReceived) {
	p := s.programs[m.Program]
	if p == nil {
		if m.Tokens <= 0 {
			return
		}
		// The program was removed before the tokens arrived. They are returned.
		p = s.insert(m.Program)
	}
	p.unused += m.Tokens
	p.hadTokens = p.hadTokens || m.Tokens > 0
	for _, b := range m.Borrowers {
		s.noteBorrower(p, b)
	}
	if !p.borrowing {
		return
	}
	if m.Late {
		// The peers that are being asked have not replied by this.
		s.admitWaiters(p)
		return
	}
	p.borrowing = false
	if p.borrowHosts != nil {
		p.holdersAskedAt, p.holdersAsked = s.now, p.borrowHosts
		if m.Tokens >= p.borrowTokens {
			// They may have more tokens.
			p.holdersAskedAt = time.Time{}
		}
		p.holdersSilent, p.holdersUncertain = m.Silent, len(m.Uncertain) > 0
		for _, host := range m.Ended {
			p.loseSpare(host)
		}
		for host, incarnation := range m.UnknownAt {
			p.clearSpare(host, incarnation)
		}
	} else {
		p.regionAskedAt = s.now
	}
	s.serveWaiters(m.Program, p)
}

func (s *State) emit(c Command) { s.commands = append(s.commands, c) }

func (s *State) addWaiter(m ReservationRequested) {
	p := s.programs[m.Program]
	if p == nil {
		if p = s.add(m.Program); p == nil {
			s.emit(Decision{Ticket: m.Ticket, Verdict: Unavailable})
			return
		}
	}
	p.budget, p.lastUsedAt, p.programStarted = m.Budget, s.now, m.ProgramStarted
	p.findHolders = m.FindHolders
	p.overdraft = max(p.overdraft, m.Overdraft)
	p.largestRequest = max(p.largestRequest, m.Tokens)
	p.waiters = append(p.waiters, waiter{ticket: m.Ticket, tokens: m.Tokens})
	s.serveWaiters(m.Program, p)
}

func (s *State) removeWaiter(m ReservationCancelled) {
	p := s.programs[m.Program]
	if p == nil {
		return
	}
	for i, w := range p.waiters {
		if w.ticket == m.Ticket {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
}

func (s *State) turnFinished(m TurnFinished) {
	p := s.programs[m.Program]
	if p == nil {
		return
	}
	p.unused += m.Reserved - m.Used
	// A turn may have begun before the state was built anew.
	p.reserved = max(0, p.reserved-m.Reserved)
	p.lastUsedAt = s.now
	s.serveWaiters(m.Program, p)
}

// serveWaiters admits waiters from the grant and borrows or requests a grant for the tokens
// that are missing.
func (s *State) serveWaiters(name string, p *program) {
	s.admitWaiters(p)
	if len(p.waiters) == 0 || p.busy() {
		return
	}
	if p.pending != nil {
		s.readRow(name, p)
		return
	}
	if !p.rowKnown && (p.programStarted || p.findHolders) && !s.isFresh(p.regionAskedAt) {
		s.borrow(name, p, nil)
		return
	}
	need := p.needed()
	if p.granted+need > p.budget+p.overdraft {
		if !s.confirmExhausted(name, p) {
			return
		}
		need = s.rejectOverBudget(p)
		if len(p.waiters) == 0 {
			return
		}
	}
	s.writeGrant(name, p, need+s.extraTokens(p, need))
}

// admitWaiters admits waiters in their order while the unused tokens suffice.
func (s *State) admitWaiters(p *program) {
	for len(p.waiters) > 0 && p.waiters[0].tokens <= p.unused {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		p.unused -= w.tokens
		p.reserved += w.tokens
		s.decide(p, w, Admitted)
		p.hadTokens = true
	}
}

func (s *State) decide(p *program, w waiter, v Verdict) {
	s.emit(Decision{
		Ticket: w.ticket, Verdict: v, Granted: p.granted, Version: p.version, HadTokens: p.hadTokens, Available: p.budget - p.granted + max(0, p.unused),
		Lost: p.lost + p.silentSpare(),
	})
}

func (s *State) isFresh(at time.Time) bool {
	return !at.IsZero() && s.now.Sub(at) < s.options.MaxStaleness
}

// confirmExhausted reports whether it is certain that the budget does not suffice for all
// waiters: the row is current and all peers that may have unused tokens were asked. If not,
// it starts the read or the borrowing that is missing.
func (s *State) confirmExhausted(name string, p *program) bool {
	if !s.isFresh(p.rowReadAt) {
		s.readRow(name, p)
		return false
	}
	hosts := s.hostsWithSpare(p)
	if len(hosts) == 0 {
		p.holdersUncertain = false
	}
	for _, host := range hosts {
		if !s.isFresh(p.holdersAskedAt) || !slices.Contains(p.holdersAsked, host) {
			s.borrow(name, p, hosts)
			return false
		}
	}
	if p.lost > 0 && !s.isFresh(p.regionAskedAt) {
		// Only a daemon that has ended may have known to whom it lent tokens.
		s.borrow(name, p, nil)
		return false
	}
	return true
}

func (s *State) borrow(name string, p *program, hosts []string) {
	p.borrowing, p.borrowHosts, p.borrowTokens = true, hosts, p.needed()
	s.emit(Borrow{Program: name, Tokens: p.borrowTokens, Hosts: hosts, ProgramStarted: p.programStarted})
}

// rejectOverBudget rejects the waiters for which the budget does not suffice and returns the
// tokens that the others lack.
func (s *State) rejectOverBudget(p *program) int {
	need, available := 0, p.budget+p.overdraft-p.granted+max(0, p.unused)
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if need+w.tokens <= available {
			need += w.tokens
			kept = append(kept, w)
			continue
		}
		verdict := Spent
		if p.silentSpare() > 0 || p.holdersUncertain || len(p.loans) > 0 {
			verdict = Contended
		}
		s.decide(p, w, verdict)
	}
	p.waiters = kept
	return need - max(0, p.unused)
}

// leavesEnough reports whether a grant leaves enough of the budget to the peers.
func (s *State) leavesEnough(p *program, grant int) bool {
	ungranted := p.budget - p.granted
	remaining := ungranted - grant
	return float64(remaining) >= s.options.MinRemainingShare*float64(ungranted) && remaining >= s.options.MinRemainingTurns*p.largestRequest
}

// extraTokens returns the tokens to be granted for further turns beyond the need.
func (s *State) extraTokens(p *program, need int) int {
	for turns := s.options.MaxExtraTurns; turns > 0; turns-- {
		if extra := turns * p.largestRequest; s.leavesEnough(p, need+extra) {
			return extra
		}
	}
	return 0
}

// rejectWaiters admits what the grant allows and rejects all other waiters as Unavailable.
func (s *State) rejectWaiters(p *program) {
	s.admitWaiters(p)
	for _, w := range p.waiters {
		s.decide(p, w, Unavailable)
	}
	p.waiters = nil
}
