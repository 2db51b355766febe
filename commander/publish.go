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

const waitInterval = 200 * time.Millisecond

func validateCommand() command {
	return command{
		name: "validate", arguments: "DIR...",
		synopsis: "checks the service files in or below the folders without a daemon",
		example:  "dogwoodweir validate examples/lichtbeeld",
		run: func(_ context.Context, r *request) error {
			services, err := r.services()
			if err != nil {
				return err
			}
			rows := make([][]string, 0, len(services))
			for _, s := range services {
				rows = append(rows, []string{s.Name, s.Kind, s.Workspace, s.Targets.Role})
			}
			return r.show(services, []string{"service", "kind", "workspace", "targets"}, rows)
		},
	}
}

func publishCommand() command {
	var force, dryRun, wait bool
	var from int
	return command{
		name: "publish", arguments: "DIR...",
		synopsis: "gathers the service files, shows what differs and puts them into force",
		example:  "dogwoodweir publish -wait examples/lichtbeeld examples/wickramasinghe",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&force, "force", false, "remove services that have programs under way")
			f.BoolVar(&dryRun, "dry-run", false, "show what differs and change nothing")
			f.BoolVar(&wait, "wait", false, "return when all daemons given report the version")
			f.IntVar(&from, "from", -1, "fail unless this version is in force (default: the version that is read)")
		},
		run: func(ctx context.Context, r *request) error {
			services, err := r.services()
			if err != nil {
				return err
			}
			current, err := r.document(ctx, "")
			if err != nil {
				return err
			}
			if from < 0 {
				from = current.Version
			}
			next := publisher.ReplaceServices(current, services, nil)
			changes := publisher.Diff(current, next)
			if !force {
				if err := r.checkRemoved(ctx, changes); err != nil {
					return err
				}
			}
			if dryRun || len(changes) == 0 {
				return r.showChanges(current.Version, changes)
			}
			if !r.json {
				if err := r.showChanges(current.Version, changes); err != nil {
					return err
				}
			}
			return r.propose(ctx, publisher.Proposal{From: from, Action: publisher.ActionPublish, Document: next}, wait)
		},
	}
}

func diffCommand() command {
	return command{
		name: "diff", arguments: "DIR... | VERSION [VERSION]",
		synopsis: "shows what differs between the files, or an earlier version, and the version in force",
		example:  "dogwoodweir diff 41 42",
		run: func(ctx context.Context, r *request) error {
			before, after, err := r.diffSides(ctx)
			if err != nil {
				return err
			}
			return r.showChanges(before.Version, publisher.Diff(before, after))
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
		run: func(ctx context.Context, r *request) error {
			records, err := r.audit(ctx, after, limit)
			if err != nil {
				return err
			}
			rows := make([][]string, 0, len(records))
			for _, a := range records {
				rows = append(rows, []string{strconv.Itoa(a.Version), a.At, a.Operator, a.Action, fmt.Sprintf("%d sections", len(a.Changes))})
			}
			return r.show(records, []string{"version", "at", "operator", "action", "changes"}, rows)
		},
	}
}

func auditCommand() command {
	var after, limit int
	return command{
		name:     "audit",
		synopsis: "lists every change: who, when, from which version, to which, what",
		example:  "dogwoodweir audit -json",
		flags:    auditFlags(&after, &limit),
		run: func(ctx context.Context, r *request) error {
			records, err := r.audit(ctx, after, limit)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, a := range records {
				for _, c := range a.Changes {
					rows = append(rows, []string{a.At, a.Operator, a.Action, strconv.Itoa(a.From), strconv.Itoa(a.Version), c.Kind, c.Section})
				}
			}
			return r.show(records, []string{"at", "operator", "action", "from", "to", "change", "section"}, rows)
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
		synopsis: "puts the content of an earlier version into force as a new version",
		example:  "dogwoodweir rollback 41",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&wait, "wait", false, "return when all daemons given report the version")
		},
		run: func(ctx context.Context, r *request) error {
			if len(r.arguments) != 1 {
				return newError("rollback", KindUsage, nil, "expected one version")
			}
			old, err := r.document(ctx, r.arguments[0])
			if err != nil {
				return err
			}
			current, err := r.document(ctx, "")
			if err != nil {
				return err
			}
			return r.propose(ctx, publisher.Proposal{From: current.Version, Action: publisher.ActionRollback, Document: old}, wait)
		},
	}
}

// services reads the service files of the folders in the arguments.
func (r *request) services() ([]encoder.Service, error) {
	if len(r.arguments) == 0 {
		return nil, newError("services", KindUsage, nil, "expected at least one folder")
	}
	return parser.LoadServices(r.arguments)
}

// document fetches a version; "" means the version in force.
func (r *request) document(ctx context.Context, version string) (encoder.Document, error) {
	path := "config"
	if version != "" {
		if _, err := strconv.Atoi(version); err != nil {
			return encoder.Document{}, newError("config", KindUsage, err, "%q is not a version", version)
		}
		path += "/" + version
	}
	var document encoder.Document
	err := r.client.get(ctx, path, &document)
	return document, err
}

