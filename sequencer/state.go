package sequencer

import (
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/tidwall/btree"
)

// Options are the limits of a State; a zero value takes the default.
type Options struct {
	ShardsPerDomain   int
	MaxPendingRecords int
	MaxPendingBytes   int
	// DurabilityWait is how long a caller waits for its records.
	DurabilityWait time.Duration
	KeyRetention   time.Duration
	IdleTimeout    time.Duration
	// CallTimeout bounds one call; CancelGrace is the time that a cancelled
	// attempt has to report.
	CallTimeout time.Duration
	CancelGrace time.Duration
	// ReleaseRetryInterval is the interval at which releases are repeated.
	ReleaseRetryInterval time.Duration
	// EndedProgramRetention is how long an ended program answers retries that have no
	// retained key.
	EndedProgramRetention time.Duration
	MaxTailBytes          int
}

func (o Options) withDefaults() Options {
	fill(&o.ShardsPerDomain, 32)
	fill(&o.MaxPendingRecords, 4_096)
	fill(&o.MaxPendingBytes, 16<<20)
	fill(&o.DurabilityWait, 10*time.Second)
	fill(&o.KeyRetention, 7*24*time.Hour)
	fill(&o.IdleTimeout, 24*time.Hour)
	fill(&o.CallTimeout, 120*time.Second)
	fill(&o.CancelGrace, 5*time.Second)
	fill(&o.ReleaseRetryInterval, 10*time.Second)
	fill(&o.EndedProgramRetention, 10*time.Minute)
	fill(&o.MaxTailBytes, 32<<10)
	return o
}

func fill[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// State is the state of the programs of the shards that one daemon owns. It is
// not safe for concurrent use.
type State struct {
	options  Options
	report   func(Violation)
	hooks    hooks
	shards   btree.Map[string, *shard]
	requests map[string]arrival
	lease    bool
	store    bool

	ticket          uint64
	tickets         map[uint64][]effect
	pendingRecords  int
	pendingBytes    int
	expectedRecords int
	expectedBytes   int
	scannedAt       time.Time
	stale           int

	// The update in progress.
	now      time.Time
	commands []Command
	records  []encoder.Record
	effects  []effect
	touched  []*program
}

// arrival is an open request and the call that will answer it.
type arrival struct {
	program string
	call    *call
}

// effect is what follows when a record is durable.
type effect struct {
	program *program
	kind    string
	step    int
	size    int
}

// hooks switch mechanisms off, so that tests can show that the checks notice.
type hooks struct {
	skipOrder       bool
	skipPrefix      bool
	skipReserve     bool
	skipRelease     bool
	skipCorrelation bool
	skipDurability  bool
	skipIntent      bool
	skipResolve     bool
	refuseRunning   bool
}

// New returns a state without shards, with a valid lease and a reachable store.
// Each violation of an invariant is passed to report, which must not call the
// state.
func New(options Options, report func(Violation)) *State {
	return &State{
		options: options.withDefaults(), report: report, lease: true, store: true,
		requests: map[string]arrival{}, tickets: map[uint64][]effect{},
	}
}

// Update applies one message and returns the commands that follow from it.
func (s *State) Update(now time.Time, message Message) []Command {
	s.now = now
	s.commands, s.records, s.effects, s.touched = nil, nil, nil, s.touched[:0]
	s.handle(message)
	s.flush()
	s.check()
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
		s.lease = m.Valid
		s.resume()
	case StoreReachabilityChanged:
		s.store = m.Reachable
		s.resume()
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

// flush sends the records of this update as one ticket. It comes first among
// the commands, so that tickets are in order even when an executor feeds the
// result of a later command back at once.
func (s *State) flush() {
	if len(s.records) == 0 {
		return
	}
	s.ticket++
	s.tickets[s.ticket] = s.effects
	s.commands = slices.Insert(s.commands, 0, Command(AppendRecords{Ticket: s.ticket, Records: s.records}))
}

func (s *State) command(c Command) { s.commands = append(s.commands, c) }

func (s *State) touch(p *program) {
	for _, q := range s.touched {
		if q == p {
			return
		}
	}
	s.touched = append(s.touched, p)
}

// provisional reports whether results may have to wait for the store.
func (s *State) provisional() bool { return !s.store || !s.lease }

// each calls f for every program in order of shard and id.
func (s *State) each(f func(*program)) {
	s.shards.Scan(func(_ string, sh *shard) bool {
		sh.programs.Scan(func(_ string, p *program) bool {
			f(p)
			return true
		})
		return true
	})
}
