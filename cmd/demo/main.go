// Command demo shows the main workflow on loopback. It is a developer's tool: it
// starts three daemons and the stand-ins of a platform as separate processes,
// publishes the example services, runs programs through all daemons, kills one
// daemon, drains another, and reports whether every guarantee was kept.
//
// # Usage
//
//	demo -bin bin -examples examples
//
// It exits with 1 if a guarantee was violated.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/dogwoodweir/dogwoodweir/emulator"
)

// options are the flags of the command.
type options struct {
	binaries string
	examples string
	programs int
	seed     uint64
	keepLogs bool
	// killAfter and drainAfter are the times at which a daemon is killed or drained,
	// from the start of the first program; 0 is never.
	killAfter  time.Duration
	drainAfter time.Duration
}

func main() {
	var o options
	flag.StringVar(&o.binaries, "bin", "bin", "folder of the binaries")
	flag.StringVar(&o.examples, "examples", "examples", "folder of the example services")
	flag.IntVar(&o.programs, "programs", 200, "number of programs")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the programs' shapes")
	flag.DurationVar(&o.killAfter, "kill-after", 5*time.Second, "when one daemon is killed; 0 for never")
	flag.DurationVar(&o.drainAfter, "drain-after", 14*time.Second, "when another daemon is drained; 0 for never")
	flag.BoolVar(&o.keepLogs, "keep-logs", false, "keep the logs of the processes")
	flag.Parse()
	// A write to a closed output must not end the demonstration while its processes run.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	kept, err := run(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	if !kept {
		fmt.Println("A guarantee was violated.")
		os.Exit(1)
	}
	fmt.Println("Every guarantee was kept.")
}

// startWindow is the time over which the starts of the programs are spread.
const startWindow = 18 * time.Second

// run starts all processes, runs the programs and prints the report. It returns whether
// every guarantee was kept.
func run(ctx context.Context, o options) (kept bool, err error) {
	directory, err := os.MkdirTemp("", "dogwoodweir-demo-")
	if err != nil {
		return false, err
	}
	if !o.keepLogs {
		defer func() { _ = os.RemoveAll(directory) }()
	} else {
		fmt.Println("logs:", directory)
	}
	layout, err := newLayout(directory)
	if err != nil {
		return false, err
	}
	processes := &processSet{binaries: o.binaries, directory: directory}
	defer processes.killAll()
	if err := startAll(ctx, processes, layout, o); err != nil {
		return false, err
	}
	fmt.Printf("%d daemons and %d targets run; %d programs start over %s\n",
		len(layout.daemons), len(layout.targets), o.programs, startWindow)
	w := newWorkload(layout, o)
	incidents := make(chan error, 1)
	go func() { incidents <- runIncidents(ctx, processes, layout, w, o) }()
	w.run(ctx)
	if err := <-incidents; err != nil {
		return false, err
	}
	return report(ctx, layout, w)
}

// startAll starts the processes, publishes the example services and waits until all
// daemons are ready and every shard has an owner.
func startAll(ctx context.Context, p *processSet, l *layout, o options) error {
	if err := p.start("standins", "-config", l.standinsFile); err != nil {
		return err
	}
	if err := waitUntilOK(ctx, l.hostListURL()+"/v1/hosts"); err != nil {
		return err
	}
	for _, d := range l.daemons {
		if err := p.startAs(d.name, "dogwoodweird", "-settings", d.settingsFile); err != nil {
			return err
		}
	}
	for _, d := range l.daemons {
		if err := waitUntilOK(ctx, "http://"+d.metricsAddress+"/healthz"); err != nil {
			return err
		}
	}
	if err := p.runOperatorTool(ctx, l, "publish", "-wait", o.examples+"/lichtbeeld", o.examples+"/wickramasinghe"); err != nil {
		return err
	}
	for _, d := range l.daemons {
		if err := waitUntilOK(ctx, "http://"+d.metricsAddress+"/readyz"); err != nil {
			return err
		}
	}
	return l.waitForShards(ctx)
}

// runIncidents kills one daemon and drains another while programs run.
func runIncidents(ctx context.Context, p *processSet, l *layout, w *workload, o options) error {
	started := time.Now()
	if o.killAfter > 0 {
		emulator.Sleep(ctx, o.killAfter)
		killed := l.daemons[1]
		w.addLinkBytes(ctx, killed)
		if err := p.kill(killed.name); err != nil {
			return err
		}
		l.scheduleHostRemoval(ctx, killed)
		fmt.Printf("killed %s\n", killed.name)
	}
	if o.drainAfter > 0 {
		emulator.Sleep(ctx, o.drainAfter-time.Since(started))
		drained := l.daemons[2]
		w.addLinkBytes(ctx, drained)
		signalled := time.Now()
		if err := p.terminate(ctx, drained.name, 45*time.Second); err != nil {
			w.addViolation("the drained daemon did not exit cleanly: %v", err)
			return nil
		}
		fmt.Printf("drained %s in %.1f s\n", drained.name, time.Since(signalled).Seconds())
	}
	return nil
}
