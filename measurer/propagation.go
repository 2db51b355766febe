package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/dogwoodweir/dogwoodweir/detector"
)

// MaxPropagationDelay is the longest allowed time until a change is known on every
// daemon.
const MaxPropagationDelay = 3 * time.Second

// PropagationSample is the time that one kind of change took to reach every daemon in
// one situation.
type PropagationSample struct {
	Change    string        `json:"news"`
	Situation string        `json:"situation"`
	Hosts     int           `json:"hosts"`
	Took      time.Duration `json:"tookNs"`
	Error     string        `json:"error,omitempty"`
}

// String returns the sample as one line of a text report.
func (t PropagationSample) String() string {
	text := fmt.Sprintf("%-36s %-34s %3d hosts %8.3f s", t.Change, t.Situation, t.Hosts, t.Took.Seconds())
	if t.Error != "" {
		text += "  " + t.Error
	}
	return text
}

// MeasurePropagation measures how long a published configuration and a leaving target or
// host take to reach every daemon of a fleet with three failure domains: without a fault,
// with the store down once one daemon has the new version, and with two of the domains
// partitioned from each other.
func MeasurePropagation(ctx context.Context, hosts int) ([]PropagationSample, error) {
	var out []PropagationSample
	for _, situation := range []string{"healthy", "store down after acceptance", "two domains partitioned"} {
		samples, err := propagationSamples(ctx, hosts, situation)
		if err != nil {
			return nil, err
		}
		out = append(out, samples...)
	}
	return out, nil
}

func propagationSamples(ctx context.Context, hosts int, situation string) ([]PropagationSample, error) {
	f, err := NewFleet(ctx, Options{FailureDomains: 3, Hosts: hosts, Targets: 4 * hosts, ListInterval: time.Second})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if _, err := f.waitForAll(ctx, 20*time.Second, f.settled); err != nil {
		return nil, err
	}
	if situation == "two domains partitioned" {
		f.partitionDomains("domain-0", "domain-1", true)
	}
	newSample := func(change string, took time.Duration, err error) PropagationSample {
		t := PropagationSample{Change: change, Situation: situation, Hosts: hosts, Took: took}
		if err != nil {
			t.Error = err.Error()
		}
		return t
	}
	took, err := f.publishDelay(ctx, situation == "store down after acceptance")
	out := []PropagationSample{newSample("publish to in force everywhere", took, err)}
	const target = "runner-0001"
	f.members[0].post(detector.TargetLeaving{Target: target})
	took, err = f.waitForAll(ctx, 2*MaxPropagationDelay, func(m *member) bool { return !m.acceptsNewWork(target) })
	out = append(out, newSample("target leaving to last new work", took, err))
	leaving := f.members[len(f.members)-1]
	leaving.post(detector.LeaveRequested{})
	took, err = f.waitForAll(ctx, 2*MaxPropagationDelay, func(m *member) bool { return m.hostState(leaving.self.Host) == detector.Leaving })
	return append(out, newSample("host leaving to last new work", took, err)), nil
}

// publishDelay returns the time from the start of a publish until all members have applied
// the version. With storeDown, the store becomes unreachable once one of them has it.
func (f *Fleet) publishDelay(ctx context.Context, storeDown bool) (time.Duration, error) {
	start := time.Now()
	version, err := f.Publish(ctx, fmt.Sprint("change at ", start.UnixNano()))
	if err != nil {
		return 0, err
	}
	for storeDown && ctx.Err() == nil {
		some := false
		for _, m := range f.members {
			some = some || int(m.version.Load()) >= version
		}
		if some {
			f.setStoreDown(true)
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, err = f.waitForAll(ctx, 2*MaxPropagationDelay, func(m *member) bool { return int(m.version.Load()) >= version })
	return time.Since(start), err
}

func (m *member) hostState(name string) string {
	for _, h := range m.view.Load().Hosts {
		if h.Name == name {
			return h.State
		}
	}
	return ""
}
