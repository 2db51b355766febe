// Command dogwoodweir is the operators' tool. It checks and publishes service
// files, shows the fleet and its programs, and drains hosts. It also checks the
// configuration of the entry daemons.
//
// # Usage
//
//	dogwoodweir help
//	dogwoodweir check -in-force version-41.json version-42.json
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
