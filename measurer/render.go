package measurer

import (
	"fmt"
	"math"
	"strings"

	"github.com/dogwoodweir/dogwoodweir/detector"
)

// Limits that the design sets for one daemon, the store and the link between regions.
const (
	limitBytesPerSec     = 5_000.0
	limitCoreShare       = 0.036
	limitMemoryBytes     = 128e6
	limitWritesPerSec    = 400.0
	limitReadsPerSec     = 2_000.0
	limitLinkBytesPerSec = 3.75e6
	limitFirstTokenMs    = 410.0
	limitInterTokenMs    = 64.0

	// headerBytes is the size of the TCP and IP headers of one segment with options;
	// every second message is acknowledged by a segment of its own.
	headerBytes = 52.0
	// probeBytes is the size of one HTTP request and response on an open connection.
	probeBytes = 300.0
	// pollBytes is the size of one read of the configuration's head row.
	pollBytes = 400.0
	// deltaBytes is the size of one delta of a changed section with its request, and of
	// the eight heartbeats sent and received immediately to announce it.
	deltaBytes = 1_100 + 8*190.0
	// changesPerSec corresponds to 11,000 configuration changes a day.
	changesPerSec = 11_000.0 / 86_400
	// listPullBytes is the size of a request for changes of the host list and its empty
	// response, with TCP and IP headers.
	listPullBytes = 400.0
	// listChangeBytes is the size of one changed entry of the list.
	listChangeBytes = 160.0
	// listChangesPerSec assumes that 588 hosts a day fail, restart or are replaced, each
	// with 16 targets, and that every one leaves the list and is added again.
	listChangesPerSec = 588.0 * 17 * 2 / 86_400
)

// row is one line of a table: a figure, its limit (0 when there is none) and how it was
// obtained.
type row struct {
	name, unit   string
	value, limit float64
	measured     bool
	mechanism    string
}

func (r row) markdown() string {
	basis, limit, share := "extrapolated", "", ""
	if r.measured {
		basis = "measured"
	}
	if r.limit > 0 {
		limit = number(r.limit) + " " + r.unit
		share = fmt.Sprintf("%.1f %%", 100*r.value/r.limit)
		if r.value > r.limit {
			share = "**" + share + "**"
		}
	}
	line := fmt.Sprintf("| %s | %s %s | %s | %s | %s | %s |\n", r.name, number(r.value), r.unit, limit, share, basis, r.mechanism)
	return strings.ReplaceAll(line, " M B", " MB")
}

// number formats a figure with a precision that suits its size.
func number(v float64) string {
	switch {
	case v >= 1e6:
		return fmt.Sprintf("%.2f M", v/1e6)
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	case v >= 0.1 || v == 0:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.4f", v)
}

func table(rows []row) string {
	var b strings.Builder
	b.WriteString("| quantity | at the design size | limit | share used | basis | mechanism and arithmetic |\n|---|---|---|---|---|---|\n")
	for _, r := range rows {
		b.WriteString(r.markdown())
	}
	return b.String() + "\n"
}

// Markdown renders the report as docs/capacity-own.md.
func (r *Report) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, `# Capacity

Rendered from docs/capacity.json, which `+"`make capacity`"+` writes; this run took
%.0f s on a machine with %d processors that other work shared (%s). The size to
design for is that of section 1.6 of the design: %d daemons, %d targets, %d shards,
%d programs, %.0f requests/s, %.1f million tokens/s. "Measured" figures come from
this run at that size or under that load; "extrapolated" ones follow from measured
ones by the arithmetic given. A share over 100 %% is in bold: it does not fit.

`, r.DurationSec, r.Processors, r.Go, designHosts, designTargets, designShards, designPrograms, designCalls, designTokens/1e6)
	b.WriteString("## A daemon as peer\n\n" + table(r.peerRows()))
	b.WriteString("## A daemon as entry\n\n" + table(r.entryRows()))
	b.WriteString("## A daemon as shard owner and scheduler\n\n" + table(r.ownerRows()))
	b.WriteString("## The store\n\n" + table(r.storeRows()))
	b.WriteString("## Link between the regions\n\n" + table(r.regionLinkRows()))
	b.WriteString("## Engines as seen by the system\n\n" + table(r.engineRows()))
	b.WriteString("## Command-line tool\n\n" + table(r.commandLineRows()))
	b.WriteString("## Bad hours\n\n" + table(r.failureRows()))
	b.WriteString(r.overLimitSection())
	b.WriteString(r.measurementTables())
	return b.String()
}

