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

// Options of a Fleet.
type Options struct {
	// FailureDomains is the number of failure domains, two to a region.
	FailureDomains int
	// Hosts is the number of daemons in all domains together, Targets of targets.
	Hosts, Targets int
	// ListInterval is the interval of reads of the host list.
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

// NewFleet starts a fleet; call Close when done with it.
func NewFleet(ctx context.Context, options Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{
		options: options, network: messenger.NewMemoryNetwork(), tasks: conc.NewWaitGroup(), cancel: cancel,
		tables: emulator.NewTableStore(emulator.TableStoreOptions{}, emulator.NewFaults(1)),
	}
	var places []provider.Member
	for i := range options.Hosts {
		places = append(places, f.place(fmt.Sprintf("host-%03d", i), i, "daemon"))
	}
	all := places
	for i := range options.Targets {
		all = append(all, f.place(fmt.Sprintf("runner-%04d", i), i, "drafter"))
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
	// Serve ends with nil when the messenger is closed.
	_ = m.messenger.Serve(listener)
}

func (f *Fleet) place(name string, i int, role string) provider.Member {
	domain := i % f.options.FailureDomains
	return provider.Member{
		Host: name, Address: "10.0.0.1:" + name, FailureDomain: fmt.Sprintf("domain-%d", domain),
		Region: fmt.Sprintf("region-%d", domain/2), Role: role,
	}
}

// Publish puts a changed configuration into force and returns its version.
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

// Close stops all members.
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

// cutStore makes the store unreachable for all members.
func (f *Fleet) cutStore(cut bool) {
	for _, m := range f.members {
		f.tables.Faults().SetIsolated(m.place.Host, cut)
	}
}

// cutDomains cuts the links between two failure domains in both directions.
func (f *Fleet) cutDomains(a, b string, cut bool) {
	for _, x := range f.members {
		for _, y := range f.members {
			if x.place.FailureDomain == a && y.place.FailureDomain == b {
				f.network.SetBlocked(x.place.Address, y.place.Address, cut)
				f.network.SetBlocked(y.place.Address, x.place.Address, cut)
			}
		}
	}
}

// wait polls until the condition holds for all members and returns the time.
func (f *Fleet) wait(ctx context.Context, limit time.Duration, condition func(*member) bool) (time.Duration, error) {
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

// usable reports whether a member would send new work to a target.
func (m *member) usable(target string) bool {
	for _, t := range m.view.Load().Targets {
		if t.Name == target {
			return t.State != detector.Leaving && t.State != detector.Gone && t.State != detector.Unreachable
		}
	}
	return false
}

// settled reports whether a member has a configuration and sees every host ready.
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
