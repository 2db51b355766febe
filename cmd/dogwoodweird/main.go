// Command dogwoodweird runs the daemon.
//
// # Usage
//
//	dogwoodweird -settings FILE          serves until SIGTERM
//	dogwoodweird -settings FILE -check   checks the settings and exits
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/controller"
	"github.com/dogwoodweir/dogwoodweir/parser"
)

func main() {
	path := flag.String("settings", "", "settings file (JSON)")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	if err := run(*path, *check); err != nil {
		fmt.Fprintln(os.Stderr, "dogwoodweird:", err)
		os.Exit(1)
	}
}

func run(path string, check bool) error {
	settings, err := parser.LoadSettings(path)
	if err != nil {
		return err
	}
	if check {
		fmt.Printf("%s: settings of host %s are valid\n", path, settings.Host)
		return nil
	}
	logger, err := newLogger(settings.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	daemon, err := controller.New(settings, controller.NewPlatform(settings), logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return daemon.Run(ctx)
}

// newLogger returns a JSON logger without stack traces.
func newLogger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	config.Level = parsed
	config.DisableStacktrace = true
	return config.Build()
}