func (r *request) audit(ctx context.Context, after, limit int) ([]encoder.AuditRecord, error) {
	var records []encoder.AuditRecord
	err := r.client.get(ctx, fmt.Sprintf("audit?after=%d&limit=%d", after, limit), &records)
	return records, err
}

func (r *request) diffSides(ctx context.Context) (before, after encoder.Document, err error) {
	if len(r.arguments) > 0 {
		if _, notNumber := strconv.Atoi(r.arguments[0]); notNumber != nil {
			services, err := r.services()
			if err != nil {
				return before, after, err
			}
			before, err = r.document(ctx, "")
			return before, publisher.ReplaceServices(before, services, nil), err
		}
	}
	switch len(r.arguments) {
	case 1:
		if before, err = r.document(ctx, r.arguments[0]); err == nil {
			after, err = r.document(ctx, "")
		}
	case 2:
		if before, err = r.document(ctx, r.arguments[0]); err == nil {
			after, err = r.document(ctx, r.arguments[1])
		}
	default:
		err = newError("diff", KindUsage, nil, "expected folders or one or two versions")
	}
	return before, after, err
}

func (r *request) showChanges(from int, changes []encoder.Change) error {
	rows := make([][]string, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, []string{c.Kind, c.Section, c.Before, c.After})
	}
	if !r.json && len(changes) == 0 {
		r.print("no differences from version %d", from)
		return nil
	}
	return r.show(changes, []string{"change", "section", "before", "after"}, rows)
}

// checkRemoved refuses to remove a service that has programs under way on one of
// the daemons given.
func (r *request) checkRemoved(ctx context.Context, changes []encoder.Change) error {
	removed := map[string]bool{}
	for _, change := range changes {
		if name, ok := strings.CutPrefix(change.Section, "service/"); ok && change.Kind == publisher.ChangeRemoved {
			removed[name] = true
		}
	}
	if len(removed) == 0 {
		return nil
	}
	for _, daemon := range r.client.daemons {
		var services []struct {
			Name     string `json:"name"`
			Programs int    `json:"programs"`
		}
		if err := r.client.sendTo(ctx, daemon, "GET", adminPath+"services", nil, &services); err != nil {
			return newError("publish", KindFailed, err, "cannot tell whether removed services have programs under way (use -force to publish all the same)")
		}
		for _, service := range services {
			if removed[service.Name] && service.Programs > 0 {
				return newError("publish", KindFailed, nil,
					"service %q would be removed and has %d programs under way on %s (use -force to remove it all the same)", service.Name, service.Programs, daemon)
			}
		}
	}
	return nil
}

// propose publishes and tells an operator who lost a race what the winner changed.
func (r *request) propose(ctx context.Context, proposal publisher.Proposal, wait bool) error {
	started := time.Now()
	var answer struct {
		Version int `json:"version"`
	}
	if err := r.client.send(ctx, "POST", adminPath+"config", proposal, &answer); err != nil {
		r.explainRace(ctx, proposal, err)
		return err
	}
	if wait {
		if err := r.waitFor(ctx, answer.Version); err != nil {
			return err
		}
	}
	if r.json {
		return r.showJSON(map[string]any{"version": answer.Version, "elapsedMs": time.Since(started).Milliseconds()})
	}
	r.print("version %d is in force (%d ms)", answer.Version, time.Since(started).Milliseconds())
	return nil
}

func (r *request) explainRace(ctx context.Context, proposal publisher.Proposal, err error) {
	if !publisher.IsConflict(err) || r.json {
		return
	}
	current, readErr := r.document(ctx, "")
	if readErr != nil {
		return
	}
	r.print("your change is based on version %d; version %d is in force and differs from your proposal:", proposal.From, current.Version)
	if err := r.showChanges(current.Version, publisher.Diff(current, proposal.Document)); err != nil {
		fmt.Fprintln(r.environment.errors, "dogwoodweir:", err)
	}
}

// waitFor returns when every daemon given reports the version or a later one.
func (r *request) waitFor(ctx context.Context, version int) error {
	ctx, cancel := context.WithTimeout(ctx, r.client.http.Timeout)
	defer cancel()
	for _, daemon := range r.client.daemons {
		for {
			var status struct {
				ConfigVersion int `json:"configVersion"`
			}
			err := r.client.sendTo(ctx, daemon, "GET", adminPath+"status", nil, &status)
			if err == nil && status.ConfigVersion >= version {
				break
			}
			select {
			case <-ctx.Done():
				return newError("publish", KindFailed, err, "version %d was published, but %s reports version %d", version, daemon, status.ConfigVersion)
			case <-time.After(waitInterval):
			}
		}
	}
	return nil
}