func (r *Report) peerRows() []row {
	c, l := last(r.Control), last(r.HostLists)
	sum := c.SentBytesPerSec + c.ReceivedBytesPerSec
	headers := 1.5 * headerBytes * c.MessagesPerSec
	assigned := float64(designTargets) / designHosts / detector.DefaultAssignedProbeInterval.Seconds()
	probes := assigned * probeBytes
	deltas := changesPerSec * deltaBytes
	readsChanged := 1 - math.Exp(-listChangesPerSec)
	total := sum + headers + probes + pollBytes + deltas
	return []row{
		{"messages sent and received", "/s", c.MessagesPerSec, 0, true, "heartbeats to 4 peers and from 4, each answered"},
		{"bytes between daemons, mean", "B/s", sum, limitBytesPerSec, true, "heartbeats with rumours, both directions"},
		{"bytes between daemons, busiest daemon", "B/s", c.MaxBytesPerSec, limitBytesPerSec, true, "the same"},
		{"headers of TCP and IP", "B/s", headers, limitBytesPerSec, false, fmt.Sprintf("%.1f messages x %.0f B x 1.5 for acknowledgements", c.MessagesPerSec, headerBytes)},
		{"probes of targets", "B/s", probes, limitBytesPerSec, false, fmt.Sprintf("assigned probes: 16 in 10 s x %.0f B, at most 4/s after a start (measured %.2f/s)", probeBytes, c.TargetProbesPerSec)},
		{"polls of the configuration", "B/s", pollBytes, limitBytesPerSec, false, fmt.Sprintf("configPollInterval: 1/s x %.0f B", pollBytes)},
		{"configuration changes", "B/s", deltas, limitBytesPerSec, false, fmt.Sprintf("11,000 a day = %.3f/s x (delta 1,100 B + 8 urgent heartbeats of 190 B)", changesPerSec)},
		{"sum without the host list", "B/s", total, limitBytesPerSec, false, "the lines above but the busiest daemon"},
		{"host list, a daemon that is no reader", "B/s", listPullBytes + listChangesPerSec*listChangeBytes, limitBytesPerSec, false, fmt.Sprintf("listChanges: 1/s x %.0f B + %.2f changes/s x %.0f B", listPullBytes, listChangesPerSec, listChangeBytes)},
		{"sum with the host list, a daemon that is no reader", "B/s", total + listPullBytes + listChangesPerSec*listChangeBytes, limitBytesPerSec, false, "the two lines above"},
		{"host list, one of the 10 readers", "B/s", readsChanged * float64(l.Bytes), limitBytesPerSec, false, fmt.Sprintf("one list of %d members is %d B (measured); conditional reads: transferred in %.2f of the seconds, in which it has changed", l.Members, l.Bytes, readsChanged)},
		{"processor, membership and configuration", "core", c.ProcessCoreShare, limitCoreShare, true, "control loop, JSON, connections; in-memory links"},
		{"processor, decoding the host list", "core", readsChanged * l.DecodeMicros / 1e6, limitCoreShare, false, fmt.Sprintf("only readers: %.0f us a list (measured), %.2f/s", l.DecodeMicros, readsChanged)},
		{"memory, membership and configuration", "B", c.HeapBytes, limitMemoryBytes, true, "heap and stacks for each daemon"},
	}
}

