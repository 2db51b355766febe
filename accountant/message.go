package accountant

import "github.com/dogwoodweir/dogwoodweir/provider"

// Ticket identifies a request for tokens.
type Ticket uint64

// Message is an input of State.
type Message interface{ message() }

// ReservationRequested requests the tokens of one turn.
type ReservationRequested struct {
	Ticket  Ticket
	Program string
	// Budget is the token budget of the whole program.
	Budget int
	// Tokens is the largest number of tokens that the turn can generate.
	Tokens int
	// Overdraft is the number of tokens that may be granted beyond the budget in place of lost ones.
	Overdraft int
	// ProgramStarted is set if the program has had a turn, so that peers may hold grants of it.
	ProgramStarted bool
	// FindHolders makes the daemon look for peers that hold grants of the program before it reads or
	// writes the row.
	FindHolders bool
}

// ReservationCancelled removes a request whose caller no longer waits.
type ReservationCancelled struct {
	Ticket  Ticket
	Program string
}

// TurnFinished reports the tokens that an admitted turn used: at most Reserved, unless the
// target generated more than the caller allowed.
type TurnFinished struct {
	Program  string
	Reserved int
	Used     int
}

// WriteCompleted is the result of a Write. After KindConflict, Row is the current row, with
// VersionAbsent when there is none.
type WriteCompleted struct {
	Program string
	Kind    provider.Kind
	Version int64
	Row     *provider.VersionedRow
}

// ReadCompleted is the result of a Read. Row is nil unless Kind is KindNone.
type ReadCompleted struct {
	Program string
	Kind    provider.Kind
	Row     *provider.VersionedRow
}

// TokensReceived is the result of a Borrow, or tokens that arrived after it.
type TokensReceived struct {
	Program string
	Tokens  int
	// Silent are the hosts that were asked and did not reply. Ended are those whose daemon has ended
	// since it was granted tokens: its unused ones are lost. Uncertain are those that may have more tokens soon.
	Silent    []string
	Ended     []string
	Uncertain []string
	// UnknownAt maps the hosts whose daemon knows nothing of the program to its incarnation, which may be empty.
	UnknownAt map[string]string
	// Borrowers are daemons to which those that replied have lent tokens.
	Borrowers []Borrower
	// Late is set for tokens of a peer that replied after the others were reported.
	Late bool
}

// Borrower is a daemon that has borrowed tokens.
type Borrower struct {
	Host        string
	Incarnation string
	// Tokens is the number of tokens lent to it, used ones included.
	Tokens int
}

// BorrowRequested is a peer's request for tokens of this daemon's grant.
type BorrowRequested struct {
	Ticket  Ticket
	Program string
	Tokens  int
	// Host and Incarnation are those of the peer, empty if they are not known.
	Host        string
	Incarnation string
	// Confirms is set if it will be known whether the peer has received the loan: LoanSettled follows, with this Ticket.
	Confirms bool
}

// LoanSettled reports whether a peer has received the tokens of a loan.
type LoanSettled struct {
	Program  string
	Ticket   Ticket
	Received bool
}

// Stopping returns the unused tokens before the daemon exits. Send it until UnreturnedPrograms is 0.
type Stopping struct{}

// Tick removes idle programs. Send it periodically.
type Tick struct{}

func (ReservationRequested) message() {}
func (ReservationCancelled) message() {}
func (TurnFinished) message()         {}
func (WriteCompleted) message()       {}
func (ReadCompleted) message()        {}
func (TokensReceived) message()       {}
func (BorrowRequested) message()      {}
func (LoanSettled) message()          {}
func (Stopping) message()             {}
func (Tick) message()                 {}

// Command is an output of State.
type Command interface{ command() }

// Verdict is the result of a request for tokens.
type Verdict int

const (
	// Admitted means that the turn may start.
	Admitted Verdict = iota + 1
	// Spent means that the rest of the budget is too small for the turn.
	Spent
	// Contended means that the budget may suffice for the turn, but a peer that may have
	// unused tokens did not reply, or does not know yet how many it has.
	Contended
	// Unavailable means that the store did not respond, so the budget is unknown.
	Unavailable
)

// String returns the name of the verdict in logs.
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

// Decision is the result of a ReservationRequested.
type Decision struct {
	Ticket  Ticket
	Verdict Verdict
	// Granted and Version are the values of the budget row, for the log.
	Granted int
	Version int64
	// HadTokens is set when the program was granted tokens before, here or at a peer.
	HadTokens bool
	// Available is the number of tokens that this daemon can still use: those not granted
	// yet and the unused ones of its own grant.
	Available int
	// Lost is the number of tokens that daemons which have ended or do not reply may have had unused.
	Lost int
}

// Borrow asks peers for unused tokens of their grants.
type Borrow struct {
	Program string
	Tokens  int
	// Hosts are the peers that may have tokens; empty means those in this daemon's region.
	Hosts []string
	// ProgramStarted is set if it is known that the program has had a turn.
	ProgramStarted bool
}

// Lend hands tokens to a peer. They are already deducted from this daemon's grant.
type Lend struct {
	Ticket Ticket
	Tokens int
	// UnknownProgram is set if this daemon was granted no tokens of the program.
	UnknownProgram bool
	// Uncertain is set if this daemon may have more tokens soon.
	Uncertain bool
	// Borrowers are daemons to which this one has lent tokens that the row does not list.
	Borrowers []Borrower
	// Incarnation is that of this daemon.
	Incarnation string
}

// Write writes the budget row of a program if the row has the given version.
type Write struct {
	Program string
	Version int64
	Value   []byte
	// Needed is the number of tokens that waiting turns lack.
	Needed int
}

// Read reads the budget row of a program.
type Read struct {
	Program string
	// Needed is the number of tokens that waiting turns lack.
	Needed int
}

func (Decision) command() {}
func (Write) command()    {}
func (Borrow) command()   {}
func (Lend) command()     {}
func (Read) command()     {}
