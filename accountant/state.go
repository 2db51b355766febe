package accountant

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Options configure a State.
type Options struct {
	// MaxExtraTurns is the largest number of turns beyond the present one that are granted
	// at once while the budget is ample.
	MaxExtraTurns int
	// MinRemainingShare is the share of the rest of a budget, and AmpleTurns the number of turns,
	// that must be left for other daemons after a grant ahead.
	MinRemainingShare float64
	MinRemainingTurns int
	// MaxStaleness is how long the row, and the answers of other daemons, are relied on to
	// refuse a turn.
	MaxStaleness time.Duration
	// IdleTimeout is the time after the last turn at which a program is forgotten.
	IdleTimeout time.Duration
	// Retention is the time after the last write at which a row may be removed.
	Retention time.Duration
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options {
	return Options{
		MaxExtraTurns: 24, MinRemainingShare: 0.5, MinRemainingTurns: 2, MaxStaleness: 200 * time.Millisecond,
		IdleTimeout: time.Minute, Retention: 10 * time.Minute,
	}
}

type waiter struct {
	ticket Ticket
	tokens int
}

// program is what this daemon knows of a program's budget.
type program struct {
	budget int
	// granted and version are the row as last seen, left is the unused part of this
	// daemon's grant.
	granted  int
	version  int64
	unused   int
	rowKnown bool
	// spare is what each daemon had left, or was using, when it last wrote.
	spare map[string]int
	// largestRequest is the most that one turn has asked for.
	largestRequest int
	// hasTurns means that a waiter's program has had a turn.
	hasTurns bool
	// hadTokens means that tokens of the program were handed out before, by any daemon.
	hadTokens bool
	// rowReadAt is when the row was last rowReadAt or written.
	rowReadAt time.Time
	// regionAskedAt is when neighbours were last asked for tokens, asked when the daemons were
	// that the row named then, answered. complete means that all of the latter answered.
	regionAskedAt  time.Time
	holdersAskedAt time.Time
	holdersAsked   []string
	holdersReplied bool
	// sequence counts this daemon's writes, so that it recognises its own row.
	sequence int64
	// pendingRow is the row that is being written, nil when nothing is under way.
	pendingRow *encoder.ProgramBudget
	reading    bool
	borrowing  bool
	// borrowHosts are the daemons being asked, if the row names them.
	borrowHosts []string
	waiters     []waiter
	// reserved is the number of tokens of the turns under way.
	reserved   int
	lastUsedAt time.Time
}

// needed is the number of tokens that waiters lack.
func (p *program) needed() int {
	need := -max(0, p.unused)
	for _, w := range p.waiters {
		need += w.tokens
	}
	return max(0, need)
}

func (p *program) busy() bool { return p.pendingRow != nil || p.reading || p.borrowing }

// State is the budgets of the programs that this daemon serves. It is not safe for
// concurrent use.
type State struct {
	options     Options
	host        string
	incarnation string
	programs    map[string]*program
	commands    []Command
	now         time.Time
}

// New returns an empty state. The host names the daemon, the holder this run of it.
func New(options Options, host, holder string) *State {
	return &State{options: options, host: host, incarnation: holder, programs: map[string]*program{}}
}

// ProgramCount returns the number of programs that are kept in memory.
func (s *State) ProgramCount() int { return len(s.programs) }

// Update applies a message.
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
		s.emit(Lend{Ticket: m.Ticket, Tokens: s.lend(m)})
	case Stopping:
		for name, p := range s.programs {
			s.returnUnused(name, p)
		}
	case Tick:
		s.tick()
	}
	return s.commands
}

// returnUnused returns the unused grant of a program that runs no turn here. The tokens are
// given up at once: should the answer be missing, they may have been returned.
func (s *State) returnUnused(name string, p *program) {
	if p.reserved > 0 || p.unused <= 0 || p.busy() || len(p.waiters) > 0 || !p.rowKnown {
		return
	}
	unused := p.unused
	p.unused = 0
	s.writeGrant(name, p, -unused)
}

