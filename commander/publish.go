package commander

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

const versionPollInterval = 200 * time.Millisecond

func validateCommand() command {
	return command{
		name: "validate", arguments: "DIR...",
		synopsis: "checks the service files in or below the folders without a daemon",
		example:  "dogwoodweir validate examples/lichtbeeld",
		run: func(_ context.Context, in *invocation) error {
			services, err := in.loadServices()
			if err != nil {
				return err
			}
			rows := make([][]string, 0, len(services))
			for _, s := range services {
				rows = append(rows, []string{s.Name, s.Kind, s.Workspace, s.Targets.Role})
			}
			return in.printResult(services, []string{"service", "kind", "workspace", "targets"}, rows)
		},
	}
}

func publishCommand() command {
	var force, dryRun, wait bool
	var from int
	return command{
		name: "publish", arguments: "DIR...",
		synopsis: "reads the service files, shows the differences and publishes them",
		example:  "dogwoodweir publish -wait examples/lichtbeeld examples/wickramasinghe",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&force, "force", false, "remove services that have programs under way")
			f.BoolVar(&dryRun, "dry-run", false, "show the differences and change nothing")
			f.BoolVar(&wait, "wait", false, "return when all daemons given report the version")
			f.IntVar(&from, "from", -1, "fail unless this is the current version (default: the version that the command reads)")
		},
		run: func(ctx context.Context, in *invocation) error {
			services, err := in.loadServices()
			if err != nil {
				return err
			}
			current, err := in.fetchDocument(ctx, "")
			if err != nil {
				return err
			}
			if from < 0 {
				from = current.Version
			}
			next := publisher.ReplaceServices(current, services, nil)
			changes := publisher.Diff(current, next)
			if !force {
				if err := in.checkRemovedServices(ctx, changes); err != nil {
					return err
				}
			}
			if dryRun || len(changes) == 0 {
				return in.printChanges(current.Version, changes)
			}
			if !in.json {
				if err := in.printChanges(current.Version, changes); err != nil {
					return err
				}
			}
			return in.publish(ctx, publisher.Proposal{From: from, Action: publisher.ActionPublish, Document: next}, wait)
		},
	}
}

func diffCommand() command {
	return command{
		name: "diff", arguments: "DIR... | VERSION [VERSION]",
		synopsis: "shows the differences between the files, or an earlier version, and the current version",
		example:  "dogwoodweir diff 41 42",
		run: func(ctx context.Context, in *invocation) error {
			before, after, err := in.documentsToDiff(ctx)
			if err != nil {
				return err
			}
			return in.printChanges(before.Version, publisher.Diff(before, after))
		},
	}
}

func historyCommand() command {
	var after, limit int
	return command{
		name:     "history",
		synopsis: "lists the versions of the configuration, newest last",
		example:  "dogwoodweir history -after 40",
		flags:    auditFlags(&after, &limit),
		run: func(ctx context.Context, in *invocation) error {
			records, err := in.fetchAuditRecords(ctx, after, limit)
			if err != nil {
				return err
			}
			rows := make([][]string, 0, len(records))
			for _, a := range records {
				rows = append(rows, []string{strconv.Itoa(a.Version), a.At, a.Operator, a.Action, fmt.Sprintf("%d sections", len(a.Changes))})
			}
			return in.printResult(records, []string{"version", "at", "operator", "action", "changes"}, rows)
		},
	}
}

func auditCommand() command {
	var after, limit int
	return command{
		name:     "audit",
		synopsis: "lists every change with its time, operator, versions and section",
		example:  "dogwoodweir audit -json",
		flags:    auditFlags(&after, &limit),
		run: func(ctx context.Context, in *invocation) error {
			records, err := in.fetchAuditRecords(ctx, after, limit)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, a := range records {
				for _, c := range a.Changes {
					rows = append(rows, []string{a.At, a.Operator, a.Action, strconv.Itoa(a.From), strconv.Itoa(a.Version), c.Kind, c.Section})
				}
			}
			return in.printResult(records, []string{"at", "operator", "action", "from", "to", "change", "section"}, rows)
		},
	}
}

func auditFlags(after, limit *int) func(*flag.FlagSet) {
	return func(f *flag.FlagSet) {
		f.IntVar(after, "after", 0, "show versions after this one")
		f.IntVar(limit, "limit", 100, "show at most this many versions")
	}
}

func rollbackCommand() command {
	var wait bool
	return command{
		name: "rollback", arguments: "VERSION",
		synopsis: "publishes the content of an earlier version as a new version",
		example:  "dogwoodweir rollback 41",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&wait, "wait", false, "return when all daemons given report the version")
		},
		run: func(ctx context.Context, in *invocation) error {
			if len(in.arguments) != 1 {
				return newError("rollback", KindUsage, nil, "expected one version")
			}
			restored, err := in.fetchDocument(ctx, in.arguments[0])
			if err != nil {
				return err
			}
			current, err := in.fetchDocument(ctx, "")
			if err != nil {
				return err
			}
			return in.publish(ctx, publisher.Proposal{From: current.Version, Action: publisher.ActionRollback, Document: restored}, wait)
		},
	}
}

// loadServices reads the service files of the folders that the arguments name.
func (in *invocation) loadServices() ([]encoder.Service, error) {
	if len(in.arguments) == 0 {
		return nil, newError("services", KindUsage, nil, "expected at least one folder")
	}
	return parser.LoadServices(in.arguments)
}

