package limiter

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// ticket names a request for permits.
type ticket uint64

// message is an input of holder.
type message interface{ message() }

// quotasChanged sets the quotas. cells is the number of holders that each workspace normally has, by
// workspace.
type quotasChanged struct {
	quotas []Quota
	cells  map[string]int
}

// placesChanged sets the first host of the cell for each workspace, after a change of the list of daemons.
type placesChanged struct{ first map[string]string }

// permitsRequested requests permits for calls that wait.
type permitsRequested struct {
	ticket    ticket
	workspace string
	program   string
	needed    int
	// extra is the number of permits that are useful beyond needed.
	extra int
	// deadline is when the request is answered at the latest, limit when its call is rejected.
	deadline time.Time
	limit    time.Time
	// again is set if the same call has been answered with reasonPending.
	again bool
	// lend is set if another holder asks for tokens that this one does not need. needed, extra and the
	// permits of the answer are thousandths of a token then.
	lend bool
	// takeover is set if the hosts before this one in the order of its cell did not accept the request.
	takeover bool
	// first is the first host of the cell for the workspace. lenders are those of other cells, which may
	// lend tokens.
	first   string
	lenders []string
}

// leaseWritten is the result of a renewLease. sentAt is the time before it was sent, version the
// version of the row, or that of the current one after a conflict, and incarnation the one in it.
type leaseWritten struct {
	kind        provider.Kind
	sentAt      time.Time
	version     int64
	incarnation string
}

// rowWritten is the result of a writeRow. conflict has the rows of the conditions after a conflict.
type rowWritten struct {
	group    group
	kind     provider.Kind
	version  int64
	conflict []provider.VersionedRow
}

// rowRead is the result of a readRow.
type rowRead struct {
	group group
	kind  provider.Kind
	row   provider.VersionedRow
}

// holdersRead is the result of a readHolders.
type holdersRead struct {
	kind provider.Kind
	rows []provider.VersionedRow
}

// tokensLent is the result of a borrowTokens.
type tokensLent struct {
	workspace string
	host      string
	tokens    float64
	// drained is set if the other holder has no more.
	drained bool
	// late is set if the reply took so long that its tokens may no longer be used.
	late bool
}

// noticeReceived reports that another daemon needs a part of the quotas of a group, or has returned one.
type noticeReceived struct{ group group }

// stopRequested asks for the return of all fractions.
type stopRequested struct{}

// tick reports that time has passed.
type tick struct{}

func (quotasChanged) message()    {}
func (placesChanged) message()    {}
func (permitsRequested) message() {}
func (leaseWritten) message()     {}
func (rowWritten) message()       {}
func (rowRead) message()          {}
func (holdersRead) message()      {}
func (tokensLent) message()       {}
func (noticeReceived) message()   {}
func (stopRequested) message()    {}
func (tick) message()             {}

// command is an output of holder.
type command interface{ command() }

// grant answers a permitsRequested.
type grant struct {
	ticket     ticket
	permits    int
	reason     string
	retryAfter time.Duration
	fraction   float64
	age        time.Duration
}

// renewLease writes the own row of HolderTable if it has the given version.
type renewLease struct {
	version  int64
	renewals int
}

// writeRow writes the row of a group under conditions.
type writeRow struct {
	group      group
	value      []byte
	conditions []provider.RowCondition
	changes    []change
}

// change is the change of one fraction by a writeRow.
type change struct {
	workspace string
	before    int
	after     int
	need      int
	// taken and given are the tokens that move from and to the remainder.
	taken float64
	given float64
}

// readRow reads the row of a group.
type readRow struct{ group group }

// readHolders reads HolderTable.
type readHolders struct{}

// borrowTokens asks another holder for tokens.
type borrowTokens struct {
	workspace string
	host      string
	// missing is the number of tokens for calls that wait, spare that of further useful ones.
	missing float64
	spare   float64
	// ask is set if the host is the first of the cell, which serves requests like those of any daemon.
	ask bool
}

// notifyHolders tells other daemons that the fractions of a group have changed or are short.
type notifyHolders struct {
	group group
	hosts []string
}

// leaseLapsed reports that fractions are not used until their rows have been read again.
type leaseLapsed struct{ overdue time.Duration }

func (grant) command()         {}
func (renewLease) command()    {}
func (writeRow) command()      {}
func (readRow) command()       {}
func (readHolders) command()   {}
func (borrowTokens) command()  {}
func (notifyHolders) command() {}
func (leaseLapsed) command()   {}
