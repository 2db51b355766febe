package measurer

import (
	"fmt"
	"strings"
)

func (r *Report) storeRows() []row {
	c, commit, lease := last(r.Control), r.designCommit(), last(r.Leases)
	polls := c.StoreReadsPerSec * designHosts
	return []row{
		{"transactions", "/s", commit.FleetWritesPerSec, limitWritesPerSec, true, fmt.Sprintf("group commit: %.2f/s of one daemon at %.1f calls/s in virtual time, x 350", commit.WritesPerSec, commit.CallsPerSec)},
		{"row writes", "/s", 2 * commit.FleetWritesPerSec, 0, false, "lease row and log row; a store that counts rows needs half of storeWriteBudget"},
		{"reads, configuration polls", "/s", polls, limitReadsPerSec, true, fmt.Sprintf("%.2f/s of one daemon x 350", c.StoreReadsPerSec)},
		{"reads, leases and shards", "/s", lease.SteadyReadsPerSec, limitReadsPerSec, true, fmt.Sprintf("%d shards, %d hosts, virtual time", lease.Shards, lease.Hosts)},
		{"reads in all", "/s", polls + lease.SteadyReadsPerSec, limitReadsPerSec, true, "the two lines above"},
		{"bytes written", "B/s", commit.StoreBytesPerSec * designHosts, 0, false, fmt.Sprintf("%.0f B/s of one daemon x 350, turns of 2 x %d B", commit.StoreBytesPerSec, turnBytes)},
		{"configuration changes", "/s", changesPerSec, limitWritesPerSec, false, "11,000 a day, one transaction each"},
	}
}

// remoteHosts are the daemons in the region without the store, which has two of the
// five failure domains.
const remoteHosts = designHosts * 2 / 5

func (r *Report) regionLinkRows() []row {
	c, commit := last(r.Control), r.designCommit()
	message := (c.SentBytesPerSec + c.ReceivedBytesPerSec) / c.MessagesPerSec
	// A daemon sends one heartbeat a second to another domain and rotates over the other
	// four; for 210 daemons two of the four are in the other region, for 140 three.
	beats := 0.6*designHosts*2/4 + 0.4*designHosts*3/4
	log := commit.StoreBytesPerSec * remoteHosts
	size := designTokens / designCalls * 4 / turnBytes
	return []row{
		{"heartbeats", "B/s", beats * 2 * (message + headerBytes), limitLinkBytesPerSec, false, fmt.Sprintf("%.0f/s across, request and answer of %.0f B + %.0f B of headers", beats, message, headerBytes)},
		{"polls of the configuration", "B/s", remoteHosts * pollBytes, limitLinkBytesPerSec, false, fmt.Sprintf("%d daemons x %.0f B/s", remoteHosts, pollBytes)},
		{"log of group commits, short turns", "B/s", log, limitLinkBytesPerSec, false, fmt.Sprintf("%d daemons x %.0f B/s (measured, compressed, turns of 2 x %d B of pseudo-words)", remoteHosts, commit.StoreBytesPerSec, turnBytes)},
		{"log of group commits, answers of 268 tokens", "B/s", log * (1 + size) / 2, limitLinkBytesPerSec, false, fmt.Sprintf("2.2 M / 8,200 tokens x 4 B in place of %d B an answer", turnBytes)},
		{"reads of the host list", "B/s", 4 * listChangesPerSec * float64(last(r.HostLists).Bytes), limitLinkBytesPerSec, false, fmt.Sprintf("if the list is served from the other region only: 4 readers, %.2f changed lists/s", listChangesPerSec)},
	}
}

func (r *Report) engineRows() []row {
	return []row{
		{"calls of one engine", "/s", designCalls / designTargets, 0, false, "8,200 / 5,600"},
		{"probes of one engine", "/s", 0.1, 0, false, "one daemon of its failure domain, every 10 s; calls within 10 s replace them"},
		{"daemons that use one engine", "", 64 * designHosts / designTargets, 0, false, "subset of 64 x 350 / 5,600, for one service"},
	}
}

func (r *Report) commandLineRows() []row {
	return []row{
		{"requests of one publish", "", 2, 0, false, "read and compare-and-set through one daemon; with -wait one status request a second"},
		{"publishes", "/s", changesPerSec, limitWritesPerSec, false, "11,000 a day"},
	}
}