// fetchDocument returns a version of the configuration, the current one for "".
func (in *invocation) fetchDocument(ctx context.Context, version string) (encoder.Document, error) {
	path := "config"
	if version != "" {
		if _, err := strconv.Atoi(version); err != nil {
			return encoder.Document{}, newError("config", KindUsage, err, "%q is not a version number", version)
		}
		path += "/" + version
	}
	var document encoder.Document
	err := in.client.get(ctx, path, &document)
	return document, err
}

func (in *invocation) fetchAuditRecords(ctx context.Context, after, limit int) ([]encoder.AuditRecord, error) {
	var records []encoder.AuditRecord
	err := in.client.get(ctx, fmt.Sprintf("audit?after=%d&limit=%d", after, limit), &records)
	return records, err
}

// documentsToDiff returns the two documents that diff compares: two versions, or the
// current version and the one that publishing the folders in the arguments would give.
func (in *invocation) documentsToDiff(ctx context.Context) (before, after encoder.Document, err error) {
	if len(in.arguments) > 0 {
		if _, notNumber := strconv.Atoi(in.arguments[0]); notNumber != nil {
			services, err := in.loadServices()
			if err != nil {
				return before, after, err
			}
			before, err = in.fetchDocument(ctx, "")
			return before, publisher.ReplaceServices(before, services, nil), err
		}
	}
	switch len(in.arguments) {
	case 1:
		if before, err = in.fetchDocument(ctx, in.arguments[0]); err == nil {
			after, err = in.fetchDocument(ctx, "")
		}
	case 2:
		if before, err = in.fetchDocument(ctx, in.arguments[0]); err == nil {
			after, err = in.fetchDocument(ctx, in.arguments[1])
		}
	default:
		err = newError("diff", KindUsage, nil, "expected folders or one or two versions")
	}
	return before, after, err
}

func (in *invocation) printChanges(from int, changes []encoder.Change) error {
	rows := make([][]string, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, []string{c.Kind, c.Section, c.Before, c.After})
	}
	if !in.json && len(changes) == 0 {
		in.printText("no differences from version %d", from)
		return nil
	}
	return in.printResult(changes, []string{"change", "section", "before", "after"}, rows)
}

// checkRemovedServices returns an error when a removed service has running programs on
// one of the daemons, or when a daemon does not respond.
func (in *invocation) checkRemovedServices(ctx context.Context, changes []encoder.Change) error {
	removed := map[string]bool{}
	for _, change := range changes {
		if name, ok := strings.CutPrefix(change.Section, "service/"); ok && change.Kind == publisher.ChangeRemoved {
			removed[name] = true
		}
	}
	if len(removed) == 0 {
		return nil
	}
	for _, daemon := range in.client.daemons {
		var services []struct {
			Name     string `json:"name"`
			Programs int    `json:"programs"`
		}
		if err := in.client.sendTo(ctx, daemon, "GET", adminPath+"services", nil, &services); err != nil {
			return newError("publish", KindFailed, err, "cannot tell whether removed services have programs under way (use -force to publish anyway)")
		}
		for _, service := range services {
			if removed[service.Name] && service.Programs > 0 {
				return newError("publish", KindFailed, nil,
					"service %q would be removed and has %d programs under way on %s (use -force to remove it anyway)", service.Name, service.Programs, daemon)
			}
		}
	}
	return nil
}

// publish sends the proposal and prints the new version. On a conflict it prints how the
// proposal differs from the current version.
func (in *invocation) publish(ctx context.Context, proposal publisher.Proposal, wait bool) error {
	started := time.Now()
	var response struct {
		Version int `json:"version"`
	}
	if err := in.client.send(ctx, "POST", adminPath+"config", proposal, &response); err != nil {
		in.printConflict(ctx, proposal, err)
		return err
	}
	if wait {
		if err := in.waitForVersion(ctx, response.Version); err != nil {
			return err
		}
	}
	if in.json {
		return in.printJSON(map[string]any{"version": response.Version, "elapsedMs": time.Since(started).Milliseconds()})
	}
	in.printText("version %d is in force (%d ms)", response.Version, time.Since(started).Milliseconds())
	return nil
}

// printConflict prints how the proposal differs from the current version if err is a
// conflict.
func (in *invocation) printConflict(ctx context.Context, proposal publisher.Proposal, err error) {
	if !publisher.IsConflict(err) || in.json {
		return
	}
	current, readErr := in.fetchDocument(ctx, "")
	if readErr != nil {
		return
	}
	in.printText("your change is based on version %d; version %d is in force and differs from your proposal:", proposal.From, current.Version)
	if err := in.printChanges(current.Version, publisher.Diff(current, proposal.Document)); err != nil {
		fmt.Fprintln(in.environment.errors, "dogwoodweir:", err)
	}
}

// waitForVersion waits until every daemon reports the version or a later one. It returns
// an error when that takes longer than the timeout of one request.
func (in *invocation) waitForVersion(ctx context.Context, version int) error {
	ctx, cancel := context.WithTimeout(ctx, in.client.http.Timeout)
	defer cancel()
	for _, daemon := range in.client.daemons {
		for {
			var status struct {
				ConfigVersion int `json:"configVersion"`
			}
			err := in.client.sendTo(ctx, daemon, "GET", adminPath+"status", nil, &status)
			if err == nil && status.ConfigVersion >= version {
				break
			}
			select {
			case <-ctx.Done():
				return newError("publish", KindFailed, err, "version %d was published, but %s reports version %d", version, daemon, status.ConfigVersion)
			case <-time.After(versionPollInterval):
			}
		}
	}
	return nil
}
