package viewer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dogwoodweir/dogwoodweir/allocator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/limiter"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/recorder"
	"github.com/dogwoodweir/dogwoodweir/registrar"
)

// maxChainTurns is the largest number of turns that are read for one chain.
const maxChainTurns = 100

// Table is the result of a query.
type Table struct {
	// Title describes the content and, where it applies, the version of the store or row.
	Title   string
	Columns []string
	Rows    [][]string
}

// Write prints the title and the table in aligned columns.
func (t *Table) Write(output io.Writer) error {
	w := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	lines := append([][]string{t.Columns}, t.Rows...)
	if _, err := fmt.Fprintln(output, t.Title); err != nil {
		return err
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, strings.Join(line, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// Viewer runs queries on the store.
type Viewer struct {
	store   provider.RowStore
	catalog follower.Catalog
	now     func() time.Time
}

// New returns a viewer of a store.
func New(store provider.RowStore, catalog follower.Catalog) *Viewer {
	return &Viewer{store: store, catalog: catalog, now: time.Now}
}

// readRange reads all pages of a range. It returns the rows and the store version of the
// first page.
func (v *Viewer) readRange(ctx context.Context, operation string, r provider.RowRange) ([]provider.VersionedRow, int64, error) {
	page, err := provider.ReadAll(r, provider.Ranges(ctx, v.store))
	if err != nil {
		return nil, 0, &Error{operation: operation, kind: KindStore, cause: err}
	}
	return page.Rows, page.Version, nil
}

// Configuration returns the routes of the newest configuration. Daemons may use an older
// one for a while; their logs have the version in force.
func (v *Viewer) Configuration(ctx context.Context) (*Table, error) {
	const operation = "configuration"
	rows, _, err := v.readRange(ctx, operation, provider.RowRange{Table: v.catalog.ConfigurationTable()})
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(rows, func(r provider.VersionedRow) bool { return v.catalog.IsConfiguration(&r) })
	if i < 0 {
		return nil, &Error{operation: operation, kind: KindNotFound}
	}
	c, err := v.catalog.Configuration(rows[i].Value)
	if err != nil {
		return nil, &Error{operation: operation, kind: KindUnreadable, cause: err}
	}
	t := &Table{
		Title:   fmt.Sprintf("configuration %d, row version %d", c.Version, rows[i].Version),
		Columns: []string{"HOST", "PREFIX", "ROUTE", "SERVICES", "TIMEOUT", "TARGETS", "REPEATS", "HISTORY"},
	}
	for _, r := range c.Routes() {
		var services []string
		for _, s := range r.Splits {
			services = append(services, fmt.Sprintf("%s:%d", s.Service, s.Weight))
		}
		history := "-"
		if r.KeepsHistory {
			history = r.Retention.String()
		}
		t.Rows = append(t.Rows, []string{
			r.Host, r.Prefix, r.Name, strings.Join(services, ","), r.Timeout.String(), fmt.Sprint(r.MaxTargets),
			fmt.Sprint(r.MayRepeat()), history,
		})
	}
	return t, nil
}

// Targets returns the registered targets.
func (v *Viewer) Targets(ctx context.Context) (*Table, error) {
	rows, version, err := v.readRange(ctx, "targets", provider.RowRange{Table: v.catalog.TargetTable()})
	if err != nil {
		return nil, err
	}
	t := &Table{
		Title:   fmt.Sprintf("%d targets, store version %d", len(rows), version),
		Columns: []string{"TARGET", "SERVICE", "ADDRESS", "DOMAIN", "SLOTS", "STATE", "BORN"},
	}
	for i := range rows {
		target, err := v.catalog.Target(v.now(), rows[i].Key, rows[i].Value)
		if err != nil {
			t.Rows = append(t.Rows, []string{rows[i].Key, "-", "-", "-", "-", "unreadable: " + err.Error(), "-"})
			continue
		}
		state := "ready"
		if target.Leaving {
			state = "leaving"
		}
		t.Rows = append(t.Rows, []string{
			target.ID, target.Service, target.Address, target.Domain, fmt.Sprint(target.Slots), state,
			time.UnixMilli(target.StartedAt).UTC().Format(time.RFC3339),
		})
	}
	return t, nil
}

// Daemons returns the registered daemons. A daemon that was killed stays registered until
// its entry expires.
func (v *Viewer) Daemons(ctx context.Context) (*Table, error) {
	rows, version, err := v.readRange(ctx, "daemons", provider.RowRange{Table: registrar.Table})
	if err != nil {
		return nil, err
	}
	t := &Table{
		Title:   fmt.Sprintf("%d daemons, store version %d", len(rows), version),
		Columns: []string{"HOST", "ADDRESS", "DOMAIN", "REGION", "EXPIRES IN"},
	}
	for _, row := range rows {
		var e encoder.PeerEntry
		if err := json.Unmarshal(row.Value, &e); err != nil {
			t.Rows = append(t.Rows, []string{row.Key, "unreadable: " + err.Error(), "-", "-", "-"})
			continue
		}
		remaining := time.Unix(int64(e.ExpiresAt), 0).Sub(v.now()).Round(time.Second)
		t.Rows = append(t.Rows, []string{row.Key, e.Address, e.Domain, e.Region, remaining.String()})
	}
	return t, nil
}

// Quotas returns the fractions of the quotas that daemons hold, and what is left of each quota.
func (v *Viewer) Quotas(ctx context.Context) (*Table, error) {
	const operation = "quotas"
	t := &Table{Columns: []string{"WORKSPACE", "ROW", "VERSION", "HOLDER", "INCARNATION", "FRACTION", "NEED", "TOKENS"}}
	workspaces := 0
	for _, key := range limiter.Keys() {
		rows, _, err := v.readRange(ctx, operation, provider.RowRange{
			Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00",
		})
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var quotas encoder.QuotaRow
			if err := json.Unmarshal(row.Value, &quotas); err != nil {
				t.Rows = append(t.Rows, []string{"unreadable: " + err.Error(), row.Key, fmt.Sprint(row.Version), "-", "-", "-", "-", "-"})
				continue
			}
			for _, e := range quotas.Entries {
				workspaces++
				rest := 1.0
				for _, s := range e.Shares {
					rest -= millionths(s.Parts)
					t.Rows = append(t.Rows, []string{
						e.Workspace, row.Key, fmt.Sprint(row.Version), s.Host, s.Incarnation, fmt.Sprintf("%.3f", millionths(s.Parts)),
						fmt.Sprintf("%.3f", millionths(s.Need)), "-",
					})
				}
				t.Rows = append(t.Rows, []string{
					e.Workspace, row.Key, fmt.Sprint(row.Version), "(nobody)", "-", fmt.Sprintf("%.3f", rest), "-", fmt.Sprintf("%.1f", float64(e.MilliTokens)/1000),
				})
			}
		}
	}
	t.Title = fmt.Sprintf("fractions of the quotas of %d workspaces", workspaces)
	return t, nil
}

func millionths(n int) float64 { return float64(n) / 1e6 }

// QuotaHolders returns the daemons that may hold fractions of quotas. A row whose version no longer changes
// belongs to a daemon that has ended or does not reach the store.
func (v *Viewer) QuotaHolders(ctx context.Context) (*Table, error) {
	t := &Table{Columns: []string{"HOST", "INCARNATION", "RENEWALS", "VERSION"}}
	for _, r := range limiter.HolderRanges() {
		rows, _, err := v.readRange(ctx, "quotaHolders", r)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var h encoder.QuotaHolder
			if err := json.Unmarshal(row.Value, &h); err != nil {
				t.Rows = append(t.Rows, []string{row.Key, "unreadable: " + err.Error(), "-", fmt.Sprint(row.Version)})
				continue
			}
			t.Rows = append(t.Rows, []string{row.Key, h.Incarnation, fmt.Sprint(h.Renewals), fmt.Sprint(row.Version)})
		}
	}
	slices.SortFunc(t.Rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	t.Title = fmt.Sprintf("%d daemons that may hold fractions of quotas", len(t.Rows))
	return t, nil
}

// Program returns the budget rows of a program: the tokens granted to daemons, which daemons may
// have unused tokens, and how many were lost with daemons.
func (v *Viewer) Program(ctx context.Context, program string) (*Table, error) {
	t := &Table{Title: "program " + program, Columns: []string{"ROW", "VERSION", "GRANTED", "WRITTEN BY", "UNUSED AT", "LOST"}}
	for _, key := range recorder.BudgetKeys(program) {
		rows, _, err := v.readRange(ctx, "program", provider.RowRange{
			Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00",
		})
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var b encoder.ProgramBudget
			if err := json.Unmarshal(row.Value, &b); err != nil {
				return nil, &Error{operation: "program", kind: KindUnreadable, cause: err}
			}
			var unused []string
			for _, host := range slices.Sorted(maps.Keys(b.Spare)) {
				unused = append(unused, fmt.Sprintf("%s:%d", host, b.Spare[host]))
			}
			t.Rows = append(t.Rows, []string{
				fmt.Sprintf("%s/%s", key.Table, key.Partition), fmt.Sprint(row.Version), fmt.Sprint(b.Granted), b.Holder,
				strings.Join(unused, ","), fmt.Sprint(b.Lost),
			})
		}
	}
	if len(t.Rows) == 0 {
		return nil, &Error{operation: "program " + program, kind: KindNotFound}
	}
	return t, nil
}

// Owners returns the owners of the partitions of second budget rows.
func (v *Viewer) Owners(ctx context.Context) (*Table, error) {
	t := &Table{
		Title:   "owners of second budget rows",
		Columns: []string{"PART", "VERSION", "OWNER", "RUN", "NUMBER", "BLOCKED FOR", "STATE"},
	}
	for _, partition := range recorder.ProgramPartitions() {
		rows, _, err := v.readRange(ctx, "owners", provider.RowRange{Table: allocator.Table, Partition: partition})
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var o encoder.BudgetOwner
			if err := json.Unmarshal(row.Value, &o); err != nil {
				return nil, &Error{operation: "owners", kind: KindUnreadable, cause: err}
			}
			state := "owned"
			switch {
			case o.Released:
				state = "released"
			case o.Unwritten:
				state = "grants may be unwritten"
			}
			blocked := time.Duration(o.BlockedMs) * time.Millisecond
			t.Rows = append(t.Rows, []string{
				partition, fmt.Sprint(row.Version), o.Host, o.Incarnation, fmt.Sprint(o.Sequence), blocked.Round(time.Second).String(), state,
			})
		}
	}
	return t, nil
}

