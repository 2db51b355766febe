package measurer

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dogwoodweir/dogwoodweir/detector"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

// Options are the settings of a Fleet.
type Options struct {
	// FailureDomains is the number of failure domains, two to a region.
	FailureDomains int
	// Hosts and Targets are the numbers of daemons and targets over all domains.
	Hosts, Targets int
	// ListInterval is the interval between reads of the host list.
	ListInterval time.Duration
}

// Fleet runs the control logic of a deployment in one process.
type Fleet struct {
	options Options
	network *messenger.MemoryNetwork
	tables  *emulator.TableStore
	list    *emulator.HostList
	members []*member
	tasks   *conc.WaitGroup
	cancel  context.CancelFunc
}

// NewFleet publishes a first configuration and starts a fleet; call Close when done
// with it.
func NewFleet(ctx context.Context, options Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{
		options: options, network: messenger.NewMemoryNetwork(), tasks: conc.NewWaitGroup(), cancel: cancel,
		tables: emulator.NewTableStore(emulator.TableStoreOptions{}, emulator.NewFaults(1)),
	}
	var places []provider.Member
	for i := range options.Hosts {
		places = append(places, f.newEntry(fmt.Sprintf("host-%03d", i), i, "daemon"))
	}
	all := places
	for i := range options.Targets {
		all = append(all, f.newEntry(fmt.Sprintf("runner-%04d", i), i, "drafter"))
	}
	f.list = emulator.NewHostList(all)
	if _, err := f.Publish(ctx, "first"); err != nil {
		cancel()
		return nil, err
	}
	for i, place := range places {
		m := newMember(ctx, f, place, i)
		f.members = append(f.members, m)
		listener := f.network.Listen(place.Address)
		f.tasks.Go(func() { f.serve(m, listener) })
	}
	for _, m := range f.members {
		f.tasks.Go(m.run)
	}
	return f, nil
}

func (f *Fleet) serve(m *member, listener net.Listener) {
	// Serve returns nil when the messenger is closed.
	_ = m.messenger.Serve(listener)
}

func (f *Fleet) newEntry(name string, i int, role string) provider.Member {
	domain := i % f.options.FailureDomains
	return provider.Member{
		Host: name, Address: "10.0.0.1:" + name, FailureDomain: fmt.Sprintf("domain-%d", domain),
		Region: fmt.Sprintf("region-%d", domain/2), Role: role,
	}
}

// Publish publishes a changed configuration and returns its version. The change is
// a drain of one host, with the given reason.
func (f *Fleet) Publish(ctx context.Context, reason string) (int, error) {
	store := publisher.New(f.tables.ForCaller("operator"), wallClock{})
	document, err := store.Document(ctx)
	if err != nil {
		return 0, err
	}
	return store.Publish(ctx, publisher.Proposal{
		From: document.Version, Operator: "operator", Action: publisher.ActionDrain,
		Document: publisher.WithDrain(document, "drained-host", reason),
	})
}

// Close stops all members and waits until they have ended.
func (f *Fleet) Close() {
	f.cancel()
	for _, m := range f.members {
		m.messenger.Close()
	}
	f.tasks.Wait()
	for _, m := range f.members {
		m.tasks.Wait()
	}
}

// setStoreDown sets whether the store is unreachable for all members.
func (f *Fleet) setStoreDown(down bool) {
	for _, m := range f.members {
		f.tables.Faults().SetIsolated(m.self.Host, down)
	}
}

// partitionDomains blocks or restores connections between two failure domains in both
// directions.
func (f *Fleet) partitionDomains(a, b string, blocked bool) {
	for _, x := range f.members {
		for _, y := range f.members {
			if x.self.FailureDomain == a && y.self.FailureDomain == b {
				f.network.SetBlocked(x.self.Address, y.self.Address, blocked)
				f.network.SetBlocked(y.self.Address, x.self.Address, blocked)
			}
		}
	}
}

// waitForAll polls until the condition holds for all members and returns the time
// that this took. It returns an error once the limit has passed or ctx has ended.
func (f *Fleet) waitForAll(ctx context.Context, limit time.Duration, condition func(*member) bool) (time.Duration, error) {
	start := time.Now()
	for {
		missing := 0
		for _, m := range f.members {
			if !condition(m) {
				missing++
			}
		}
		took := time.Since(start)
		if missing == 0 {
			return took, nil
		}
		if took > limit || ctx.Err() != nil {
			return took, fmt.Errorf("%d of %d daemons lack the news after %v", missing, len(f.members), took.Round(time.Millisecond))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// acceptsNewWork reports whether the member would send new calls to a target.
func (m *member) acceptsNewWork(target string) bool {
	for _, t := range m.view.Load().Targets {
		if t.Name == target {
			return t.State != detector.Leaving && t.State != detector.Gone && t.State != detector.Unreachable
		}
	}
	return false
}

// settled reports whether a member has a configuration, sees every host as ready
// and has every target in its view.
func (f *Fleet) settled(m *member) bool {
	view := m.view.Load()
	if m.version.Load() == 0 || len(view.Hosts) != f.options.Hosts || len(view.Targets) != f.options.Targets {
		return false
	}
	for _, h := range view.Hosts {
		if h.State != detector.Ready {
			return false
		}
	}
	return true
}
