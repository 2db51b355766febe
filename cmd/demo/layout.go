package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Keys of the demonstration. They give access to its own processes on loopback only.
const (
	operatorKey = "demo-operator-key"
	peerToken   = "demo-platform-token"
)

var callerKeys = map[string]string{"lichtbeeld": "demo-lichtbeeld-key", "wickramasinghe": "demo-wickramasinghe-key"}

var domains = []parser.Domain{
	{Name: "nl-ams", Region: "nl"}, {Name: "nl-ehv", Region: "nl"}, {Name: "de-fra", Region: "de"},
}

// daemon is one daemon of the demonstration.
type daemon struct {
	name, domain, region                       string
	callerAddress, peerAddress, metricsAddress string
	settingsFile                               string
}

// target is one target with the options of the stand-in that emulates it.
type target struct {
	provider.Member
	Engine  map[string]any `json:"engine,omitempty"`
	Service map[string]any `json:"service,omitempty"`
}

// layout has the addresses and the settings files of all processes.
type layout struct {
	daemons         []daemon
	targets         []target
	storeAddress    string
	hostListAddress string
	standinsFile    string
}

// services are the services of both users, with the number of targets of each.
var services = []struct {
	role, model, adapter string
	count                int
	checksFencing        bool
	lookupByKey          bool
}{
	{role: "drafter", model: "draft-7b", adapter: "invoice", count: 9, checksFencing: true},
	{role: "ledger", count: 3, lookupByKey: true},
	{role: "quote-models", model: "quote-8b", count: 12},
	{role: "workshop-app", count: 5},
}

// newLayout assigns a free address to every listener and writes the settings files to a
// directory.
func newLayout(directory string) (*layout, error) {
	l := &layout{standinsFile: filepath.Join(directory, "standins.json")}
	addresses := []*string{&l.storeAddress, &l.hostListAddress}
	for _, domain := range domains {
		l.daemons = append(l.daemons, daemon{
			name: domain.Name + "-1", domain: domain.Name, region: domain.Region,
			settingsFile: filepath.Join(directory, domain.Name+".json"),
		})
	}
	for i := range l.daemons {
		addresses = append(addresses, &l.daemons[i].callerAddress, &l.daemons[i].peerAddress, &l.daemons[i].metricsAddress)
	}
	l.addTargets()
	for i := range l.targets {
		addresses = append(addresses, &l.targets[i].Address)
	}
	for _, address := range addresses {
		free, err := emulator.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return l, l.writeSettings()
}

// addTargets adds the targets of each service, spread evenly over the failure domains.
func (l *layout) addTargets() {
	for _, s := range services {
		for i := range s.count {
			domain := domains[i%len(domains)]
			t := target{Member: provider.Member{
				Host: fmt.Sprintf("%s-%d", s.role, i+1), FailureDomain: domain.Name, Region: domain.Region, Role: s.role,
			}}
			if s.model != "" {
				t.Engine = map[string]any{"models": []string{s.model}, "checksFencing": s.checksFencing, "maxConcurrency": 32, "totalBlocks": 2048}
				if s.adapter != "" {
					t.Engine["adapters"] = []string{s.adapter}
				}
			} else {
				t.Service = map[string]any{"lookupByKey": s.lookupByKey, "delayMs": 15}
			}
			l.targets = append(l.targets, t)
		}
	}
}

// newKey returns the settings entry of a key, which has its hash only.
func newKey(client, role, key string) parser.Key {
	sum := sha256.Sum256([]byte(key))
	return parser.Key{Client: client, Role: role, SHA256: hex.EncodeToString(sum[:])}
}

// writeSettings writes the settings of all processes.
func (l *layout) writeSettings() error {
	var members []provider.Member
	for _, d := range l.daemons {
		members = append(members, d.member())
		settings := parser.Settings{
			Host: d.name, FailureDomain: d.domain, Region: d.region,
			CallerAddress: d.callerAddress, PeerAddress: d.peerAddress, MetricsAddress: d.metricsAddress,
			Platform: parser.Platform{Tables: "http://" + l.storeAddress, Objects: "http://" + l.storeAddress, HostList: l.hostListURL(), Token: peerToken},
			Domains:  domains, LogLevel: "info",
			Keys: []parser.Key{newKey("demo", parser.RoleOperator, operatorKey)},
			// Held memory is audited more often than by default, so that the report
			// does not wait long for its release.
			Timing: parser.Timing{AuditIntervalMs: 2_000},
		}
		for client, key := range callerKeys {
			settings.Keys = append(settings.Keys, newKey(client, parser.RoleCaller, key))
		}
		if err := writeJSON(d.settingsFile, settings); err != nil {
			return err
		}
	}
	return writeJSON(l.standinsFile, map[string]any{
		"store": l.storeAddress, "hostList": l.hostListAddress, "targets": l.targets, "daemons": members,
	})
}

func (d daemon) member() provider.Member {
	return provider.Member{Host: d.name, Address: d.peerAddress, FailureDomain: d.domain, Region: d.region, Role: "daemon"}
}

func writeJSON(path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

func (l *layout) hostListURL() string { return "http://" + l.hostListAddress }

// scheduleHostRemoval removes a failed host from the host list after 5 s, as a platform
// does.
func (l *layout) scheduleHostRemoval(ctx context.Context, d daemon) {
	time.AfterFunc(5*time.Second, func() {
		request, err := http.NewRequestWithContext(ctx, http.MethodDelete, l.hostListURL()+"/v1/hosts/"+d.name, nil)
		if err != nil {
			return
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	})
}

// waitForShards waits until every shard has an owner and prints the number of shards of
// each daemon.
func (l *layout) waitForShards(ctx context.Context) error {
	total := len(domains) * parser.DefaultShardsPerDomain
	for {
		owned, text := 0, ""
		for _, d := range l.daemons {
			var status struct{ Shards int }
			if err := getJSON(ctx, "http://"+d.callerAddress+"/admin/v1/status", operatorKey, &status); err == nil {
				owned += status.Shards
				text += fmt.Sprintf(" %s %d", d.name, status.Shards)
			}
		}
		if owned >= total {
			fmt.Println("shards:" + text)
			return nil
		}
		emulator.Sleep(ctx, 100*time.Millisecond)
		if ctx.Err() != nil {
			return fmt.Errorf("wait for shards: %d of %d have an owner", owned, total)
		}
	}
}

// waitUntilOK waits up to 20 s until a GET of a URL returns status 200.
func waitUntilOK(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		err := getJSON(ctx, url, "", nil)
		if err == nil {
			return nil
		}
		emulator.Sleep(ctx, 50*time.Millisecond)
		if ctx.Err() != nil {
			return fmt.Errorf("%s not ready: %w", url, err)
		}
	}
}

// getJSON decodes the response to a GET into result, unless result is nil. It fails if
// the status is not 200.
func getJSON(ctx context.Context, url, key string, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", url, response.StatusCode, bytes.TrimSpace(data))
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}
