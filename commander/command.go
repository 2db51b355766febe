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

// Environment variables that stand in for flags.
const (
	daemonVariable = "DOGWOODWEIR_DAEMON"
	keyVariable    = "DOGWOODWEIR_KEY"
)

const defaultTimeout = 15 * time.Second

// Environment is what the commands read and write.
type Environment struct {
	out    io.Writer
	errors io.Writer
	getenv func(string) string
}

// NewEnvironment returns an environment; getenv is usually os.Getenv.
func NewEnvironment(out, errors io.Writer, getenv func(string) string) *Environment {
	return &Environment{out: out, errors: errors, getenv: getenv}
}

// Run parses the command line, runs the command and returns the exit code.
func Run(ctx context.Context, environment *Environment, arguments []string) int {
	flags := flag.NewFlagSet("dogwoodweir", flag.ContinueOnError)
	flags.SetOutput(environment.errors)
	commander := subcommands.NewCommander(flags, "dogwoodweir")
	commander.Output, commander.Error = environment.out, environment.errors
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, group := range groups() {
		for _, command := range group.commands {
			commander.Register(&runner{command: command, environment: environment}, group.name)
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
			validateCommand(), publishCommand(), diffCommand(), historyCommand(), rollbackCommand(), auditCommand(),
		}},
		{"fleet", []command{
			statusCommand(), hostsCommand(), targetsCommand(), servicesCommand(), drainCommand(), undrainCommand(),
		}},
		{"programs", []command{programsCommand(), runCommand()}},
		{"other", []command{versionCommand()}},
	}
}

// command is one subcommand. Its run function gets a request with the flags that
// all commands share.
type command struct {
	name      string
	arguments string
	synopsis  string
	example   string
	flags     func(*flag.FlagSet)
	run       func(context.Context, *request) error
}

// request is one invocation of a command.
type request struct {
	environment *Environment
	client      *client
	arguments   []string
	json        bool
}

// runner adapts a command to the library's interface.
type runner struct {
	command     command
	environment *Environment
	daemons     string
	key         string
	timeout     time.Duration
	json        bool
}

// Name implements subcommands.Command.
func (r *runner) Name() string { return r.command.name }

// Synopsis implements subcommands.Command.
func (r *runner) Synopsis() string { return r.command.synopsis }

// Usage implements subcommands.Command.
func (r *runner) Usage() string {
	return fmt.Sprintf("dogwoodweir %s [flags] %s\n  %s.\n\nExample:\n  %s\n\nFlags:\n",
		r.command.name, r.command.arguments, r.command.synopsis, r.command.example)
}

// SetFlags implements subcommands.Command.
func (r *runner) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&r.daemons, "daemon", r.environment.getenv(daemonVariable), "base URLs of daemons, separated by commas (or "+daemonVariable+")")
	flags.StringVar(&r.key, "key", "", "bearer key (or "+keyVariable+")")
	flags.DurationVar(&r.timeout, "timeout", defaultTimeout, "bound on one request")
	flags.BoolVar(&r.json, "json", false, "print JSON")
	if r.command.flags != nil {
		r.command.flags(flags)
	}
}

// Execute implements subcommands.Command.
func (r *runner) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var daemons []string
	for _, daemon := range strings.Split(r.daemons, ",") {
		if daemon = strings.TrimSpace(daemon); daemon != "" {
			daemons = append(daemons, daemon)
		}
	}
	key := r.key
	if key == "" {
		key = r.environment.getenv(keyVariable)
	}
	err := r.command.run(ctx, &request{
		environment: r.environment,
		client:      newClient(daemons, key, r.timeout),
		arguments:   flags.Args(),
		json:        r.json,
	})
	if err != nil {
		fmt.Fprintln(r.environment.errors, "dogwoodweir:", err)
	}
	return exitStatus(err)
}
