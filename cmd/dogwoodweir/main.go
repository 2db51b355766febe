// Command dogwoodweir is the operators' tool. It checks and publishes service
// files, shows the fleet and its programs, and drains hosts.
//
// # Usage
//
//	dogwoodweir help
//	dogwoodweir publish -daemon http://127.0.0.1:7001 examples/lichtbeeld
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/dogwoodweir/dogwoodweir/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := commander.Run(ctx, commander.NewEnvironment(os.Stdout, os.Stderr, os.Getenv), os.Args)
	stop()
	os.Exit(code)
}
