package measurer

import (
	"context"
	"fmt"
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"

	"github.com/dogwoodweir/dogwoodweir/messenger"
)

// ControlSample is the load of the control logic on one daemon, as the mean over a
// fleet of one size.
type ControlSample struct {
	Hosts   int `json:"hosts"`
	Targets int `json:"targets"`
	// The rates count bytes and messages between daemons, without TCP and IP headers.
	// MaxBytesPerSec is the sum of both directions at the busiest daemon.
	SentBytesPerSec     float64 `json:"sentBytesPerSec"`
	ReceivedBytesPerSec float64 `json:"receivedBytesPerSec"`
	MaxBytesPerSec      float64 `json:"maxBytesPerSec"`
	MessagesPerSec      float64 `json:"messagesPerSec"`
	// LoopCoreShare is the share of a core spent in the control loop, ProcessCoreShare
	// that of the whole process with connections and JSON.
	LoopCoreShare      float64 `json:"loopCoreShare"`
	ProcessCoreShare   float64 `json:"processCoreShare"`
	HeapBytes          float64 `json:"heapBytes"`
	StoreReadsPerSec   float64 `json:"storeReadsPerSec"`
	TargetProbesPerSec float64 `json:"targetProbesPerSec"`
	DialsPerSec        float64 `json:"dialsPerSec"`
	// Unsettled is set when the measurement began before every daemon saw all others
	// as ready; it holds the error of waiting for that.
	Unsettled string `json:"unsettled,omitempty"`
}

// MeasureControlByHosts measures idle fleets of the given sizes, one after the other.
// Each has five failure domains and 16 targets for each host.
func MeasureControlByHosts(ctx context.Context, sizes []int, warmUp, window time.Duration) ([]ControlSample, error) {
	var out []ControlSample
	for _, size := range sizes {
		sample, err := controlSample(ctx, size, 16*size, warmUp, window)
		if err != nil {
			return nil, fmt.Errorf("%d hosts: %w", size, err)
		}
		out = append(out, sample)
	}
	return out, nil
}

type totals struct {
	at       time.Time
	counters []messenger.Counters
	busy     int64
	probes   int64
	reads    int64
	cpu      float64
}

func (f *Fleet) totals() totals {
	t := totals{at: time.Now(), reads: f.tables.Counters().Reads, cpu: cpuSeconds()}
	for _, m := range f.members {
		t.counters = append(t.counters, m.messenger.Counters())
		t.busy += m.busy.Load()
		t.probes += m.probes.Load()
	}
	return t
}

// MeasureControlByTargets measures idle fleets of one size with different numbers of targets.
func MeasureControlByTargets(ctx context.Context, hosts int, targets []int, warmUp, window time.Duration) ([]ControlSample, error) {
	var out []ControlSample
	for _, n := range targets {
		sample, err := controlSample(ctx, hosts, n, warmUp, window)
		if err != nil {
			return nil, fmt.Errorf("%d targets: %w", n, err)
		}
		out = append(out, sample)
	}
	return out, nil
}

func controlSample(ctx context.Context, size, targets int, warmUp, window time.Duration) (ControlSample, error) {
	runtime.GC()
	before := heapBytes()
	f, err := NewFleet(ctx, Options{FailureDomains: 5, Hosts: size, Targets: targets, ListInterval: 5 * time.Second})
	if err != nil {
		return ControlSample{}, err
	}
	defer f.Close()
	time.Sleep(warmUp)
	// On a busy machine some daemons miss heartbeats, which the sample records.
	_, unsettled := f.waitForAll(ctx, 20*time.Second, f.settled)
	first := f.totals()
	time.Sleep(window)
	last := f.totals()
	runtime.GC()
	sample := perHostRates(first, last, size)
	sample.Hosts, sample.Targets = size, f.options.Targets
	if unsettled != nil {
		sample.Unsettled = unsettled.Error()
	}
	sample.HeapBytes = (heapBytes() - before) / float64(size)
	return sample, nil
}

func perHostRates(first, last totals, size int) ControlSample {
	seconds := last.at.Sub(first.at).Seconds()
	n := float64(size) * seconds
	var sample ControlSample
	for i := range last.counters {
		a, b := first.counters[i], last.counters[i]
		sent, received := float64(b.SentBytes-a.SentBytes), float64(b.ReceivedBytes-a.ReceivedBytes)
		sample.SentBytesPerSec += sent / n
		sample.ReceivedBytesPerSec += received / n
		sample.MaxBytesPerSec = max(sample.MaxBytesPerSec, (sent+received)/seconds)
		sample.MessagesPerSec += float64(b.SentMessages-a.SentMessages+b.ReceivedMessages-a.ReceivedMessages) / n
		sample.DialsPerSec += float64(b.Dials-a.Dials) / n
	}
	sample.LoopCoreShare = float64(last.busy-first.busy) / 1e9 / n
	sample.ProcessCoreShare = (last.cpu - first.cpu) / n
	sample.StoreReadsPerSec = float64(last.reads-first.reads) / n
	sample.TargetProbesPerSec = float64(last.probes-first.probes) / n
	return sample
}

// cpuSeconds returns the processor time that the process has used, or 0 when the
// system call fails.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}

// heapBytes returns the memory in use by heap objects and stacks.
func heapBytes() float64 {
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	return float64(samples[0].Value.Uint64() + samples[1].Value.Uint64())
}
