package accountant

import "github.com/dogwoodweir/dogwoodweir/provider"

// Ticket names a request for tokens.
type Ticket uint64

// Message is an input of State.
type Message interface{ message() }

// ReservationRequested asks for the tokens of one turn.
type ReservationRequested struct {
	Ticket  Ticket
	Program string
	// Budget is the number of tokens of the whole program.
	Budget int
	// Tokens is the most that the turn can generate.
	Tokens int
	// HasTurns programs have had a turn, so that other daemons may have tokens of theirs.
	HasTurns bool
}

// ReservationCancelled says that nobody waits for a ticket any more.
type ReservationCancelled struct {
	Ticket  Ticket
	Program string
}

// TurnFinished ends a turn that was admitted. Used is at most Reserved, unless the target
// generated more than the caller allowed.
type TurnFinished struct {
	Program  string
	Reserved int
	Used     int
}

// WriteCompleted ends a Write. Row is the current row after KindConflict, with VersionAbsent
// when there is none.
type WriteCompleted struct {
	Program string
	Kind    provider.Kind
	Version int64
	Row     *provider.VersionedRow
}

// ReadCompleted ends a Read. Row is nil unless Kind is KindNone.
type ReadCompleted struct {
	Program string
	Kind    provider.Kind
	Row     *provider.VersionedRow
}

// TokensReceived ends a Borrow with tokens of other daemons' grants.
type TokensReceived struct {
	Program string
	Tokens  int
	// Complete means that every daemon that was asked has answered.
	Complete bool
}

// BorrowRequested asks for tokens of this daemon's grant for another daemon.
type BorrowRequested struct {
	Ticket  Ticket
	Program string
	Tokens  int
}

// Stopping says that the daemon is about to end: unused tokens are returned.
type Stopping struct{}

// Tick lets time pass.
type Tick struct{}

func (ReservationRequested) message() {}
func (ReservationCancelled) message() {}
func (TurnFinished) message()         {}
func (WriteCompleted) message()       {}
func (ReadCompleted) message()        {}
func (TokensReceived) message()       {}
func (BorrowRequested) message()      {}
func (Stopping) message()             {}
func (Tick) message()                 {}

// Command is an output of State.
type Command interface{ command() }

// Verdict is the answer to a request for tokens.
type Verdict int

const (
	// Admitted turns may start.
	Admitted Verdict = iota + 1
	// Spent means that the budget does not hold the turn.
	Spent
	// Contended means that the budget may hold the turn, but that a daemon with unused
	// tokens does not answer.
	Contended
	// Unavailable means that the store did not answer, so nobody can tell.
	Unavailable
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	switch v {
	case Admitted:
		return "admitted"
	case Spent:
		return "spent"
	case Contended:
		return "contended"
	}
	return "unavailable"
}

// Decision answers a request for tokens.
type Decision struct {
	Ticket  Ticket
	Verdict Verdict
	// Granted and Version are what the row says, for the log.
	Granted int
	Version int64
	// HadTokens programs have had tokens before, here or at another daemon.
	HadTokens bool
	// Available is the number of tokens that the budget still holds for this daemon.
	Available int
}

// Borrow asks other daemons for tokens that they were granted.
type Borrow struct {
	Program string
	Tokens  int
	// Hosts are the daemons that may have tokens; empty means those nearby.
	Hosts []string
}

// Give passes tokens on to another daemon; this one no longer has them.
type Give struct {
	Ticket Ticket
	Tokens int
}

// Write sets the row of a program if it has the given version.
type Write struct {
	Program string
	Version int64
	Value   []byte
	// Needed is the number of tokens that turns wait for.
	Needed int
}

// Read reads the row of a program.
type Read struct {
	Program string
	// Needed is the number of tokens that turns wait for.
	Needed int
}

func (Decision) command() {}
func (Write) command()    {}
func (Borrow) command()   {}
func (Give) command()     {}
func (Read) command()     {}
