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
	granted int
	version int64
	left    int
	known   bool
	// spare is what each daemon had left, or was using, when it last wrote.
	spare map[string]int
	// largest is the most that one turn has asked for.
	largest int
	// underWay means that a waiter's program has had a turn.
	underWay bool
	// begun means that tokens of the program were handed out before, by any daemon.
	begun bool
	// read is when the row was last read or written.
	read time.Time
	// nearAsked is when neighbours were last asked for tokens, asked when the daemons were
	// that the row named then, answered. complete means that all of the latter answered.
	nearAsked time.Time
	asked     time.Time
	answered  []string
	complete  bool
	// sequence counts this daemon's writes, so that it recognises its own row.
	sequence int64
	// pending is the row that is being written, nil when nothing is under way.
	pending   *encoder.ProgramBudget
	reading   bool
	borrowing bool
	// named are the daemons being asked, if the row names them.
	named   []string
	waiters []waiter
	// running is the number of tokens of the turns under way.
	running int
	touched time.Time
}

// needed is the number of tokens that waiters lack.
func (p *program) needed() int {
	need := -max(0, p.left)
	for _, w := range p.waiters {
		need += w.tokens
	}
	return max(0, need)
}

func (p *program) busy() bool { return p.pending != nil || p.reading || p.borrowing }

// State is the budgets of the programs that this daemon serves. It is not safe for
// concurrent use.
type State struct {
	options  Options
	host     string
	holder   string
	programs map[string]*program
	commands []Command
	now      time.Time
}

// New returns an empty state. The host names the daemon, the holder this run of it.
func New(options Options, host, holder string) *State {
	return &State{options: options, host: host, holder: holder, programs: map[string]*program{}}
}

// ProgramCount returns the number of programs that are kept in memory.
func (s *State) ProgramCount() int { return len(s.programs) }

// Update applies a message.
func (s *State) Update(now time.Time, message Message) []Command {
	s.commands, s.now = nil, now
	switch m := message.(type) {
	case ReservationRequested:
		s.request(m)
	case ReservationCancelled:
		s.withdraw(m)
	case TurnFinished:
		s.finish(m)
	case WriteCompleted:
		s.written(m)
	case ReadCompleted:
		s.loaded(m)
	case TokensReceived:
		s.received(m)
	case BorrowRequested:
		s.emit(Give{Ticket: m.Ticket, Tokens: s.give(m)})
	case Stopping:
		for name, p := range s.programs {
			s.giveBack(name, p)
		}
	case Tick:
		s.tick()
	}
	return s.commands
}

// giveBack returns the unused grant of a program that runs no turn here. The tokens are
// given up at once: should the answer be missing, they may have been returned.
func (s *State) giveBack(name string, p *program) {
	if p.running > 0 || p.left <= 0 || p.busy() || len(p.waiters) > 0 || !p.known {
		return
	}
	unused := p.left
	p.left = 0
	s.grant(name, p, -unused)
}

func (s *State) received(m TokensReceived) {
	p := s.programs[m.Program]
	if p == nil {
		return
	}
	p.left += m.Tokens
	p.begun = p.begun || m.Tokens > 0
	if !p.borrowing {
		return
	}
	p.borrowing = false
	if p.named != nil {
		p.asked, p.answered, p.complete = s.now, p.named, m.Complete
	} else {
		p.nearAsked = s.now
	}
	s.serve(m.Program, p)
}

// give takes tokens off this daemon's grant: what is wanted, and up to half of what is
// left, so that the other daemon need not ask for each turn.
func (s *State) give(m BorrowRequested) int {
	p := s.programs[m.Program]
	if p == nil || m.Tokens <= 0 || p.left <= 0 || len(p.waiters) > 0 {
		return 0
	}
	tokens := min(p.left, max(m.Tokens, p.left/2))
	p.left -= tokens
	return tokens
}

