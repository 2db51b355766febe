package surveyor

import "time"

// Message is an input of State.
type Message interface{ message() }

// TargetsChanged replaces the targets of the failure domain.
type TargetsChanged struct{ IDs []string }

// Tick asks whether a report is due.
type Tick struct {
	// Peers lists the hosts of the other daemons of the failure domain.
	Peers []string
	// Calls are this daemon's calls in flight at engines of the failure domain, by target ID.
	Calls map[string]int
}

// ReportReceived passes on the report of another daemon. Update returns a Reply.
type ReportReceived struct {
	From string
	Load []byte
}

// SumReceived passes on the reply to a SendReport.
type SumReceived struct {
	Report  SendReport
	Load    []byte
	Reports int
	// Age is the mean age of the reports when the collector replied.
	Age time.Duration
}

// SumMissing reports that there was no usable reply to a SendReport.
type SumMissing struct {
	Report SendReport
	// Refused is set if the daemon cannot be reached or does not collect, unset if it did not reply in time.
	Refused bool
}

func (TargetsChanged) message() {}
func (Tick) message()           {}
func (ReportReceived) message() {}
func (SumReceived) message()    {}
func (SumMissing) message()     {}

// Command is an output of State.
type Command interface{ command() }

// SendReport orders a report to the collector.
type SendReport struct {
	Host   string
	Load   []byte
	SentAt time.Time
}

// Reply orders the reply to a ReportReceived.
type Reply struct {
	Load    []byte
	Reports int
	Age     time.Duration
}

// Publish gives the calls of the other daemons by target ID.
type Publish struct {
	InFlight map[string]int
	Age      time.Duration
}

// CollectorChanged reports that this daemon sends its reports to another collector, which may be itself.
// Changes that follow each other quickly are reported together.
type CollectorChanged struct {
	Host    string
	Changes int
}

func (SendReport) command()       {}
func (Reply) command()            {}
func (Publish) command()          {}
func (CollectorChanged) command() {}
