package soaker

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/publisher"
	"github.com/dogwoodweir/dogwoodweir/tallier"
)

// Timing of the daemons: shorter than the defaults, so that a run has many
// takeovers.
const (
	leaseTime     = 900 * time.Millisecond
	auditInterval = time.Second
	callTimeout   = 4 * time.Second
)

const (
	callerKey   = "caller-key"
	operatorKey = "operator-key"
	drafter     = "drafter"
	ledgerName  = "ledger"
)

var domains = []parser.Domain{
	{Name: "nl-ams", Region: "nl"}, {Name: "nl-ehv", Region: "nl"}, {Name: "de-fra", Region: "de"},
}

// bed is the platform with its hosts.
type bed struct {
	base      *zap.Logger
	tally     *tallier.Tally
	inspector *inspector
	network   *network
	tables    *emulator.TableStore
	objects   *emulator.ObjectStore
	hosts     *emulator.HostList
	engines   []*emulator.Engine
	services  []*emulator.Service
	machines  []*host
	noEngine  *emulator.Engine
	noService *emulator.Service

	mu        sync.Mutex
	atEnd     []func()
	processes map[int]int // number of the current process of each engine
}

func newBed(options Options, t *tallier.Tally) (*bed, error) {
	ledger := emulator.NewLedger()
	b := &bed{
		base: options.Logger, tally: t, inspector: newInspector(t, ledger), network: newNetwork(),
		tables:  emulator.NewTableStore(emulator.TableStoreOptions{WritesPerSec: 400, ReadsPerSec: 2000}, emulator.NewFaults(options.Seed)),
		objects: emulator.NewObjectStore(emulator.NewFaults(options.Seed)),
		hosts:   emulator.NewHostList(nil), processes: map[int]int{},
	}
	b.noEngine = emulator.NewEngine(emulator.EngineOptions{Name: "none"})
	b.noEngine.SetFaults(emulator.EngineFaults{Dead: true})
	b.noService = emulator.NewService(emulator.ServiceOptions{Name: "none"}, ledger)
	b.noService.SetFaults(emulator.ServiceFaults{Dead: true})
	for n := range 4 {
		name := fmt.Sprintf("drafter-%d", n)
		b.engines = append(b.engines, emulator.NewEngine(emulator.EngineOptions{
			Name: name, Models: []string{"quill"}, TokensPerSec: 2_000, ChecksFencing: n%2 == 0,
		}))
		b.putTarget(b.runner(n), name, drafter, n)
	}
	for n := range 3 {
		name := fmt.Sprintf("ledger-%d", n)
		b.services = append(b.services, emulator.NewService(emulator.ServiceOptions{Name: name, LookupByKey: true}, ledger))
		b.putTarget(name, name, ledgerName, n)
	}
	if err := b.publish(); err != nil {
		return nil, err
	}
	for n := range options.Hosts {
		h, err := b.newHost(n)
		if err != nil {
			return nil, err
		}
		b.machines = append(b.machines, h)
	}
	return b, nil
}

func (b *bed) putTarget(name, address, role string, n int) {
	domain := domains[n%len(domains)]
	b.hosts.Put(provider.Member{Host: name, Address: address, FailureDomain: domain.Name, Region: domain.Region, Role: role})
}

// engine returns the engine at an address. Any other address answers like a host
// that serves something else.
func (b *bed) engine(name string) *emulator.Engine {
	for _, engine := range b.engines {
		if engine.Name() == name {
			return engine
		}
	}
	return b.noEngine
}

func (b *bed) service(name string) *emulator.Service {
	for n, service := range b.services {
		if name == fmt.Sprintf("ledger-%d", n) {
			return service
		}
	}
	return b.noService
}

func (b *bed) publish() error {
	model := encoder.Service{
		Name: drafter, Workspace: "lichtbeeld", Kind: "model", Models: []encoder.Model{{Name: "quill"}},
		Timeouts: &encoder.Timeouts{CallMs: int(callTimeout.Milliseconds()), SilenceMs: 1_000},
	}
	plain := encoder.Service{
		Name: ledgerName, Workspace: "lichtbeeld", Kind: "plain", NonRepeatable: []encoder.Pattern{{Path: "/invoices"}},
		Targets:  encoder.TargetSelector{LookupByKey: true},
		Timeouts: &encoder.Timeouts{CallMs: int(callTimeout.Milliseconds()), SilenceMs: 1_000},
	}
	services := []encoder.Service{model, plain}
	for i := range services {
		parser.FillDefaults(&services[i])
	}
	_, err := publisher.New(b.tables.ForCaller("setup"), systemClock{}).Publish(context.Background(), publisher.Proposal{
		Operator: "setup", Action: publisher.ActionPublish, Document: publisher.ReplaceServices(encoder.Document{}, services, nil),
	})
	return err
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// newHost draws addresses on loopback that its runs share.
func (b *bed) newHost(n int) (*host, error) {
	domain := domains[n%len(domains)]
	h := &host{bed: b, name: fmt.Sprintf("%s-%d", domain.Name, n/len(domains)+1), domain: domain.Name}
	settings := parser.Settings{
		Host: h.name, FailureDomain: domain.Name, Region: domain.Region,
		Platform: parser.Platform{Tables: "memory", Objects: "memory", HostList: "memory", Token: "platform"},
		Domains:  domains, ShardsPerDomain: 4,
		Keys: []parser.Key{
			{Client: "members", Role: parser.RoleCaller, SHA256: hashKey(callerKey)},
			{Client: "desk", Role: parser.RoleOperator, SHA256: hashKey(operatorKey)},
		},
		Timing: parser.Timing{
			LeaseDurationMs: int(leaseTime.Milliseconds()), HeartbeatIntervalMs: 200, ConfigPollIntervalMs: 500, HostListIntervalMs: 300,
			DrainTimeoutMs: 10_000, DurabilityWaitMs: 2_000, AuditIntervalMs: int(auditInterval.Milliseconds()),
		},
	}
	for _, address := range []*string{&settings.CallerAddress, &settings.PeerAddress, &settings.MetricsAddress} {
		free, err := emulator.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	h.settings, err = parser.ParseSettings(h.name, data)
	b.network.hosts[settings.PeerAddress] = h.name
	return h, err
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// heal ends all faults and starts every host.
func (b *bed) heal() {
	b.tables.Faults().Clear()
	b.objects.Faults().Clear()
	b.hosts.SetFaults(emulator.HostListFaults{})
	for _, engine := range b.engines {
		engine.SetFaults(emulator.EngineFaults{})
	}
	for _, service := range b.services {
		service.SetFaults(emulator.ServiceFaults{})
	}
	for _, h := range b.machines {
		h.start()
	}
}

// close stops everything at once.
func (b *bed) close() {
	for _, service := range b.services {
		service.Close()
	}
	for _, h := range b.machines {
		h.kill()
		h.group.Wait()
	}
	for _, engine := range append(b.engines, b.noEngine) {
		engine.Close()
	}
	b.noService.Close()
}
