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

// Keys of the demonstration; they give access to loopback addresses only.
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
	name, domain, region  string
	caller, peer, metrics string
	settingsFile          string
}

// target is one target with the options of its stand-in.
type target struct {
	provider.Member
	Engine  map[string]any `json:"engine,omitempty"`
	Service map[string]any `json:"service,omitempty"`
}

// layout has the addresses and files of all processes.
type layout struct {
	daemons      []daemon
	targets      []target
	store        string
	hostList     string
	standinsFile string
}

// services are the services of both users with their number of targets.
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

func newLayout(directory string) (*layout, error) {
	l := &layout{standinsFile: filepath.Join(directory, "standins.json")}
	addresses := []*string{&l.store, &l.hostList}
	for _, domain := range domains {
		l.daemons = append(l.daemons, daemon{
			name: domain.Name + "-1", domain: domain.Name, region: domain.Region,
			settingsFile: filepath.Join(directory, domain.Name+".json"),
		})
	}
	for i := range l.daemons {
		addresses = append(addresses, &l.daemons[i].caller, &l.daemons[i].peer, &l.daemons[i].metrics)
	}
	l.placeTargets()
	for i := range l.targets {
		addresses = append(addresses, &l.targets[i].Address)
	}
	for _, address := range addresses {
		next, err := emulator.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = next
	}
	return l, l.write()
}

// placeTargets spreads the targets of each service over the failure domains.
func (l *layout) placeTargets() {
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

func keyOf(client, role, key string) parser.Key {
	sum := sha256.Sum256([]byte(key))
	return parser.Key{Client: client, Role: role, SHA256: hex.EncodeToString(sum[:])}
}

// write writes the settings of all processes.
func (l *layout) write() error {
	var members []provider.Member
	for _, d := range l.daemons {
		members = append(members, d.member())
		settings := parser.Settings{
			Host: d.name, FailureDomain: d.domain, Region: d.region,
			CallerAddress: d.caller, PeerAddress: d.peer, MetricsAddress: d.metrics,
			Platform: parser.Platform{Tables: "http://" + l.store, Objects: "http://" + l.store, HostList: l.hostListURL(), Token: peerToken},
			Domains:  domains, LogLevel: "info",
			Keys: []parser.Key{keyOf("demo", parser.RoleOperator, operatorKey)},
			// Held memory is audited more often than by default, so that the report
			// does not have to wait for it.
			Timing: parser.Timing{AuditIntervalMs: 2_000},
		}
		for client, key := range callerKeys {
			settings.Keys = append(settings.Keys, keyOf(client, parser.RoleCaller, key))
		}
		if err := writeJSON(d.settingsFile, settings); err != nil {
			return err
		}
	}
	return writeJSON(l.standinsFile, map[string]any{
		"store": l.store, "hostList": l.hostList, "targets": l.targets, "daemons": members,
	})
}

func (d daemon) member() provider.Member {
	return provider.Member{Host: d.name, Address: d.peer, FailureDomain: d.domain, Region: d.region, Role: "daemon"}
}

func writeJSON(path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

func (l *layout) hostListURL() string { return "http://" + l.hostList }

// platformRemoves takes a dead host off the list after a while, as a platform does.
func (l *layout) platformRemoves(ctx context.Context, d daemon) {
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

// waitForShards waits until every shard has an owner and prints who owns how many.
func (l *layout) waitForShards(ctx context.Context) error {
	want := len(domains) * parser.DefaultShardsPerDomain
	for {
		owned, text := 0, ""
		for _, d := range l.daemons {
			var status struct{ Shards int }
			if err := getJSON(ctx, "http://"+d.caller+"/admin/v1/status", operatorKey, &status); err == nil {
				owned += status.Shards
				text += fmt.Sprintf(" %s %d", d.name, status.Shards)
			}
		}
		if owned >= want {
			fmt.Println("shards:" + text)
			return nil
		}
		emulator.Sleep(ctx, 100*time.Millisecond)
		if ctx.Err() != nil {
			return fmt.Errorf("only %d of %d shards have an owner", owned, want)
		}
	}
}

// waitFor waits until a URL answers 200.
func waitFor(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		err := getJSON(ctx, url, "", nil)
		if err == nil {
			return nil
		}
		emulator.Sleep(ctx, 50*time.Millisecond)
		if ctx.Err() != nil {
			return fmt.Errorf("%s did not get ready: %w", url, err)
		}
	}
}

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
