package commander

import (
	"context"
	"flag"
	"net/url"
	"strconv"

	"github.com/dogwoodweir/dogwoodweir/publisher"
)

// Version is the version of the program; the build sets it.
var Version = "development"

func statusCommand() command {
	fields := []string{"host", "failureDomain", "state", "configVersion", "storeReachable", "leaseValid", "shards", "programs", "pendingRecords"}
	return command{
		name:     "status",
		synopsis: "shows the state of each daemon given with -daemon",
		example:  "dogwoodweir status -daemon http://127.0.0.1:7001,http://127.0.0.1:7002",
		run: func(ctx context.Context, r *request) error {
			unreachable := newError("status", KindUsage, nil, "no daemon given: set -daemon or %s", daemonVariable)
			reached := false
			err := r.list(func(result any) error {
				objects := result.(*[]map[string]any)
				for _, daemon := range r.client.daemons {
					object := map[string]any{}
					if err := r.client.sendTo(ctx, daemon, "GET", adminPath+"status", nil, &object); err != nil {
						object = map[string]any{"host": daemon, "state": "unreachable", "error": err.Error()}
						unreachable = newError("status", KindUnreachable, err, "no daemon given could be reached")
					} else {
						reached = true
					}
					*objects = append(*objects, object)
				}
				return nil
			}, fields)
			if err == nil && !reached {
				return unreachable
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
	return listCommand("services", "lists the services in force with their load on the daemon", "dogwoodweir services",
		[]string{"name", "kind", "workspace", "configVersion", "targets", "programs", "inFlight", "queued"})
}

func listCommand(name, synopsis, example string, fields []string) command {
	return command{
		name: name, synopsis: synopsis, example: example,
		run: func(ctx context.Context, r *request) error {
			return r.list(func(result any) error { return r.client.get(ctx, name, result) }, fields)
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
		run: func(ctx context.Context, r *request) error {
			return r.list(func(result any) error {
				return r.client.get(ctx, "targets?service="+url.QueryEscape(service), result)
			}, []string{"target", "service", "failureDomain", "address", "state", "running", "waiting", "inFlight", "models"})
		},
	}
}

func drainCommand() command {
	return drainingCommand("drain", "gives a host or target no new work, on every daemon", "dogwoodweir drain -reason maintenance drafter-3")
}

func undrainCommand() command {
	return drainingCommand("undrain", "lets a drained host or target have work again", "dogwoodweir undrain drafter-3")
}

func drainingCommand(name, synopsis, example string) command {
	var reason string
	return command{
		name: name, arguments: "HOST", synopsis: synopsis, example: example,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&reason, "reason", "", "reason for the audit trail")
		},
		run: func(ctx context.Context, r *request) error {
			if len(r.arguments) != 1 {
				return newError(name, KindUsage, nil, "expected one host or target")
			}
			current, err := r.document(ctx, "")
			if err != nil {
				return err
			}
			next := publisher.WithoutDrain(current, r.arguments[0])
			if name == publisher.ActionDrain {
				next = publisher.WithDrain(current, r.arguments[0], reason)
			}
			return r.propose(ctx, publisher.Proposal{From: current.Version, Action: name, Document: next}, false)
		},
	}
}

func versionCommand() command {
	return command{
		name: "version", synopsis: "prints the version of this program", example: "dogwoodweir version",
		run: func(_ context.Context, r *request) error {
			if r.json {
				return r.showJSON(map[string]string{"version": Version})
			}
			r.print("dogwoodweir %s", Version)
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
			f.IntVar(&limit, "limit", 100, "show at most this many")
		},
		run: func(ctx context.Context, r *request) error {
			action := "list"
			if len(r.arguments) > 0 {
				action = r.arguments[0]
			}
			switch {
			case action == "list" && len(r.arguments) <= 1:
				query := url.Values{"client": {owner}, "state": {state}, "limit": {strconv.Itoa(limit)}}
				return r.listPrograms(ctx, query)
			case action == "show" && len(r.arguments) == 2:
				return r.showProgram(ctx, r.arguments[1])
			case action == "cancel" && len(r.arguments) == 2:
				return r.cancelProgram(ctx, r.arguments[1])
			}
			return newError("programs", KindUsage, nil, "expected list, show ID or cancel ID")
		},
	}
}

func (r *request) listPrograms(ctx context.Context, query url.Values) error {
	return r.list(func(result any) error { return r.client.get(ctx, "programs?"+query.Encode(), result) },
		[]string{"program", "client", "workspace", "state", "reason", "turns", "tokens", "owner", "startedAt", "lastCallAt"})
}

func (r *request) showProgram(ctx context.Context, id string) error {
	var program map[string]any
	if err := r.client.get(ctx, "programs/"+url.PathEscape(id), &program); err != nil {
		return err
	}
	if r.json {
		return r.showJSON(program)
	}
	for _, field := range []string{"program", "client", "state", "reason", "turns", "tokens", "owner", "startedAt"} {
		r.print("%-10s %s", field, cell(program[field]))
	}
	fields := []string{"step", "service", "kind", "outcome", "code", "target", "latencyMs", "promptTokens", "cachedTokens", "completionTokens"}
	return r.list(func(result any) error {
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

func (r *request) cancelProgram(ctx context.Context, id string) error {
	var program map[string]any
	if err := r.client.send(ctx, "DELETE", adminPath+"programs/"+url.PathEscape(id), nil, &program); err != nil {
		return err
	}
	if r.json {
		return r.showJSON(program)
	}
	r.print("%s: %s %s", id, cell(program["state"]), cell(program["reason"]))
	return nil
}
