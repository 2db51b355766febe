package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/subcommands"
)

// Environment variables that set the defaults of flags.
const (
	daemonVariable = "DOGWOODWEIR_DAEMON"
	keyVariable    = "DOGWOODWEIR_KEY"
)

const defaultTimeout = 15 * time.Second

// Environment holds the outputs of the commands and their access to environment
// variables.
type Environment struct {
	out    io.Writer
	errors io.Writer
	getenv func(string) string
}

// NewEnvironment returns an environment; getenv is usually os.Getenv.
func NewEnvironment(out, errors io.Writer, getenv func(string) string) *Environment {
	return &Environment{out: out, errors: errors, getenv: getenv}
}

// Run parses the command line, runs the command and returns its exit code.
func Run(ctx context.Context, environment *Environment, arguments []string) int {
	flags := flag.NewFlagSet("dogwoodweir", flag.ContinueOnError)
	flags.SetOutput(environment.errors)
	commander := subcommands.NewCommander(flags, "dogwoodweir")
	commander.Output, commander.Error = environment.out, environment.errors
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, group := range groups() {
		for _, command := range group.commands {
			commander.Register(&commandAdapter{command: command, environment: environment}, group.name)
		}
	}
	if err := flags.Parse(arguments[1:]); err != nil {
		return int(ExitUsage)
	}
	return int(commander.Execute(ctx))
}

type group struct {
	name     string
	commands []command
}

func groups() []group {
	return []group{
		{"configuration", []command{
			validateCommand(), checkCommand(), publishCommand(), diffCommand(), historyCommand(), rollbackCommand(), auditCommand(),
		}},
		{"fleet", []command{
			statusCommand(), hostsCommand(), targetsCommand(), servicesCommand(), drainCommand(), undrainCommand(),
		}},
		{"programs", []command{programsCommand(), runCommand()}},
		{"other", []command{versionCommand()}},
	}
}

// command is one subcommand. Its run function gets an invocation with the flags that all
// commands share.
type command struct {
	name      string
	arguments string
	synopsis  string
	example   string
	flags     func(*flag.FlagSet)
	run       func(context.Context, *invocation) error
}

// invocation is one run of a command with its arguments and common flags.
type invocation struct {
	environment *Environment
	client      *client
	arguments   []string
	json        bool
}

// commandAdapter implements subcommands.Command for a command.
type commandAdapter struct {
	command     command
	environment *Environment
	daemons     string
	key         string
	timeout     time.Duration
	json        bool
}

// Name implements subcommands.Command.
func (a *commandAdapter) Name() string { return a.command.name }

// Synopsis implements subcommands.Command.
func (a *commandAdapter) Synopsis() string { return a.command.synopsis }

// Usage implements subcommands.Command.
func (a *commandAdapter) Usage() string {
	return fmt.Sprintf("dogwoodweir %s [flags] %s\n  %s.\n\nExample:\n  %s\n\nFlags:\n",
		a.command.name, a.command.arguments, a.command.synopsis, a.command.example)
}

// SetFlags implements subcommands.Command.
func (a *commandAdapter) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&a.daemons, "daemon", a.environment.getenv(daemonVariable), "base URLs of daemons, separated by commas (or "+daemonVariable+")")
	flags.StringVar(&a.key, "key", "", "bearer key (or "+keyVariable+")")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "timeout of one request")
	flags.BoolVar(&a.json, "json", false, "print JSON")
	if a.command.flags != nil {
		a.command.flags(flags)
	}
}

// Execute implements subcommands.Command.
func (a *commandAdapter) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var daemons []string
	for _, daemon := range strings.Split(a.daemons, ",") {
		if daemon = strings.TrimSpace(daemon); daemon != "" {
			daemons = append(daemons, daemon)
		}
	}
	key := a.key
	if key == "" {
		key = a.environment.getenv(keyVariable)
	}
	err := a.command.run(ctx, &invocation{
		environment: a.environment,
		client:      newClient(daemons, key, a.timeout),
		arguments:   flags.Args(),
		json:        a.json,
	})
	if err != nil {
		fmt.Fprintln(a.environment.errors, "dogwoodweir:", err)
	}
	return exitStatus(err)
}