func (s *State) tokensReceived(m TokensReceived) {
	p := s.programs[m.Program]
	if p == nil {
		return
	}
	p.unused += m.Tokens
	p.hadTokens = p.hadTokens || m.Tokens > 0
	if !p.borrowing {
		return
	}
	p.borrowing = false
	if p.borrowHosts != nil {
		p.holdersAskedAt, p.holdersAsked, p.holdersReplied = s.now, p.borrowHosts, m.Complete
	} else {
		p.regionAskedAt = s.now
	}
	s.serveWaiters(m.Program, p)
}

// lend takes tokens off this daemon's grant: what is wanted, and up to half of what is
// left, so that the other daemon need not ask for each turn.
func (s *State) lend(m BorrowRequested) int {
	p := s.programs[m.Program]
	if p == nil || m.Tokens <= 0 || p.unused <= 0 || len(p.waiters) > 0 {
		return 0
	}
	tokens := min(p.unused, max(m.Tokens, p.unused/2))
	p.unused -= tokens
	return tokens
}

func (s *State) emit(c Command) { s.commands = append(s.commands, c) }

func (s *State) addWaiter(m ReservationRequested) {
	p := s.programs[m.Program]
	if p == nil {
		p = &program{}
		s.programs[m.Program] = p
	}
	p.budget, p.lastUsedAt, p.hasTurns = m.Budget, s.now, m.HasTurns
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
	p.reserved -= m.Reserved
	p.lastUsedAt = s.now
	s.serveWaiters(m.Program, p)
}

// serveWaiters admits waiters from the grant and asks the store for what is missing.
func (s *State) serveWaiters(name string, p *program) {
	s.admitWaiters(p)
	if len(p.waiters) == 0 || p.busy() {
		return
	}
	if !p.rowKnown && p.hasTurns && !s.isFresh(p.regionAskedAt) {
		s.borrow(name, p, nil)
		return
	}
	need := p.needed()
	if p.granted+need > p.budget {
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

// admitWaiters starts the waiters that the grant holds, in their order.
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
	})
}

func (s *State) isFresh(at time.Time) bool {
	return !at.IsZero() && s.now.Sub(at) < s.options.MaxStaleness
}

// confirmExhausted reports whether it is certain that the budget does not hold all waiters: the
// row is current and the daemons that may have unused tokens were asked. It asks for what
// is missing.
func (s *State) confirmExhausted(name string, p *program) bool {
	if !s.isFresh(p.rowReadAt) {
		s.readRow(name, p)
		return false
	}
	hosts := s.hostsWithSpare(p)
	for _, host := range hosts {
		if !s.isFresh(p.holdersAskedAt) || !slices.Contains(p.holdersAsked, host) {
			s.borrow(name, p, hosts)
			return false
		}
	}
	return true
}

func (s *State) readRow(name string, p *program) {
	p.reading = true
	s.emit(Read{Program: name, Needed: p.needed()})
}

func (s *State) borrow(name string, p *program, hosts []string) {
	p.borrowing, p.borrowHosts = true, hosts
	s.emit(Borrow{Program: name, Tokens: p.needed(), Hosts: hosts})
}

