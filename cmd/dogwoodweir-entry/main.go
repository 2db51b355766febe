// Command dogwoodweir-entry is the daemon of an entry host on the users' platform.
//
// # Usage
//
//	dogwoodweir-entry                  serves until SIGTERM
//	dogwoodweir-entry -check           checks the settings and exits
//	dogwoodweir-entry -settings FILE   reads the settings from FILE
//	dogwoodweir-entry -metrics PORT    serves metrics on the port
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/assembler"
	"github.com/dogwoodweir/dogwoodweir/platform"
)

const (
	// softMemoryShare of the memory limit makes the collector work harder.
	softMemoryShare = 0.5
	// collectorPercent trades processor time for memory, which costs more.
	collectorPercent = 40
	// settingsInterval is the interval at which the settings file is looked at.
	settingsInterval = 2 * time.Second
)

// modified returns the time of the file's last change, zero when there is no file.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func main() {
	path := flag.String("settings", platform.SettingsPath(), "settings file")
	check := flag.Bool("check", false, "check the settings and exit")
	metrics := flag.Int("metrics", 0, "port of the metrics, 0 for none")
	flag.Parse()
	if err := run(*path, *metrics, *check); err != nil {
		fmt.Fprintln(os.Stderr, "dogwoodweir-entry:", err)
		os.Exit(1)
	}
}

func run(path string, metrics int, check bool) error {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if check {
		fmt.Printf("%s: settings of host %s are valid\n", path, settings.Host)
		return nil
	}
	settings.MetricsPort = metrics
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(softMemoryShare * float64(settings.MemoryLimitBytes)))
	log, flush := assembler.NewLogger(os.Stdout)
	defer flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	store := platform.NewStore(settings.Store.Address)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go reload(ctx, hangup, path, store, log)
	adapter := assembler.Dependencies{Store: store, Catalog: platform.Catalog{}, Dialect: platform.Dialect{}}
	return assembler.New(settings, adapter, log).Run(ctx)
}

// reload reads the settings again at each SIGHUP, and when the file has changed without a
// signal. Only the store's address can change while the daemon runs.
func reload(ctx context.Context, hangup <-chan os.Signal, path string, store *platform.Store, log *zap.Logger) {
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	read := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-tick.C:
			if !modified(path).After(read) {
				continue
			}
		}
		read = modified(path)
		settings, err := platform.ReadSettings(path)
		if err != nil {
			log.Error("settings not reloaded", zap.Error(err))
			continue
		}
		store.SetAddress(settings.Store.Address)
		log.Info("settings reloaded", zap.String("store", settings.Store.Address))
	}
}
