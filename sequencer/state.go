package sequencer

import (
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/tidwall/btree"
)

// Options are the limits and durations of a State. A zero field takes the default.
type Options struct {
	ShardsPerDomain   int
	MaxPendingRecords int
	MaxPendingBytes   int
	// DurabilityWait is how long a caller waits until its call's records are durable.
	DurabilityWait time.Duration
	KeyRetention   time.Duration
	IdleTimeout    time.Duration
	// CallTimeout limits one call. CancelGrace is how long after that, or after a
	// cancellation, the attempt may still report its outcome.
	CallTimeout time.Duration
	CancelGrace time.Duration
	// ReleaseRetryInterval is the interval at which unconfirmed releases are repeated.
	ReleaseRetryInterval time.Duration
	// EndedProgramRetention is how long an ended program is kept for retries that have
	// no retained key.
	EndedProgramRetention time.Duration
	MaxTailBytes          int
}

func (o Options) withDefaults() Options {
	setDefault(&o.ShardsPerDomain, 32)
	setDefault(&o.MaxPendingRecords, 4_096)
	setDefault(&o.MaxPendingBytes, 16<<20)
	setDefault(&o.DurabilityWait, 10*time.Second)
	setDefault(&o.KeyRetention, 7*24*time.Hour)
	setDefault(&o.IdleTimeout, 24*time.Hour)
	setDefault(&o.CallTimeout, 120*time.Second)
	setDefault(&o.CancelGrace, 5*time.Second)
	setDefault(&o.ReleaseRetryInterval, 10*time.Second)
	setDefault(&o.EndedProgramRetention, 10*time.Minute)
	setDefault(&o.MaxTailBytes, 32<<10)
	return o
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// State holds the programs of the shards that one daemon owns. It is not safe for
// concurrent use.
type State struct {
	options        Options
	report         func(Violation)
	testHooks      hooks
	shards         btree.Map[string, *shard]
	openRequests   map[string]openRequest
	leaseValid     bool
	storeReachable bool

	lastTicket      uint64
	tickets         map[uint64][]recordInfo
	pendingRecords  int
	pendingBytes    int
	expectedRecords int
	expectedBytes   int
	lastScanAt      time.Time
	staleResults    int

	// The fields below belong to the update in progress.
	now         time.Time
	commands    []Command
	records     []encoder.Record
	recordInfos []recordInfo
	touched     []*program
}

// openRequest is a request without a response yet, and the call that it waits for.
type openRequest struct {
	program string
	call    *call
}

// recordInfo describes a record whose commit is pending.
type recordInfo struct {
	program *program
	kind    string
	step    int
	size    int
}

// hooks disable mechanisms, so that tests can show that the checks detect the fault.
type hooks struct {
	skipOrder       bool
	skipPrefix      bool
	skipReserve     bool
	skipRelease     bool
	skipCorrelation bool
	skipDurability  bool
	skipIntent      bool
	skipResolve     bool
	rejectRunning   bool
}

// New returns a state without shards that assumes a valid lease and a reachable
// store. Each violation of an invariant is passed to report, which must not call the
// state.
func New(options Options, report func(Violation)) *State {
	return &State{
		options: options.withDefaults(), report: report, leaseValid: true, storeReachable: true,
		openRequests: map[string]openRequest{}, tickets: map[uint64][]recordInfo{},
	}
}

// Update applies one message and returns the commands that follow from it.
func (s *State) Update(now time.Time, message Message) []Command {
	s.now = now
	s.commands, s.records, s.recordInfos, s.touched = nil, nil, nil, s.touched[:0]
	s.handle(message)
	s.flush()
	s.checkInvariants()
	return s.commands
}

func (s *State) handle(message Message) {
	switch m := message.(type) {
	case CallArrived:
		s.callArrived(m.Request)
	case CallerLeft:
		s.callerLeft(m.RequestID)
	case AttemptFinished:
		s.attemptFinished(m)
	case RecordsCommitted:
		s.recordsCommitted(m.Ticket)
	case RecordsDropped:
		s.recordsDropped(m.Ticket)
	case ShardAcquired:
		s.shardAcquired(m)
	case ShardClosing:
		if sh, ok := s.shards.Get(m.Shard); ok {
			sh.closing = true
		}
	case ShardReopened:
		if sh, ok := s.shards.Get(m.Shard); ok {
			sh.closing = false
		}
	case ShardReleased:
		s.releaseShard(m.Shard)
	case CancelRequested:
		s.cancelRequested(m)
	case LeaseChanged:
		s.leaseValid = m.Valid
		s.resumeCalls()
	case StoreReachabilityChanged:
		s.storeReachable = m.Reachable
		s.resumeCalls()
	case ReleaseConfirmed:
		s.releaseConfirmed(m)
	case MemoryReported:
		s.memoryReported(m)
	case SegmentStored:
		s.segmentStored(m)
	case Tick:
		s.tick()
	}
}

// flush adds a command that appends the records of this update as one ticket. It is
// the first command, so that tickets stay in order even if an executor calls Update
// with the result of a later command at once.
func (s *State) flush() {
	if len(s.records) == 0 {
		return
	}
	s.lastTicket++
	s.tickets[s.lastTicket] = s.recordInfos
	s.commands = slices.Insert(s.commands, 0, Command(AppendRecords{Ticket: s.lastTicket, Records: s.records}))
}

func (s *State) command(c Command) { s.commands = append(s.commands, c) }

// touch marks a program to be checked at the end of the update.
func (s *State) touch(p *program) {
	for _, q := range s.touched {
		if q == p {
			return
		}
	}
	s.touched = append(s.touched, p)
}

// mayWaitForStore reports whether records may have to wait for the store, because it
// is not reachable or the lease is not valid.
func (s *State) mayWaitForStore() bool { return !s.storeReachable || !s.leaseValid }

// eachProgram calls f for every program, ordered by shard and id.
func (s *State) eachProgram(f func(*program)) {
	s.shards.Scan(func(_ string, sh *shard) bool {
		sh.programs.Scan(func(_ string, p *program) bool {
			f(p)
			return true
		})
		return true
	})
}
