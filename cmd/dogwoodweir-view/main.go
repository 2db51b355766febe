// Command dogwoodweir-view shows operators the content of the store on the users' platform.
// It reads the store directly, so that it works while no daemon runs.
//
// # Usage
//
//	dogwoodweir-view -store 10.200.1.7:8142 targets
//	dogwoodweir-view -settings FILE configuration
//	dogwoodweir-view -settings FILE daemons
//	dogwoodweir-view -settings FILE quotas
//	dogwoodweir-view -settings FILE quotaholders
//	dogwoodweir-view -settings FILE program NAME
//	dogwoodweir-view -settings FILE turn ID
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/google/subcommands"

	"github.com/dogwoodweir/dogwoodweir/platform"
	"github.com/dogwoodweir/dogwoodweir/viewer"
)

// commandTimeout limits the duration of one command.
const commandTimeout = 10 * time.Second

// command is a subcommand that runs one query on the store.
type command struct {
	name, synopsis string
	// argument is the name of the command's argument in its usage, empty for none.
	argument string
	query    func(ctx context.Context, v *viewer.Viewer, argument string) (*viewer.Table, error)
	settings *string
	store    *string
}

func (c *command) Name() string           { return c.name }
func (c *command) Synopsis() string       { return c.synopsis }
func (c *command) SetFlags(*flag.FlagSet) {}
func (c *command) Usage() string {
	return fmt.Sprintf("%s %s\n  %s\n", c.name, c.argument, c.synopsis)
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if (c.argument == "") != (flags.NArg() == 0) || flags.NArg() > 1 {
		fmt.Fprint(os.Stderr, "usage: dogwoodweir-view "+c.Usage())
		return subcommands.ExitUsageError
	}
	address := *c.store
	if address == "" {
		settings, err := platform.ReadSettings(*c.settings)
		if err != nil {
			fmt.Fprintln(os.Stderr, "dogwoodweir-view:", err)
			return subcommands.ExitUsageError
		}
		address = settings.Store.Address
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	table, err := c.query(ctx, viewer.New(platform.NewStore(address), platform.Catalog{}), flags.Arg(0))
	if err == nil {
		err = table.Write(os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "dogwoodweir-view:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// withoutArgument adapts a query that takes no argument.
func withoutArgument(query func(*viewer.Viewer, context.Context) (*viewer.Table, error)) func(context.Context, *viewer.Viewer, string) (*viewer.Table, error) {
	return func(ctx context.Context, v *viewer.Viewer, _ string) (*viewer.Table, error) { return query(v, ctx) }
}

func main() {
	settings := flag.String("settings", platform.SettingsPath(), "settings file of a daemon, for the store's address")
	store := flag.String("store", "", "address of the store, instead of a settings file")
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, c := range []*command{
		{name: "configuration", synopsis: "routes of the newest configuration", query: withoutArgument((*viewer.Viewer).Configuration)},
		{name: "targets", synopsis: "targets as they have registered", query: withoutArgument((*viewer.Viewer).Targets)},
		{name: "daemons", synopsis: "daemons as they have registered", query: withoutArgument((*viewer.Viewer).Daemons)},
		{name: "owners", synopsis: "owners of the second halves of budgets", query: withoutArgument((*viewer.Viewer).Owners)},
		{name: "quotas", synopsis: "fractions of the quotas that daemons hold", query: withoutArgument((*viewer.Viewer).Quotas)},
		{name: "quotaholders", synopsis: "daemons that may hold fractions of quotas", query: withoutArgument((*viewer.Viewer).QuotaHolders)},
		{name: "program", argument: "NAME", synopsis: "budget of a program", query: func(ctx context.Context, v *viewer.Viewer, name string) (*viewer.Table, error) {
			return v.Program(ctx, name)
		}},
		{name: "turn", argument: "ID", synopsis: "a turn and the chain before it", query: func(ctx context.Context, v *viewer.Viewer, id string) (*viewer.Table, error) {
			return v.Turn(ctx, id)
		}},
	} {
		c.settings, c.store = settings, store
		subcommands.Register(c, "")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
