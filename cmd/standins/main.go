// Command standins serves stand-ins for the services of a platform in one process,
// each on its own loopback port, for demonstrations and manual tests.
//
// # Usage
//
//	standins -config FILE
//
// The file is JSON. It holds the addresses of the store, the host list and the weight
// store, the targets, and the daemons that are on the host list at the start.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// config is the content of the configuration file.
type config struct {
	Store    string `json:"store"`
	HostList string `json:"hostList"`
	Weights  string `json:"weights,omitempty"`
	// WeightsPerSec is the rate limit of the weight store in fetches per second.
	WeightsPerSec float64           `json:"weightsPerSec,omitempty"`
	Targets       []target          `json:"targets"`
	Daemons       []provider.Member `json:"daemons"`
}

// target is a member of the host list with the options of its stand-in. Exactly one
// of Engine and Service is set.
type target struct {
	provider.Member
	Engine  *emulator.EngineOptions  `json:"engine,omitempty"`
	Service *emulator.ServiceOptions `json:"service,omitempty"`
}

func main() {
	path := flag.String("config", "", "configuration file (JSON)")
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var c config
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p := &platform{}
	defer p.close()
	if err := p.start(c); err != nil {
		return err
	}
	fmt.Println("ready")
	<-ctx.Done()
	return nil
}

// platform runs the stand-ins until close.
type platform struct {
	group   conc.WaitGroup
	closers []func()
}

func (p *platform) close() {
	for _, c := range p.closers {
		c()
	}
	p.group.Wait()
}

func (p *platform) start(c config) error {
	tables := emulator.NewTableStore(emulator.TableStoreOptions{}, emulator.NewFaults(1))
	objects := emulator.NewObjectStore(emulator.NewFaults(2))
	if err := p.serveStore(c.Store, emulator.NewStoreServer(tables, objects)); err != nil {
		return err
	}
	weights := emulator.NewWeightStore(max(c.WeightsPerSec, 1), 4)
	if c.Weights != "" {
		if err := p.serve(c.Weights, weights.Handler()); err != nil {
			return err
		}
	}
	members := c.Daemons
	ledgers := map[string]*emulator.Ledger{}
	for _, t := range c.Targets {
		members = append(members, t.Member)
		if err := p.startTarget(t, ledgers, weights, objects); err != nil {
			return err
		}
	}
	return p.serve(c.HostList, emulator.NewHostList(members).Handler())
}

func (p *platform) startTarget(t target, ledgers map[string]*emulator.Ledger, weights *emulator.WeightStore, objects *emulator.ObjectStore) error {
	switch {
	case t.Engine != nil:
		options := *t.Engine
		options.Name, options.Weights, options.Objects = t.Host, weights, objects.ForCaller(t.Host)
		engine := emulator.NewEngine(options)
		p.closers = append(p.closers, engine.Close)
		return p.serve(t.Address, engine.Handler())
	case t.Service != nil:
		if ledgers[t.Role] == nil {
			ledgers[t.Role] = emulator.NewLedger()
		}
		options := *t.Service
		options.Name = t.Host
		service := emulator.NewService(options, ledgers[t.Role])
		p.closers = append(p.closers, service.Close)
		return p.serve(t.Address, service.Handler())
	}
	return fmt.Errorf("target %s: neither engine nor service is set", t.Host)
}

func (p *platform) serve(address string, app *fiber.App) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.group.Go(func() { _ = app.Listener(listener) })
	p.closers = append(p.closers, func() { _ = app.ShutdownWithTimeout(time.Second) })
	return nil
}

func (p *platform) serveStore(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	store := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	p.group.Go(func() {
		if err := store.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, "standins: store:", err)
		}
	})
	p.closers = append(p.closers, func() { _ = store.Close() })
	return nil
}