// Turn returns a turn and the chain before it, newest first, up to maxChainTurns turns.
func (v *Viewer) Turn(ctx context.Context, id string) (*Table, error) {
	t := &Table{Title: "turn " + id, Columns: []string{"TURN", "PART", "BYTES", "EXPIRES"}}
	for next := id; next != "" && len(t.Rows) < maxChainTurns; {
		turn, err := v.readTurn(ctx, next)
		if err != nil {
			return nil, err
		}
		if turn == nil {
			if next == id {
				return nil, &Error{operation: "turn " + id, kind: KindNotFound}
			}
			t.Rows = append(t.Rows, []string{next, "-", "-", "missing"})
			break
		}
		t.Rows = append(t.Rows, []string{turn.ID, turn.Partition, fmt.Sprint(turn.TextBytes()), turn.Expires.UTC().Format(time.RFC3339)})
		next = turn.Previous
	}
	return t, nil
}

// readTurn reads a turn from its candidate partitions. It returns nil if none holds it.
func (v *Viewer) readTurn(ctx context.Context, id string) (*historian.Turn, error) {
	reader := &historian.Reader{
		Range: provider.Ranges(ctx, v.store),
		Admit: func(int, int) error { return nil },
	}
	for _, partition := range historian.CandidatePartitions(id) {
		turn, err := reader.Read(id, partition)
		if err == nil {
			return turn, nil
		}
		switch historian.KindOf(err) {
		case historian.KindNotFound:
		case historian.KindUnavailable:
			return nil, &Error{operation: "turn", kind: KindStore, cause: err}
		default:
			return nil, &Error{operation: "turn", kind: KindUnreadable, cause: err}
		}
	}
	return nil, nil
}