func (r *Report) failureRows() []row {
	lease, c := last(r.Leases), last(r.Control)
	polls := c.StoreReadsPerSec * designHosts
	owned := float64(designShards) / designHosts
	records := last(r.Owners).RecordsPerCall * designCalls / designHosts
	share := limitWritesPerSec / designHosts
	backlog := 4_096 * last(r.Owners).LogBytesPerCall / last(r.Owners).RecordsPerCall * remoteHosts
	return []row{
		{"failure domain lost: reads, peak second", "/s", lease.PeakReadsPerSec + polls, limitReadsPerSec, true, fmt.Sprintf("%.0f for leases and shards + polls; %d of %d hosts lost", lease.PeakReadsPerSec, lease.LostHosts, lease.Hosts)},
		{"failure domain lost: writes for ownership, peak second", "/s", lease.PeakWritesPerSec, limitWritesPerSec, true, "fencing and claims, inside each daemon's write allowance"},
		{"failure domain lost: shards owned after 15 s", "", float64(lease.OwnedAfter15Sec), float64(lease.Shards), true, "detection 5 s, lease 6.06 s, claims"},
		{"failure domain lost: all shards owned after", "s", lease.TakeoverSec, 0, true, fmt.Sprintf("%d shards without owner then", lease.Unowned)},
		{"rack of 10 hosts lost: writes for ownership", "", 10 * (1 + owned), 0, false, "one fence and at most 11.7 claims for each host"},
		{"all daemons started at once: shards owned", "", float64(lease.ColdStartOwned), float64(lease.Shards), true, fmt.Sprintf("after %.0f s", lease.ColdStartSec)},
		{"rolling restart of one daemon: handovers", "s", (owned + 1) / share, 130, false, fmt.Sprintf("%.1f shards and the release at %.2f transactions/s, against drainTimeout", owned, share)},
		{"rolling restart of all, one every 10 s", "/s", (2*owned + 2) / 10, limitWritesPerSec, false, "handover and return of 11.7 shards, release and new lease; takes 58 minutes"},
		{"rolling restart of all in 5 minutes", "/s", (2*owned + 2) * designHosts / 300, limitWritesPerSec, false, "the same, leaves the rest for commits"},
		{"region link lost for an hour: time until records are full", "s", 4_096 / records, 3_600, false, fmt.Sprintf("4,096 records / %.1f records/s of one daemon without the store; then notRun", records)},
		{"region link back: time to send the backlog", "s", backlog / limitLinkBytesPerSec, 0, false, fmt.Sprintf("%d daemons x 4,096 records at 30 Mbit/s", remoteHosts)},
	}
}

// overLimitSection lists every row over its limit with a change that would meet the
// limit.
func (r *Report) overLimitSection() string {
	remedies := []struct{ name, remedy string }{
		{"bytes between daemons", "This fleet was not idle: the measuring machine was so busy that heartbeats were missed, and the news of it were spread."},
		{"host list, one of the 10 readers", "A list that answers with the changes since a version; ten of 350 daemons are over the limit until then."},
		{"processor, decoding the host list", "As for the bytes of the list."},
		{"processor, control plane in all", "As for the bytes of the list, whose decoding is the largest part."},
		{"log of group commits", "A store in each region, or a log whose text goes to an object store of the own region while the table service gets digests."},
		{"reads of the host list", "A list in each region, or one that answers with changes."},
		{"failure domain lost: reads", "A lower storeReadBudget (1,200), or polls of the configuration every 2 s, since peers announce versions at once."},
		{"reads in all", "A longer CheckInterval of the lessor, since owners announce handovers."},
		{"sum without the host list", "Fewer probes of targets with traffic, heartbeats of 1.5 s."},
	}
	var b strings.Builder
	b.WriteString("## What does not fit\n\n")
	all := [][]row{r.peerRows(), r.entryRows(), r.ownerRows(), r.storeRows(), r.regionLinkRows(), r.failureRows()}
	for _, rows := range all {
		for _, x := range rows {
			if x.limit == 0 || x.value <= x.limit {
				continue
			}
			remedy := "No remedy is planned yet."
			for _, known := range remedies {
				if strings.HasPrefix(x.name, known.name) {
					remedy = known.remedy
					break
				}
			}
			line := fmt.Sprintf("- %s: %s %s against %s %s. %s\n", x.name, number(x.value), x.unit, number(x.limit), x.unit, remedy)
			b.WriteString(strings.ReplaceAll(line, " M B", " MB"))
		}
	}
	fmt.Fprintf(&b, "- A region cut off from the store can keep nothing durable: after %.0f s of full load its daemons refuse programs as notRun until the link is back. A store in each region would carry it.\n", 4_096/(last(r.Owners).RecordsPerCall*designCalls/designHosts))
	if lease := last(r.Leases); lease.Unowned > 0 || lease.ColdStartOwned < lease.Shards {
		fmt.Fprintf(&b, "- Ownership has a tail in this measurement: %d of %d shards were owned %.0f s after the start of all daemons, and %d lacked an owner %.0f s after the loss of a failure domain.\n",
			lease.ColdStartOwned, lease.Shards, lease.ColdStartSec, lease.Unowned, lease.TakeoverSec)
	}
	b.WriteString("\nNot measured: memory of streams in flight, forwarding between daemons in the path\nof a call, and traffic over real links. Calls through one daemon use a store in\nmemory, so the wait for a real store comes on top of the end of a turn.\n\n")
	return b.String()
}