func (s *State) emit(c Command) { s.commands = append(s.commands, c) }

func (s *State) request(m ReservationRequested) {
	p := s.programs[m.Program]
	if p == nil {
		p = &program{}
		s.programs[m.Program] = p
	}
	p.budget, p.touched, p.underWay = m.Budget, s.now, m.HasTurns
	p.largest = max(p.largest, m.Tokens)
	p.waiters = append(p.waiters, waiter{ticket: m.Ticket, tokens: m.Tokens})
	s.serve(m.Program, p)
}

func (s *State) withdraw(m ReservationCancelled) {
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

func (s *State) finish(m TurnFinished) {
	p := s.programs[m.Program]
	if p == nil {
		return
	}
	p.left += m.Reserved - m.Used
	p.running -= m.Reserved
	p.touched = s.now
	s.serve(m.Program, p)
}

// serve admits waiters from the grant and asks the store for what is missing.
func (s *State) serve(name string, p *program) {
	s.admit(p)
	if len(p.waiters) == 0 || p.busy() {
		return
	}
	if !p.known && p.underWay && !s.recent(p.nearAsked) {
		s.borrow(name, p, nil)
		return
	}
	need := p.needed()
	if p.granted+need > p.budget {
		if !s.confirm(name, p) {
			return
		}
		need = s.shrink(p)
		if len(p.waiters) == 0 {
			return
		}
	}
	s.grant(name, p, need+s.ahead(p, need))
}

// admit starts the waiters that the grant holds, in their order.
func (s *State) admit(p *program) {
	for len(p.waiters) > 0 && p.waiters[0].tokens <= p.left {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		p.left -= w.tokens
		p.running += w.tokens
		s.decide(p, w, Admitted)
		p.begun = true
	}
}

func (s *State) decide(p *program, w waiter, v Verdict) {
	s.emit(Decision{
		Ticket: w.ticket, Verdict: v, Granted: p.granted, Version: p.version, HadTokens: p.begun, Available: p.budget - p.granted + max(0, p.left),
	})
}

func (s *State) recent(at time.Time) bool {
	return !at.IsZero() && s.now.Sub(at) < s.options.MaxStaleness
}

// confirm reports whether it is certain that the budget does not hold all waiters: the
// row is current and the daemons that may have unused tokens were asked. It asks for what
// is missing.
func (s *State) confirm(name string, p *program) bool {
	if !s.recent(p.read) {
		s.read(name, p)
		return false
	}
	hosts := s.holders(p)
	for _, host := range hosts {
		if !s.recent(p.asked) || !slices.Contains(p.answered, host) {
			s.borrow(name, p, hosts)
			return false
		}
	}
	return true
}

func (s *State) read(name string, p *program) {
	p.reading = true
	s.emit(Read{Program: name, Needed: p.needed()})
}

func (s *State) borrow(name string, p *program, hosts []string) {
	p.borrowing, p.named = true, hosts
	s.emit(Borrow{Program: name, Tokens: p.needed(), Hosts: hosts})
}

// holders lists the other daemons that may have unused tokens.
func (s *State) holders(p *program) []string {
	var hosts []string
	for host, tokens := range p.spare {
		if host != s.host && tokens > 0 {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// shrink refuses the waiters that the budget does not hold and returns the tokens
// that the others need.
func (s *State) shrink(p *program) int {
	need, free := 0, p.budget-p.granted+max(0, p.left)
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if need+w.tokens <= free {
			need += w.tokens
			kept = append(kept, w)
			continue
		}
		verdict := Spent
		if len(s.holders(p)) > 0 && !p.complete {
			verdict = Contended
		}
		s.decide(p, w, verdict)
	}
	p.waiters = kept
	return need - max(0, p.left)
}

// ample reports whether a grant leaves enough of the budget.
func (s *State) ample(p *program, grant int) bool {
	rest := p.budget - p.granted
	left := rest - grant
	return float64(left) >= s.options.MinRemainingShare*float64(rest) && left >= s.options.MinRemainingTurns*p.largest
}

// ahead returns the tokens to be granted beyond the need.
func (s *State) ahead(p *program, need int) int {
	for turns := s.options.MaxExtraTurns; turns > 0; turns-- {
		if extra := turns * p.largest; s.ample(p, need+extra) {
			return extra
		}
	}
	return 0
}

// grant writes the row with more tokens for this daemon.
func (s *State) grant(name string, p *program, tokens int) {
	p.sequence++
	p.pending = &encoder.ProgramBudget{
		Granted: p.granted + tokens, Holder: s.holder, Sequence: int(p.sequence),
		ExpiresAt: int(s.now.Add(s.options.Retention).Unix()), Spare: map[string]int{},
	}
	for host, other := range p.spare {
		p.pending.Spare[host] = other
	}
	p.pending.Spare[s.host] = p.left + p.running + max(0, tokens)
	// The type has only numbers and strings, so encoding cannot fail.
	value, _ := json.Marshal(p.pending)
	s.emit(Write{Program: name, Version: p.version, Value: value, Needed: p.needed()})
}

func (s *State) written(m WriteCompleted) {
	p := s.programs[m.Program]
	if p == nil || p.pending == nil {
		return
	}
	switch m.Kind {
	case provider.KindNone:
		s.own(p, m.Version)
	case provider.KindConflict:
		p.pending = nil
		s.adopt(p, m.Row)
	case provider.KindUnknown:
		s.read(m.Program, p)
		return
	default:
		p.pending = nil
		s.refuse(p)
	}
	s.serve(m.Program, p)
}

// own takes over the pending row after it was written. Tokens that it returns have
// already been taken off what is left.
func (s *State) own(p *program, version int64) {
	p.left += max(0, p.pending.Granted-p.granted)
	p.granted, p.version, p.spare = p.pending.Granted, version, p.pending.Spare
	p.known, p.read, p.pending = true, s.now, nil
}

// adopt takes over the current row. After a lost answer this daemon's own write may
// stand in it. If it is carried out later, its tokens are lost.
func (s *State) adopt(p *program, row *provider.VersionedRow) {
	var stored encoder.ProgramBudget
	version := provider.VersionAbsent
	if row != nil && row.Version != provider.VersionAbsent {
		version = row.Version
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			// A row that cannot be read allows nothing more.
			stored = encoder.ProgramBudget{Granted: p.budget}
		}
	}
	if p.pending != nil {
		if stored.Holder == s.holder && stored.Sequence == p.pending.Sequence {
			s.own(p, version)
			return
		}
		p.pending = nil
	}
	p.granted, p.version, p.spare = stored.Granted, version, stored.Spare
	p.begun = p.begun || stored.Granted > 0
	p.known, p.read = true, s.now
}

// refuse answers all waiters that the grant does not hold.
func (s *State) refuse(p *program) {
	s.admit(p)
	for _, w := range p.waiters {
		s.decide(p, w, Unavailable)
	}
	p.waiters = nil
}

func (s *State) loaded(m ReadCompleted) {
	p := s.programs[m.Program]
	if p == nil || !p.reading {
		return
	}
	p.reading = false
	if m.Kind != provider.KindNone {
		// Whether the pending row was written stays unknown. Its tokens are not used, and
		// the next write meets the row as it is.
		p.pending, p.known = nil, false
		s.refuse(p)
		return
	}
	s.adopt(p, m.Row)
	s.serve(m.Program, p)
}

// tick forgets idle programs. What is left of their grants is lost: callers that return
// later are granted anew while the budget holds.
func (s *State) tick() {
	for name, p := range s.programs {
		if p.running == 0 && !p.busy() && len(p.waiters) == 0 && s.now.Sub(p.touched) >= s.options.IdleTimeout {
			delete(s.programs, name)
		}
	}
}
