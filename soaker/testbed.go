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

// Timing of the daemons. The durations are shorter than the defaults, so that a run has many
// takeovers.
const (
	leaseDuration = 900 * time.Millisecond
	auditInterval = time.Second
	callTimeout   = 4 * time.Second
)

const (
	callerKey        = "caller-key"
	operatorKey      = "operator-key"
	modelServiceName = "drafter"
	plainServiceName = "ledger"
)

var domains = []parser.Domain{
	{Name: "nl-ams", Region: "nl"}, {Name: "nl-ehv", Region: "nl"}, {Name: "de-fra", Region: "de"},
}

// testbed holds the emulated platform, the hosts with their daemons, and the checks of a run.
type testbed struct {
	baseLogger  *zap.Logger
	tally       *tallier.Tally
	inspector   *inspector
	network     *network
	tables      *emulator.TableStore
	objects     *emulator.ObjectStore
	hostList    *emulator.HostList
	engines     []*emulator.Engine
	services    []*emulator.Service
	hosts       []*host
	deadEngine  *emulator.Engine
	deadService *emulator.Service

	mu             sync.Mutex
	finalChecks    []func()
	processNumbers map[int]int // number of the current process, by index of the engine
}

// newTestbed registers the targets, publishes the services and returns a testbed whose hosts
// are not running.
func newTestbed(options Options, t *tallier.Tally) (*testbed, error) {
	ledger := emulator.NewLedger()
	b := &testbed{
		baseLogger: options.Logger, tally: t, inspector: newInspector(t, ledger), network: newNetwork(),
		tables:   emulator.NewTableStore(emulator.TableStoreOptions{WritesPerSec: 400, ReadsPerSec: 2000}, emulator.NewFaults(options.Seed)),
		objects:  emulator.NewObjectStore(emulator.NewFaults(options.Seed)),
		hostList: emulator.NewHostList(nil), processNumbers: map[int]int{},
	}
	b.deadEngine = emulator.NewEngine(emulator.EngineOptions{Name: "none"})
	b.deadEngine.SetFaults(emulator.EngineFaults{Dead: true})
	b.deadService = emulator.NewService(emulator.ServiceOptions{Name: "none"}, ledger)
	b.deadService.SetFaults(emulator.ServiceFaults{Dead: true})
	for n := range 4 {
		name := fmt.Sprintf("drafter-%d", n)
		b.engines = append(b.engines, emulator.NewEngine(emulator.EngineOptions{
			Name: name, Models: []string{"quill"}, TokensPerSec: 2_000, ChecksFencing: n%2 == 0,
		}))
		b.registerTarget(b.runnerName(n), name, modelServiceName, n)
	}
	for n := range 3 {
		name := fmt.Sprintf("ledger-%d", n)
		b.services = append(b.services, emulator.NewService(emulator.ServiceOptions{Name: name, LookupByKey: true}, ledger))
		b.registerTarget(name, name, plainServiceName, n)
	}
	if err := b.publishServices(); err != nil {
		return nil, err
	}
	for n := range options.Hosts {
		h, err := b.newHost(n)
		if err != nil {
			return nil, err
		}
		b.hosts = append(b.hosts, h)
	}
	return b, nil
}

// registerTarget adds the target with number n to the host list.
func (b *testbed) registerTarget(name, address, role string, n int) {
	domain := domains[n%len(domains)]
	b.hostList.Put(provider.Member{Host: name, Address: address, FailureDomain: domain.Name, Region: domain.Region, Role: role})
}

// engineAt returns the engine at the address, or a dead engine if the address is not that of an
// engine.
func (b *testbed) engineAt(address string) *emulator.Engine {
	for _, engine := range b.engines {
		if engine.Name() == address {
			return engine
		}
	}
	return b.deadEngine
}

// serviceAt returns the plain service at the address, or a dead one if there is none.
func (b *testbed) serviceAt(address string) *emulator.Service {
	for n, service := range b.services {
		if address == fmt.Sprintf("ledger-%d", n) {
			return service
		}
	}
	return b.deadService
}

// publishServices publishes the first configuration, with one model service and one plain
// service.
func (b *testbed) publishServices() error {
	model := encoder.Service{
		Name: modelServiceName, Workspace: "lichtbeeld", Kind: "model", Models: []encoder.Model{{Name: "quill"}},
		Timeouts: &encoder.Timeouts{CallMs: int(callTimeout.Milliseconds()), SilenceMs: 1_000},
	}
	plain := encoder.Service{
		Name: plainServiceName, Workspace: "lichtbeeld", Kind: "plain", NonRepeatable: []encoder.Pattern{{Path: "/invoices"}},
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

// newHost returns the stopped host with number n. All its runs use the same loopback addresses.
func (b *testbed) newHost(n int) (*host, error) {
	domain := domains[n%len(domains)]
	h := &host{testbed: b, name: fmt.Sprintf("%s-%d", domain.Name, n/len(domains)+1), domain: domain.Name}
	settings := parser.Settings{
		Host: h.name, FailureDomain: domain.Name, Region: domain.Region,
		Platform: parser.Platform{Tables: "memory", Objects: "memory", HostList: "memory", Token: "platform"},
		Domains:  domains, ShardsPerDomain: 4,
		Keys: []parser.Key{
			{Client: "members", Role: parser.RoleCaller, SHA256: hashKey(callerKey)},
			{Client: "desk", Role: parser.RoleOperator, SHA256: hashKey(operatorKey)},
		},
		Timing: parser.Timing{
			LeaseDurationMs: int(leaseDuration.Milliseconds()), HeartbeatIntervalMs: 200, ConfigPollIntervalMs: 500, HostListIntervalMs: 300,
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
	b.network.hostNames[settings.PeerAddress] = h.name
	return h, err
}

// hashKey returns the hash under which the settings list an API key.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// restore clears the faults of the store, the host list and the targets, and starts all
// stopped hosts. Pauses and network faults must have ended.
func (b *testbed) restore() {
	b.tables.Faults().Clear()
	b.objects.Faults().Clear()
	b.hostList.SetFaults(emulator.HostListFaults{})
	for _, engine := range b.engines {
		engine.SetFaults(emulator.EngineFaults{})
	}
	for _, service := range b.services {
		service.SetFaults(emulator.ServiceFaults{})
	}
	for _, h := range b.hosts {
		h.start()
	}
}

// close kills the daemons and closes the targets.
func (b *testbed) close() {
	for _, service := range b.services {
		service.Close()
	}
	for _, h := range b.hosts {
		h.kill()
		h.group.Wait()
	}
	for _, engine := range append(b.engines, b.deadEngine) {
		engine.Close()
	}
	b.deadService.Close()
}
