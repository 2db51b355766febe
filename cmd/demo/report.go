package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dogwoodweir/dogwoodweir/emulator"
)

// report prints the figures of each user and returns whether all guarantees were kept.
func report(ctx context.Context, l *layout, w *workload) (bool, error) {
	held := waitForRelease(ctx, l)
	for _, d := range l.daemons[:1] {
		w.addLinkBytes(ctx, d)
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "\t"+users[0].name+"\t"+users[1].name)
	row := func(name string, value func(u user) any) {
		_, _ = fmt.Fprintf(out, "%s\t%v\t%v\n", name, value(users[0]), value(users[1]))
	}
	wasted, cached, duplicates := map[string]int{}, map[string]int{}, map[string]int{}
	for _, u := range users {
		var err error
		if wasted[u.name], cached[u.name], err = cacheCounts(ctx, l, u.modelService); err != nil {
			return false, err
		}
		if duplicates[u.name], err = countDuplicateRuns(ctx, l, u.toolService); err != nil {
			return false, err
		}
	}
	row("programs completed", func(u user) any { return w.tallies[u.name].completed })
	row("programs refused", func(u user) any { return w.tallies[u.name].rejected })
	row("programs with an unknown outcome", func(u user) any { return w.tallies[u.name].unknown })
	row("program latency, median (s)", func(u user) any { return quantile(w.tallies[u.name].latencies, 0.5) })
	row("program latency, p95 (s)", func(u user) any { return quantile(w.tallies[u.name].latencies, 0.95) })
	row("cached prompt tokens", func(u user) any { return cached[u.name] })
	row("wasted cache (tokens computed again)", func(u user) any { return wasted[u.name] })
	row("bytes between regions", func(u user) any { return int(w.linkBytes[u.modelService] + w.linkBytes[u.toolService]) })
	row("non-repeatable calls run twice", func(u user) any { return duplicates[u.name] })
	row("programs lost", func(u user) any { return w.tallies[u.name].lost })
	row("programs mixed", func(u user) any { return w.tallies[u.name].mixed })
	row("programs whose memory is held", func(u user) any { return held[u.modelService] })
	if err := out.Flush(); err != nil {
		return false, err
	}
	for _, code := range sortedKeys(w.failureCounts) {
		fmt.Printf("%d programs ended with %s\n", w.failureCounts[code], code)
	}
	for _, u := range users {
		t := w.tallies[u.name]
		if duplicates[u.name]+t.lost+t.mixed+held[u.modelService] > 0 {
			w.addViolation("%s: see the table", u.name)
		}
	}
	for _, violation := range w.violations {
		fmt.Println("broken:", violation)
	}
	return len(w.violations) == 0, nil
}

func sortedKeys(m map[string]int) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// quantile formats a quantile of the latencies in seconds, or "-" if there are none.
func quantile(latencies []time.Duration, q float64) string {
	if len(latencies) == 0 {
		return "-"
	}
	latencies = slices.Clone(latencies)
	slices.Sort(latencies)
	return strconv.FormatFloat(latencies[int(q*float64(len(latencies)-1))].Seconds(), 'f', 2, 64)
}

// cacheCounts returns the wasted and the cached tokens of all engines of a service.
func cacheCounts(ctx context.Context, l *layout, role string) (wasted, cached int, err error) {
	for _, t := range l.targets {
		if t.Role != role {
			continue
		}
		var counts struct{ WastedTokens, CachedTokens int }
		if err := getJSON(ctx, "http://"+t.Address+"/counts", "", &counts); err != nil {
			return 0, 0, err
		}
		wasted += counts.WastedTokens
		cached += counts.CachedTokens
	}
	return wasted, cached, nil
}

// countDuplicateRuns counts the idempotency keys with which a service has run more than
// once. The first target is enough, since all targets of a service share one ledger.
func countDuplicateRuns(ctx context.Context, l *layout, role string) (int, error) {
	duplicates := 0
	for _, t := range l.targets {
		if t.Role != role {
			continue
		}
		var runs map[string]int
		if err := getJSON(ctx, "http://"+t.Address+"/runs", "", &runs); err != nil {
			return 0, err
		}
		for _, n := range runs {
			if n > 1 {
				duplicates++
			}
		}
		break
	}
	return duplicates, nil
}

// releaseTimeout is the time after the last program within which the engines must release
// all held memory: two audit intervals and the polls between them.
const releaseTimeout = 8 * time.Second

// waitForRelease waits until the engines hold no memory or releaseTimeout has passed. It
// returns the number of programs for which memory is still held, by service.
func waitForRelease(ctx context.Context, l *layout) map[string]int {
	deadline := time.Now().Add(releaseTimeout)
	for {
		held, total := map[string]int{}, 0
		for _, t := range l.targets {
			if t.Engine == nil {
				continue
			}
			var programs []string
			if err := getJSON(ctx, "http://"+t.Address+"/v1/held", "", &programs); err != nil {
				// An engine that cannot be queried counts as one program.
				programs = []string{err.Error()}
			}
			held[t.Role] += len(programs)
			total += len(programs)
		}
		if total == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return held
		}
		emulator.Sleep(ctx, 200*time.Millisecond)
	}
}

// addLinkBytes adds the bytes that a daemon has sent between regions, from its metrics.
// It adds nothing if they cannot be read.
func (w *workload) addLinkBytes(ctx context.Context, d daemon) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.metricsAddress+"/metrics", nil)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), "} ")
		if !ok || !strings.HasPrefix(name, "dogwoodweir_link_bytes{") {
			continue
		}
		_, rest, _ := strings.Cut(name, `service="`)
		service, _, _ := strings.Cut(rest, `"`)
		bytes, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		w.mu.Lock()
		w.linkBytes[service] += bytes
		w.mu.Unlock()
	}
}
