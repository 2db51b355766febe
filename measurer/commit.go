package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// CommitSample is the load that the log of one daemon puts on the store, simulated
// in virtual time.
type CommitSample struct {
	Hosts       int     `json:"hosts"`
	CallsPerSec float64 `json:"callsPerSec"`
	// WritesPerSec counts the transactions of one daemon, FleetWritesPerSec those of all.
	WritesPerSec      float64 `json:"writesPerSec"`
	FleetWritesPerSec float64 `json:"fleetWritesPerSec"`
	MeanWaitMs        float64 `json:"meanWaitMs"`
	// MicrosPerCall is the time that batching and encoding take for a call.
	MicrosPerCall    float64 `json:"microsPerCall"`
	StoreBytesPerSec float64 `json:"storeBytesPerSec"`
}

const (
	commitSeconds = 30
	commitWarmUp  = 10 * time.Second
	// storeLatency is the time from sending a commit to the store's response.
	storeLatency = 4 * time.Millisecond
	// commitStep is the resolution of the virtual time.
	commitStep = time.Millisecond
)

// MeasureCommits measures group commit for each combination of a number of daemons
// and a call rate per daemon. A call appends twice: at its start and at its end.
func MeasureCommits(hosts []int, callsPerSec []float64) ([]CommitSample, error) {
	var out []CommitSample
	for _, n := range hosts {
		for _, rate := range callsPerSec {
			sample, err := commitSample(n, rate)
			if err != nil {
				return nil, err
			}
			out = append(out, sample)
		}
	}
	return out, nil
}

type commitSimulation struct {
	state       *committer.State
	now         time.Time
	version     int64
	responseAt  time.Time
	pending     committer.CommitTransaction
	busy        time.Duration
	requestedAt map[committer.Ticket]time.Time
	totalWait   time.Duration
	committed   int
	writes      int
	bytes       int
}

func (r *commitSimulation) update(message committer.Message) {
	started := time.Now()
	commands := r.state.Update(r.now, message)
	r.busy += time.Since(started)
	for _, command := range commands {
		switch c := command.(type) {
		case committer.ReadLeaseRow:
			r.update(committer.LeaseRowRead{})
		case committer.CommitTransaction:
			r.pending, r.responseAt = c, r.now.Add(storeLatency)
			r.writes++
			for _, write := range c.Transaction.Writes {
				r.bytes += len(write.Value) + len(write.Key)
			}
		case committer.TicketCommitted:
			if at, ok := r.requestedAt[c.Ticket]; ok {
				r.totalWait += r.now.Sub(at)
				r.committed++
				delete(r.requestedAt, c.Ticket)
			}
		}
	}
}

func commitSample(hosts int, callsPerSec float64) (CommitSample, error) {
	start := time.Unix(1_700_000_000, 0)
	r := &commitSimulation{now: start, requestedAt: map[committer.Ticket]time.Time{}}
	r.state = committer.New(committer.Options{Host: "host-000", Incarnation: "a", Seed: 1})
	random := rand.New(rand.NewPCG(uint64(hosts), 1))
	r.update(committer.LiveHostsChanged{Hosts: hosts})
	r.update(committer.Tick{})
	words := newTextGenerator(uint64(hosts))
	ticket := committer.Ticket(0)
	arrival := start.Add(time.Second)
	windowStart := start.Add(commitWarmUp)
	for r.now.Before(windowStart.Add(commitSeconds * time.Second)) {
		r.now = r.now.Add(commitStep)
		if r.now.Equal(windowStart) {
			// Writes made with the allowance that accumulated before the load do not count.
			r.writes, r.bytes, r.busy = 0, 0, 0
		}
		if !r.responseAt.IsZero() && !r.now.Before(r.responseAt) {
			r.responseAt = time.Time{}
			versions := make([]int64, len(r.pending.Transaction.Writes))
			r.version++
			for i := range versions {
				versions[i] = 1
			}
			versions[0] = r.version
			r.update(committer.CommitFinished{ID: r.pending.Transaction.ID, Versions: versions})
		}
		for callsPerSec > 0 && !r.now.Before(arrival) {
			arrival = arrival.Add(time.Duration(random.ExpFloat64() / (2 * callsPerSec) * float64(time.Second)))
			ticket++
			r.requestedAt[ticket] = r.now
			r.update(committer.AppendRequested{Ticket: ticket, Records: []encoder.Record{{
				Shard: "domain-0/1", Program: fmt.Sprintf("domain-0-%032x", ticket), Sequence: 1, Kind: "turn", Body: words.text(turnBytes),
			}}})
		}
		if next := r.state.Next(); !next.IsZero() && !r.now.Before(next) {
			r.update(committer.Tick{})
		}
	}
	if callsPerSec > 0 && r.committed == 0 {
		return CommitSample{}, fmt.Errorf("simulate group commit with %d hosts: no append was committed", hosts)
	}
	sample := CommitSample{
		Hosts: hosts, CallsPerSec: callsPerSec, WritesPerSec: float64(r.writes) / commitSeconds,
		FleetWritesPerSec: float64(hosts) * float64(r.writes) / commitSeconds, StoreBytesPerSec: float64(r.bytes) / commitSeconds,
	}
	if r.committed > 0 {
		sample.MeanWaitMs = r.totalWait.Seconds() * 1e3 / float64(r.committed)
		sample.MicrosPerCall = float64(r.busy.Microseconds()) / (callsPerSec * commitSeconds)
	}
	return sample, nil
}
