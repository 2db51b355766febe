package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/dogwoodweir/dogwoodweir/detector"
)

// MaxPropagationDelay is the bound on the time until news are known on every daemon.
const MaxPropagationDelay = 3 * time.Second

// PropagationSample is the time that one kind of news took in one situation.
type PropagationSample struct {
	Change    string        `json:"news"`
	Situation string        `json:"situation"`
	Hosts     int           `json:"hosts"`
	Took      time.Duration `json:"tookNs"`
	Error     string        `json:"error,omitempty"`
}

// String formats the timing for people.
func (t PropagationSample) String() string {
	text := fmt.Sprintf("%-36s %-34s %3d hosts %8.3f s", t.Change, t.Situation, t.Hosts, t.Took.Seconds())
	if t.Error != "" {
		text += "  " + t.Error
	}
	return text
}

// MeasurePropagation measures publishing and leaving on fleets of three failure domains:
// healthy, with the store down after the publish was accepted and one daemon has
// the version, and with two of the domains partitioned from each other.
func MeasurePropagation(ctx context.Context, hosts int) ([]PropagationSample, error) {
	var out []PropagationSample
	for _, situation := range []string{"healthy", "store down after acceptance", "two domains partitioned"} {
		timings, err := newsTimes(ctx, hosts, situation)
		if err != nil {
			return nil, err
		}
		out = append(out, timings...)
	}
	return out, nil
}

func newsTimes(ctx context.Context, hosts int, situation string) ([]PropagationSample, error) {
	f, err := NewFleet(ctx, Options{FailureDomains: 3, Hosts: hosts, Targets: 4 * hosts, ListInterval: time.Second})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if _, err := f.wait(ctx, 20*time.Second, f.settled); err != nil {
		return nil, err
	}
	if situation == "two domains partitioned" {
		f.cutDomains("domain-0", "domain-1", true)
	}
	timing := func(news string, took time.Duration, err error) PropagationSample {
		t := PropagationSample{Change: news, Situation: situation, Hosts: hosts, Took: took}
		if err != nil {
			t.Error = err.Error()
		}
		return t
	}
	took, err := f.publishTime(ctx, situation == "store down after acceptance")
	out := []PropagationSample{timing("publish to in force everywhere", took, err)}
	const target = "runner-0001"
	f.members[0].post(detector.TargetLeaving{Target: target})
	took, err = f.wait(ctx, 2*MaxPropagationDelay, func(m *member) bool { return !m.usable(target) })
	out = append(out, timing("target leaving to last new work", took, err))
	leaving := f.members[len(f.members)-1]
	leaving.post(detector.LeaveRequested{})
	took, err = f.wait(ctx, 2*MaxPropagationDelay, func(m *member) bool { return m.hostState(leaving.place.Host) == detector.Leaving })
	return append(out, timing("host leaving to last new work", took, err)), nil
}

// publishTime returns the time from the accepted publish to the version being in
// force on all members; storeDown cuts the store as soon as one of them has it.
func (f *Fleet) publishTime(ctx context.Context, storeDown bool) (time.Duration, error) {
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
			f.cutStore(true)
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, err = f.wait(ctx, 2*MaxPropagationDelay, func(m *member) bool { return int(m.version.Load()) >= version })
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
