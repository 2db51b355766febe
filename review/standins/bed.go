package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// bed is a small installation: a store with a manifest, runners and daemons.
type bed struct {
	record  *record
	network *network
	folder  string
	store   *store
	runners []*runner
	daemons []*daemon
	stops   []func()
	quit    chan struct{}
}

// newBed starts the store and writes the manifest of the case.
func newBed(r *record, caseFolder string) (*bed, error) {
	b := &bed{record: r, quit: make(chan struct{})}
	var err error
	if b.network, err = newNetwork(); err != nil {
		return nil, err
	}
	if b.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	s, stop, err := newStore(r, fmt.Sprintf("%s:%d", b.network.next(), storePort))
	if err != nil {
		return nil, err
	}
	b.store, b.stops = s, append(b.stops, stop)
	manifest, err := os.ReadFile(filepath.Join(caseFolder, "manifest.json"))
	if err != nil {
		return nil, err
	}
	s.put(operatorTable, "config", manifest)
	return b, nil
}

func (b *bed) addRunner(service, zone string, events int, gap time.Duration) error {
	n, stop, err := newRunner(b.record, fmt.Sprintf("i-%d", len(b.runners)+1), fmt.Sprintf("%s:%d", b.network.next(), runnerPort), events, gap)
	if err != nil {
		return err
	}
	b.runners, b.stops = append(b.runners, n), append(b.stops, stop)
	n.register(b.store, service, zone, 32, b.quit)
	return nil
}

// startDaemon starts a daemon and waits until it is ready.
func (b *bed) startDaemon(ctx context.Context, host, zone string) (*daemon, error) {
	d, err := newDaemon(b.network, b.folder, host, zone, b.store.address)
	if err != nil {
		return nil, err
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	b.daemons = append(b.daemons, d)
	b.record.line("machine   %s starts at %s", d.name, d.ip)
	return d, d.awaitReady(ctx)
}

// runsOf returns the runs of a request.
func (b *bed) runsOf(id string) []*run {
	var runs []*run
	for _, n := range b.runners {
		for _, x := range n.allRuns() {
			if x.id == id {
				runs = append(runs, x)
			}
		}
	}
	return runs
}

// close ends all processes and servers that the case started.
func (b *bed) close() {
	close(b.quit)
	for _, d := range b.daemons {
		d.kill()
	}
	for _, stop := range b.stops {
		stop()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs are in", b.folder)
		return
	}
	_ = os.RemoveAll(b.folder)
}