// hostsWithSpare lists the other daemons that may have unused tokens.
func (s *State) hostsWithSpare(p *program) []string {
	var hosts []string
	for host, tokens := range p.spare {
		if host != s.host && tokens > 0 {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// rejectOverBudget refuses the waiters that the budget does not hold and returns the tokens
// that the others need.
func (s *State) rejectOverBudget(p *program) int {
	need, free := 0, p.budget-p.granted+max(0, p.unused)
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if need+w.tokens <= free {
			need += w.tokens
			kept = append(kept, w)
			continue
		}
		verdict := Spent
		if len(s.hostsWithSpare(p)) > 0 && !p.holdersReplied {
			verdict = Contended
		}
		s.decide(p, w, verdict)
	}
	p.waiters = kept
	return need - max(0, p.unused)
}

// leavesEnough reports whether a grant leaves enough of the budget.
func (s *State) leavesEnough(p *program, grant int) bool {
	rest := p.budget - p.granted
	left := rest - grant
	return float64(left) >= s.options.MinRemainingShare*float64(rest) && left >= s.options.MinRemainingTurns*p.largestRequest
}

// extraTokens returns the tokens to be granted beyond the need.
func (s *State) extraTokens(p *program, need int) int {
	for turns := s.options.MaxExtraTurns; turns > 0; turns-- {
		if extra := turns * p.largestRequest; s.leavesEnough(p, need+extra) {
			return extra
		}
	}
	return 0
}

// writeGrant writes the row with more tokens for this daemon.
func (s *State) writeGrant(name string, p *program, tokens int) {
	p.sequence++
	p.pendingRow = &encoder.ProgramBudget{
		Granted: p.granted + tokens, Holder: s.incarnation, Sequence: int(p.sequence),
		ExpiresAt: int(s.now.Add(s.options.Retention).Unix()), Spare: map[string]int{},
	}
	for host, other := range p.spare {
		p.pendingRow.Spare[host] = other
	}
	p.pendingRow.Spare[s.host] = p.unused + p.reserved + max(0, tokens)
	// The type has only numbers and strings, so encoding cannot fail.
	value, _ := json.Marshal(p.pendingRow)
	s.emit(Write{Program: name, Version: p.version, Value: value, Needed: p.needed()})
}

func (s *State) writeCompleted(m WriteCompleted) {
	p := s.programs[m.Program]
	if p == nil || p.pendingRow == nil {
		return
	}
	switch m.Kind {
	case provider.KindNone:
		s.adoptPendingRow(p, m.Version)
	case provider.KindConflict:
		p.pendingRow = nil
		s.adoptRow(p, m.Row)
	case provider.KindUnknown:
		s.readRow(m.Program, p)
		return
	default:
		p.pendingRow = nil
		s.rejectWaiters(p)
	}
	s.serveWaiters(m.Program, p)
}

// adoptPendingRow takes over the pending row after it was written. Tokens that it returns have
// already been taken off what is left.
func (s *State) adoptPendingRow(p *program, version int64) {
	p.unused += max(0, p.pendingRow.Granted-p.granted)
	p.granted, p.version, p.spare = p.pendingRow.Granted, version, p.pendingRow.Spare
	p.rowKnown, p.rowReadAt, p.pendingRow = true, s.now, nil
}

// adoptRow takes over the current row. After a lost answer this daemon's own write may
// stand in it. If it is carried out later, its tokens are lost.
func (s *State) adoptRow(p *program, row *provider.VersionedRow) {
	var stored encoder.ProgramBudget
	version := provider.VersionAbsent
	if row != nil && row.Version != provider.VersionAbsent {
		version = row.Version
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			// A row that cannot be read allows nothing more.
			stored = encoder.ProgramBudget{Granted: p.budget}
		}
	}
	if p.pendingRow != nil {
		if stored.Holder == s.incarnation && stored.Sequence == p.pendingRow.Sequence {
			s.adoptPendingRow(p, version)
			return
		}
		p.pendingRow = nil
	}
	p.granted, p.version, p.spare = stored.Granted, version, stored.Spare
	p.hadTokens = p.hadTokens || stored.Granted > 0
	p.rowKnown, p.rowReadAt = true, s.now
}

// rejectWaiters answers all waiters that the grant does not hold.
func (s *State) rejectWaiters(p *program) {
	s.admitWaiters(p)
	for _, w := range p.waiters {
		s.decide(p, w, Unavailable)
	}
	p.waiters = nil
}

func (s *State) readCompleted(m ReadCompleted) {
	p := s.programs[m.Program]
	if p == nil || !p.reading {
		return
	}
	p.reading = false
	if m.Kind != provider.KindNone {
		// Whether the pending row was written stays unknown. Its tokens are not used, and
		// the next write meets the row as it is.
		p.pendingRow, p.rowKnown = nil, false
		s.rejectWaiters(p)
		return
	}
	s.adoptRow(p, m.Row)
	s.serveWaiters(m.Program, p)
}

// tick forgets idle programs. What is left of their grants is lost: callers that return
// later are granted anew while the budget holds.
func (s *State) tick() {
	for name, p := range s.programs {
		if p.reserved == 0 && !p.busy() && len(p.waiters) == 0 && s.now.Sub(p.lastUsedAt) >= s.options.IdleTimeout {
			delete(s.programs, name)
		}
	}
}