// measurementTables renders the samples of all measurements as tables.
func (r *Report) measurementTables() string {
	var b strings.Builder
	b.WriteString("## Slopes\n\n| news | situation | hosts | time (s) |\n|---|---|---|---|\n")
	for _, t := range r.Propagation {
		fmt.Fprintf(&b, "| %s | %s | %d | %.3f %s |\n", t.Change, t.Situation, t.Hosts, t.Took.Seconds(), t.Error)
	}
	b.WriteString("\n| hosts | targets | bytes/s | busiest bytes/s | messages/s | core % | memory (MB) | store reads/s |\n|---|---|---|---|---|---|---|---|\n")
	var unsettled []string
	for _, c := range append(append([]ControlSample(nil), r.Control...), r.Targets...) {
		fmt.Fprintf(&b, "| %d | %d | %.0f | %.0f | %.1f | %.2f | %.2f | %.2f |\n", c.Hosts, c.Targets, c.SentBytesPerSec+c.ReceivedBytesPerSec,
			c.MaxBytesPerSec, c.MessagesPerSec, 100*c.ProcessCoreShare, c.HeapBytes/1e6, c.StoreReadsPerSec)
		if c.Unsettled != "" {
			unsettled = append(unsettled, fmt.Sprintf("%d hosts and %d targets: %s", c.Hosts, c.Targets, c.Unsettled))
		}
	}
	for _, text := range unsettled {
		b.WriteString("\nNot settled before the measurement, on a busy machine: " + text + ".\n")
	}
	b.WriteString("\n| programs | turns | shards | bytes/program | us/call | us/tick | log bytes/call |\n|---|---|---|---|---|---|---|\n")
	for _, o := range append(append([]OwnerSample(nil), r.Owners...), r.Shards...) {
		fmt.Fprintf(&b, "| %d | %d | %d | %.0f | %.1f | %.0f | %.0f |\n", o.Programs, o.Turns, o.Shards, o.BytesPerProgram, o.MicrosPerCall, o.MicrosPerTick, o.LogBytesPerCall)
	}
	b.WriteString("\n| targets | us/decision | us/end |\n|---|---|---|\n")
	for _, d := range r.Decisions {
		fmt.Fprintf(&b, "| %d | %.1f | %.1f |\n", d.Targets, d.MicrosPerCall, d.MicrosToFinish)
	}
	b.WriteString("\n| hosts | calls/s of one daemon | transactions/s, fleet | mean wait (ms) | us/call |\n|---|---|---|---|---|\n")
	for _, c := range r.Commits {
		fmt.Fprintf(&b, "| %d | %.1f | %.1f | %.1f | %.1f |\n", c.Hosts, c.CallsPerSec, c.FleetWritesPerSec, c.MeanWaitMs, c.MicrosPerCall)
	}
	b.WriteString("\n| hosts | shards | lost hosts | reads/s | peak reads/s | peak writes/s | owned after 15 s | all owned (s) | us/s of one host |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, l := range r.Leases {
		fmt.Fprintf(&b, "| %d | %d | %d | %.0f | %.0f | %.0f | %d | %.0f | %.0f |\n", l.Hosts, l.Shards, l.LostHosts, l.SteadyReadsPerSec, l.PeakReadsPerSec, l.PeakWritesPerSec, l.OwnedAfter15Sec, l.TakeoverSec, l.MicrosPerHostSec)
	}
	b.WriteString("\n| path | clients | calls | failed or refused | first token p50 / p95 (ms) | between tokens p50 / p95 (ms) | requests/s | processor ms/call |\n|---|---|---|---|---|---|---|---|\n")
	for _, f := range r.CallPaths {
		fmt.Fprintf(&b, "| %s | %d | %d | %d | %.2f / %.2f | %.2f / %.2f | %.0f | %.2f |\n", f.Path, f.Clients, f.Calls, f.Failed, f.FirstTokenP50Ms, f.FirstTokenP95Ms, f.InterTokenP50Ms, f.InterTokenP95Ms, f.RequestsPerSec, f.CPUMsPerCall)
	}
	return b.String()
}
