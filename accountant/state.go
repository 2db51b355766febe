package accountant

import (
	"encoding/json"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Options configure a State.
type Options struct {
	// AheadTurns is the largest number of turns beyond the present one that are granted
	// at once while the budget is ample.
	AheadTurns int
	// AmpleShare is the share of the rest of a budget, and AmpleTurns the number of turns,
	// that must be left for other daemons after a grant ahead.
	AmpleShare float64
	AmpleTurns int
	// IdleAfter is the time after a program's last turn at which what is left of an
	// ample budget's grant is returned.
	IdleAfter time.Duration
	// ForgetAfter is the time after the last turn at which a program is forgotten.
	ForgetAfter time.Duration
	// Retention is the time after the last write at which a row may be removed.
	Retention time.Duration
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options {
	return Options{
		AheadTurns: 24, AmpleShare: 0.5, AmpleTurns: 2, IdleAfter: 3 * time.Second,
		ForgetAfter: time.Minute, Retention: 10 * time.Minute,
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
	// spare is what other daemons had beyond their turns when they last wrote.
	spare map[string]int
	// largest is the most that one turn has asked for.
	largest int
	// fresh means that the row was read since the last request.
	fresh bool
	// sequence counts this daemon's writes, so that it recognises its own row.
	sequence int64
	// pending is the row that is being written, nil when nothing is under way.
	pending *encoder.ProgramBudget
	reading bool
	waiters []waiter
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

func (p *program) busy() bool { return p.pending != nil || p.reading }

// State is the budgets of the programs that this daemon serves. It is not safe for
// concurrent use.
type State struct {
	options  Options
	holder   string
	programs map[string]*program
	commands []Command
	now      time.Time
}

// New returns an empty state. The holder names this run of the daemon.
func New(options Options, holder string) *State {
	return &State{options: options, holder: holder, programs: map[string]*program{}}
}

// Programs returns the number of programs that are kept in memory.
func (s *State) Programs() int { return len(s.programs) }

// Update applies a message.
func (s *State) Update(now time.Time, message Message) []Command {
	s.commands, s.now = nil, now
	switch m := message.(type) {
	case Requested:
		s.request(m)
	case Withdrawn:
		s.withdraw(m)
	case Finished:
		s.finish(m)
	case Written:
		s.written(m)
	case Loaded:
		s.loaded(m)
	case Received:
		if p := s.programs[m.Program]; p != nil {
			p.left += m.Tokens
		}
	case Wanted:
		s.emit(Give{Ticket: m.Ticket, Tokens: s.give(m)})
	case Tick:
		s.tick()
	}
	return s.commands
}

// give takes tokens off this daemon's grant, all that is wanted or none.
func (s *State) give(m Wanted) int {
	p := s.programs[m.Program]
	if p == nil || m.Tokens <= 0 || p.left < m.Tokens || len(p.waiters) > 0 {
		return 0
	}
	p.left -= m.Tokens
	return m.Tokens
}

func (s *State) emit(c Command) { s.commands = append(s.commands, c) }

func (s *State) request(m Requested) {
	p := s.programs[m.Program]
	if p == nil {
		p = &program{}
		s.programs[m.Program] = p
	}
	p.budget, p.touched, p.fresh = m.Budget, s.now, false
	p.largest = max(p.largest, m.Tokens)
	p.waiters = append(p.waiters, waiter{ticket: m.Ticket, tokens: m.Tokens})
	s.serve(m.Program, p)
}

func (s *State) withdraw(m Withdrawn) {
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

func (s *State) finish(m Finished) {
	p := s.programs[m.Program]
	if p == nil {
		return
	}
	p.left += m.Reserved - m.Used
	p.running--
	p.touched = s.now
	s.serve(m.Program, p)
	if !s.ample(p, 0) {
		s.giveBack(m.Program, p)
	}
}

// serve admits waiters from the grant and asks the store for what is missing.
func (s *State) serve(name string, p *program) {
	s.admit(p)
	if len(p.waiters) == 0 || p.busy() {
		return
	}
	need := p.needed()
	if p.granted+need > p.budget {
		if !p.fresh {
			s.read(name, p)
			return
		}
		need = s.shrink(p)
		if len(p.waiters) == 0 {
			return
		}
	}
	ahead := s.ahead(p, need)
	s.grant(name, p, need+ahead, ahead, false)
}

// admit starts the waiters that the grant holds, in their order.
func (s *State) admit(p *program) {
	for len(p.waiters) > 0 && p.waiters[0].tokens <= p.left {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		p.left -= w.tokens
		p.running++
		s.decide(p, w, Admitted)
	}
}

func (s *State) decide(p *program, w waiter, v Verdict) {
	s.emit(Decide{Ticket: w.ticket, Verdict: v, Granted: p.granted, Version: p.version})
}

// read asks for the current row: refusing a turn because of an old one could be wrong,
// since other daemons return what they do not use.
func (s *State) read(name string, p *program) {
	p.reading = true
	s.emit(Read{Program: name, Needed: p.needed()})
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
		if need+w.tokens <= free+s.spareElsewhere(p) {
			verdict = Contended
		}
		s.decide(p, w, verdict)
	}
	p.waiters = kept
	return need - max(0, p.left)
}

// spareElsewhere returns the tokens that other daemons may still return.
func (s *State) spareElsewhere(p *program) int {
	total := 0
	for holder, tokens := range p.spare {
		if holder != s.holder {
			total += max(0, tokens)
		}
	}
	return total
}

// ample reports whether a grant leaves enough of the budget.
func (s *State) ample(p *program, grant int) bool {
	rest := p.budget - p.granted
	left := rest - grant
	return float64(left) >= s.options.AmpleShare*float64(rest) && left >= s.options.AmpleTurns*p.largest
}

// ahead returns the tokens to be granted beyond the need.
func (s *State) ahead(p *program, need int) int {
	for turns := s.options.AheadTurns; turns > 0; turns-- {
		if extra := turns * p.largest; s.ample(p, need+extra) {
			return extra
		}
	}
	return 0
}

// grant writes the row with more tokens for this daemon, or fewer. Spare is what the
// daemon then has beyond its turns.
func (s *State) grant(name string, p *program, tokens, spare int, background bool) {
	p.sequence++
	p.pending = &encoder.ProgramBudget{
		Granted: p.granted + tokens, Holder: s.holder, Sequence: int(p.sequence),
		ExpiresAt: int(s.now.Add(s.options.Retention).Unix()), Spare: map[string]int{},
	}
	for holder, other := range p.spare {
		if holder != s.holder {
			p.pending.Spare[holder] = other
		}
	}
	if spare > 0 {
		p.pending.Spare[s.holder] = spare
	}
	// The type has only numbers and strings, so encoding cannot fail.
	value, _ := json.Marshal(p.pending)
	s.emit(Write{Program: name, Version: p.version, Value: value, Needed: p.needed(), Background: background})
}

// giveBack returns the unused grant of a program that runs no turn here.
func (s *State) giveBack(name string, p *program) {
	if p.running > 0 || p.left <= 0 || p.busy() || len(p.waiters) > 0 || !p.known {
		return
	}
	unused := p.left
	p.left = 0
	s.grant(name, p, -unused, 0, true)
}

func (s *State) written(m Written) {
	p := s.programs[m.Program]
	if p == nil || p.pending == nil {
		return
	}
	switch m.Kind {
	case provider.KindNone:
		s.own(p, m.Version)
	case provider.KindConflict:
		s.undo(p)
		s.adopt(p, m.Row)
	case provider.KindUnknown:
		s.read(m.Program, p)
		return
	default:
		s.undo(p)
		s.refuse(p)
	}
	s.serve(m.Program, p)
}

// own takes over the pending row after it was written. Tokens that it returns have
// already been taken off what is left.
func (s *State) own(p *program, version int64) {
	p.left += max(0, p.pending.Granted-p.granted)
	p.granted, p.version, p.spare = p.pending.Granted, version, p.pending.Spare
	p.known, p.fresh, p.pending = true, true, nil
}

// undo forgets a pending row that was certainly not written; tokens that it was to
// return are kept.
func (s *State) undo(p *program) {
	p.left += max(0, p.granted-p.pending.Granted)
	p.pending = nil
}

// adopt takes over the current row. After a lost answer this daemon's own write may
// stand in it, or may still be carried out: tokens that it was to return are given up.
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
	p.known, p.fresh = true, true
}

// refuse answers all waiters that the grant does not hold.
func (s *State) refuse(p *program) {
	s.admit(p)
	for _, w := range p.waiters {
		s.decide(p, w, Unavailable)
	}
	p.waiters = nil
}

func (s *State) loaded(m Loaded) {
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

// tick returns unused grants and forgets idle programs.
func (s *State) tick() {
	for name, p := range s.programs {
		if p.running > 0 || p.busy() || len(p.waiters) > 0 {
			continue
		}
		idle := s.now.Sub(p.touched)
		if idle >= s.options.ForgetAfter {
			delete(s.programs, name)
			continue
		}
		if idle >= s.options.IdleAfter && p.left > 0 && p.granted > p.budget/4 {
			s.giveBack(name, p)
		}
	}
}
