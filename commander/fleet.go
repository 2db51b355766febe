package commander

import (
	"context"
	"flag"
	"net/url"
	"strconv"

	"github.com/dogwoodweir/dogwoodweir/publisher"
)

// Version is the version of the tool. The build sets it.
var Version = "development"

func statusCommand() command {
	fields := []string{"host", "failureDomain", "state", "configVersion", "storeReachable", "leaseValid", "shards", "programs", "pendingRecords"}
	return command{
		name:     "status",
		synopsis: "shows the state of each daemon given with -daemon",
		example:  "dogwoodweir status -daemon http://127.0.0.1:7001,http://127.0.0.1:7002",
		run: func(ctx context.Context, in *invocation) error {
			noneReached := newError("status", KindUsage, nil, "no daemon given: set -daemon or %s", daemonVariable)
			anyReached := false
			err := in.listObjects(func(result any) error {
				objects := result.(*[]map[string]any)
				for _, daemon := range in.client.daemons {
					object := map[string]any{}
					if err := in.client.sendTo(ctx, daemon, "GET", adminPath+"status", nil, &object); err != nil {
						object = map[string]any{"host": daemon, "state": "unreachable", "error": err.Error()}
						noneReached = newError("status", KindUnreachable, err, "none of the daemons could be reached")
					} else {
						anyReached = true
					}
					*objects = append(*objects, object)
				}
				return nil
			}, fields)
			if err == nil && !anyReached {
				return noneReached
			}
			return err
		},
	}
}

func hostsCommand() command {
	return listCommand("hosts", "lists the hosts and their states as the daemon sees them", "dogwoodweir hosts",
		[]string{"host", "failureDomain", "region", "address", "state", "configVersion", "lastSeenMs"})
}

func servicesCommand() command {
	return listCommand("services", "lists the current services with their load on the daemon", "dogwoodweir services",
		[]string{"name", "kind", "workspace", "configVersion", "targets", "programs", "inFlight", "queued"})
}

func listCommand(name, synopsis, example string, fields []string) command {
	return command{
		name: name, synopsis: synopsis, example: example,
		run: func(ctx context.Context, in *invocation) error {
			return in.listObjects(func(result any) error { return in.client.get(ctx, name, result) }, fields)
		},
	}
}

func targetsCommand() command {
	var service string
	return command{
		name:     "targets",
		synopsis: "lists the targets and their states as the daemon sees them",
		example:  "dogwoodweir targets -service drafter",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&service, "service", "", "show only the targets of this service")
		},
		run: func(ctx context.Context, in *invocation) error {
			return in.listObjects(func(result any) error {
				return in.client.get(ctx, "targets?service="+url.QueryEscape(service), result)
			}, []string{"target", "service", "failureDomain", "address", "state", "running", "waiting", "inFlight", "models"})
		},
	}
}

func drainCommand() command {
	return setDrainCommand("drain", "drains a host or target: no daemon gives it new work", "dogwoodweir drain -reason maintenance drafter-3")
}

func undrainCommand() command {
	return setDrainCommand("undrain", "lets a drained host or target get work again", "dogwoodweir undrain drafter-3")
}

// setDrainCommand returns the drain or undrain command.
func setDrainCommand(name, synopsis, example string) command {
	var reason string
	return command{
		name: name, arguments: "HOST", synopsis: synopsis, example: example,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&reason, "reason", "", "reason for the audit trail")
		},
		run: func(ctx context.Context, in *invocation) error {
			if len(in.arguments) != 1 {
				return newError(name, KindUsage, nil, "expected one host or target")
			}
			current, err := in.fetchDocument(ctx, "")
			if err != nil {
				return err
			}
			next := publisher.WithoutDrain(current, in.arguments[0])
			if name == publisher.ActionDrain {
				next = publisher.WithDrain(current, in.arguments[0], reason)
			}
			return in.publish(ctx, publisher.Proposal{From: current.Version, Action: name, Document: next}, false)
		},
	}
}

func versionCommand() command {
	return command{
		name: "version", synopsis: "prints the version of this tool", example: "dogwoodweir version",
		run: func(_ context.Context, in *invocation) error {
			if in.json {
				return in.printJSON(map[string]string{"version": Version})
			}
			in.printText("dogwoodweir %s", Version)
			return nil
		},
	}
}

func programsCommand() command {
	var owner, state string
	var limit int
	return command{
		name: "programs", arguments: "[list | show ID | cancel ID]",
		synopsis: "lists programs, shows one with its calls, or cancels one",
		example:  "dogwoodweir programs show nl-ams-4f2c",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&owner, "client", "", "show only programs of this client")
			f.StringVar(&state, "state", "", "show only programs in this state")
			f.IntVar(&limit, "limit", 100, "show at most this many programs")
		},
		run: func(ctx context.Context, in *invocation) error {
			action := "list"
			if len(in.arguments) > 0 {
				action = in.arguments[0]
			}
			switch {
			case action == "list" && len(in.arguments) <= 1:
				query := url.Values{"client": {owner}, "state": {state}, "limit": {strconv.Itoa(limit)}}
				return in.listPrograms(ctx, query)
			case action == "show" && len(in.arguments) == 2:
				return in.showProgram(ctx, in.arguments[1])
			case action == "cancel" && len(in.arguments) == 2:
				return in.cancelProgram(ctx, in.arguments[1])
			}
			return newError("programs", KindUsage, nil, "expected list, show ID or cancel ID")
		},
	}
}

func (in *invocation) listPrograms(ctx context.Context, query url.Values) error {
	return in.listObjects(func(result any) error { return in.client.get(ctx, "programs?"+query.Encode(), result) },
		[]string{"program", "client", "workspace", "state", "reason", "turns", "tokens", "owner", "startedAt", "lastCallAt"})
}

func (in *invocation) showProgram(ctx context.Context, id string) error {
	var program map[string]any
	if err := in.client.get(ctx, "programs/"+url.PathEscape(id), &program); err != nil {
		return err
	}
	if in.json {
		return in.printJSON(program)
	}
	for _, field := range []string{"program", "client", "state", "reason", "turns", "tokens", "owner", "startedAt"} {
		in.printText("%-10s %s", field, formatCell(program[field]))
	}
	fields := []string{"step", "service", "kind", "outcome", "code", "target", "latencyMs", "promptTokens", "cachedTokens", "completionTokens"}
	return in.listObjects(func(result any) error {
		calls, _ := program["calls"].([]any)
		objects := result.(*[]map[string]any)
		for _, call := range calls {
			if object, ok := call.(map[string]any); ok {
				*objects = append(*objects, object)
			}
		}
		return nil
	}, fields)
}

func (in *invocation) cancelProgram(ctx context.Context, id string) error {
	var program map[string]any
	if err := in.client.send(ctx, "DELETE", adminPath+"programs/"+url.PathEscape(id), nil, &program); err != nil {
		return err
	}
	if in.json {
		return in.printJSON(program)
	}
	in.printText("%s: %s %s", id, formatCell(program["state"]), formatCell(program["reason"]))
	return nil
}
