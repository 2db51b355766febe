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
	// softMemoryFraction is the fraction of the memory limit above which the garbage
	// collector runs more often.
	softMemoryFraction = 0.5
	// gcPercent is the garbage collection target. A low value spends processor time to
	// save memory, which costs more.
	gcPercent = 40
	// settingsPollInterval is the interval at which the settings file is checked for
	// changes.
	settingsPollInterval = 2 * time.Second
)

// modificationTime returns the modification time of a file, zero if it cannot be read.
func modificationTime(path string) time.Time {
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
	shareLoad := flag.Bool("share-load", false, "place calls by the load that the daemons of a failure domain report to each other; the same on all hosts")
	ownSecondRows := flag.Bool("own-second-rows", false, "grant second halves of budgets through owners, also while the store is unavailable; the same on all hosts")
	flag.Parse()
	setFlags := func(s *assembler.Settings) {
		s.MetricsPort, s.ShareLoad, s.OwnSecondRows = *metrics, *shareLoad, *ownSecondRows
	}
	if err := run(*path, *check, setFlags); err != nil {
		fmt.Fprintln(os.Stderr, "dogwoodweir-entry:", err)
		os.Exit(1)
	}
}

// run runs a daemon with the settings of a file and those that the flags set.
func run(path string, check bool, setFlags func(*assembler.Settings)) error {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if check {
		fmt.Printf("%s: settings of host %s are valid\n", path, settings.Host)
		return nil
	}
	setFlags(&settings)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(softMemoryFraction * float64(settings.MemoryLimitBytes)))
	log, flush := assembler.NewLogger(os.Stdout)
	defer flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	store := platform.NewStore(settings.Store.Address)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go reload(ctx, hangup, path, store, log)
	dependencies := assembler.Dependencies{Store: store, Catalog: platform.Catalog{}, Dialect: platform.Dialect{}}
	return assembler.New(settings, dependencies, log).Run(ctx)
}

// reload reads the settings again on SIGHUP and when the file has changed. Only a change of
// the store's address takes effect while the daemon runs.
func reload(ctx context.Context, hangup <-chan os.Signal, path string, store *platform.Store, log *zap.Logger) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	lastModified := modificationTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-tick.C:
			if !modificationTime(path).After(lastModified) {
				continue
			}
		}
		lastModified = modificationTime(path)
		settings, err := platform.ReadSettings(path)
		if err != nil {
			log.Error("settings not reloaded; keeping the store address", zap.Error(err))
			continue
		}
		store.SetAddress(settings.Store.Address)
		log.Info("settings reloaded", zap.String("store", settings.Store.Address))
	}
}