func (r *Report) entryRows() []row {
	calls := designCalls / designHosts
	rows := []row{{"requests", "/s", calls, 0, false, "8,200 / 350"}}
	for i := 0; i+1 < len(r.CallPaths); i += 2 {
		direct, through := r.CallPaths[i], r.CallPaths[i+1]
		note := fmt.Sprintf("%d clients, %.0f and %.0f requests/s straight and through", direct.Clients, direct.RequestsPerSec, through.RequestsPerSec)
		rows = append(rows,
			row{fmt.Sprintf("time to first token added, p95, %d clients", direct.Clients), "ms", max(0, through.FirstTokenP95Ms-direct.FirstTokenP95Ms), limitFirstTokenMs, true, note},
			row{fmt.Sprintf("time between tokens through a daemon, p95, %d clients", direct.Clients), "ms", through.InterTokenP95Ms, limitInterTokenMs, true, fmt.Sprintf("straight: %.2f ms", direct.InterTokenP95Ms)})
	}
	if n := len(r.CallPaths); n > 1 {
		direct, through := r.CallPaths[n-2], r.CallPaths[n-1]
		added := max(0, through.CPUMsPerCall-direct.CPUMsPerCall)
		rows = append(rows,
			row{"requests/s, of the most measured", "/s", calls, through.RequestsPerSec, true, "one daemon, its client, engine and an in-memory store on one shared machine; with group commit, without forwarding"},
			row{"processor of the data path", "core", calls * added * designTokens / designCalls / 32 / 1e3, 0, false,
				fmt.Sprintf("%.2f ms a call of 32 tokens (measured), at most x %.0f/32 tokens x %.1f calls/s; not control plane", added, designTokens/designCalls, calls)})
	}
	return rows
}

func (r *Report) ownerRows() []row {
	o, d := last(r.Owners), last(r.Decisions)
	calls := designCalls / designHosts
	commit, lease := r.designCommit(), last(r.Leases)
	programs := float64(designPrograms) / designHosts
	sequencer := calls*o.MicrosPerCall/1e6 + o.MicrosPerTick/1e6
	decisions := calls * (d.MicrosPerCall + d.MicrosToFinish) / 1e6
	commits := calls * commit.MicrosPerCall / 1e6
	leases := lease.MicrosPerHostSec / 1e6
	peer := last(r.Control).ProcessCoreShare + last(r.HostLists).DecodeMicros/1e6
	memory := o.BytesPerProgram*programs + last(r.Control).HeapBytes
	return []row{
		{"programs owned", "", programs, 0, false, "220,000 / 350"},
		{"shards owned", "", float64(designShards) / designHosts, 0, false, "4,100 / 350"},
		{"processor, sequencer", "core", sequencer, limitCoreShare, true, fmt.Sprintf("%.1f calls/s x %.1f us + a tick of %.0f us a second, %d programs", calls, o.MicrosPerCall, o.MicrosPerTick, o.Programs)},
		{"processor, scheduling", "core", decisions, limitCoreShare, true, fmt.Sprintf("routing and admission %.1f us + end %.1f us, %d targets", d.MicrosPerCall, d.MicrosToFinish, d.Targets)},
		{"processor, group commit", "core", commits, limitCoreShare, true, fmt.Sprintf("%.1f us a call, batching and encoding", commit.MicrosPerCall)},
		{"processor, leases and shards", "core", leases, limitCoreShare, true, fmt.Sprintf("%d shards, %d hosts", lease.Shards, lease.Hosts)},
		{"processor, control plane in all", "core", peer + sequencer + decisions + commits + leases, limitCoreShare, false, "the lines above and those of a peer"},
		{"memory of programs", "B", o.BytesPerProgram * programs, limitMemoryBytes, true, fmt.Sprintf("%.0f B x %.0f programs of %d turns of 2 x %d B", o.BytesPerProgram, programs, o.Turns, turnBytes)},
		{"memory, programs and peer", "B", memory, limitMemoryBytes, false, "without streams in flight, the cache estimate and the runtime"},
		{"one routing decision", "us", d.MicrosPerCall, MaxDecisionMicros, true, fmt.Sprintf("with admission, %d targets", d.Targets)},
		{"wait for group commit, mean", "ms", commit.MeanWaitMs, 0, true, "virtual time, store answer 4 ms; bounded by the write allowance 400/350"},
	}
}

func (r *Report) designCommit() CommitSample { return last(r.Commits) }
