package bencher

import (
	"fmt"
	"io"
	"math"
	"slices"
)

// groupByScenario splits rows into groups that differ only in the policy. Rows of a group
// must follow each other.
func groupByScenario(rows []Row) [][]Row {
	var groups [][]Row
	for i, r := range rows {
		if i == 0 || r.Title() != rows[i-1].Title() {
			groups = append(groups, nil)
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], r)
	}
	return groups
}

// findPolicy returns the row of a policy in a group.
func findPolicy(group []Row, policy string) (Row, bool) {
	i := slices.IndexFunc(group, func(r Row) bool { return r.Policy == policy })
	if i < 0 {
		return Row{}, false
	}
	return group[i], true
}

// bestBaseline returns the lowest value over the baselines of a group.
func bestBaseline(group []Row, policies []NamedPolicy, value func(Result) float64) float64 {
	best := math.Inf(1)
	for _, p := range policies {
		if r, ok := findPolicy(group, p.Name); ok && !p.Reference && p.Name != StandardPolicyName && r.Result.Completed > 0 {
			best = math.Min(best, value(r.Result))
		}
	}
	return best
}

func p95Latency(r Result) float64          { return r.P95Latency }
func medianLatency(r Result) float64       { return r.MedianLatency }
func wastedTokensPerCall(r Result) float64 { return r.WastedTokensPerCall }
func linkBytesPerCall(r Result) float64    { return r.LinkBytes / float64(max(1, r.Calls)) }

// ratio formats a value divided by a reference. Two values near 0 count as equal.
func ratio(value, reference float64) string {
	if reference < 1e-9 {
		if value < 1e-9 {
			return "1.00"
		}
		return "–"
	}
	return fmt.Sprintf("%.2f", value/reference)
}

// WriteCells prints the main table: absolute values of every policy, and for the
// standard policy the ratios to the best baseline and to the reference.
func WriteCells(out io.Writer, rows []Row, policies []NamedPolicy) {
	fmt.Fprintln(out, "| deployment | load | fault | policy | median s | p95 s | wasted tokens/call | link MB | completed | refused | failed | unfinished | goodput calls/s |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		x := r.Result
		fmt.Fprintf(out, "| %s | %.2f | %s | %s | %.1f | %.1f | %.0f | %.0f | %d | %d | %d | %d | %.2f |\n",
			r.Deployment, r.Load, r.Fault, r.Policy, x.MedianLatency, x.P95Latency, x.WastedTokensPerCall, x.LinkBytes/1e6,
			x.Completed, x.Rejected, x.Failed, x.Unfinished, x.Goodput)
	}
	fmt.Fprintln(out)
	writeRatios(out, rows, policies)
}

func writeRatios(out io.Writer, rows []Row, policies []NamedPolicy) {
	fmt.Fprintln(out, "| deployment | load | fault | median | p95 | wasted | link bytes/call | goodput | p95 to affinity | wasted to affinity |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|")
	for _, group := range groupByScenario(rows) {
		own, ok := findPolicy(group, StandardPolicyName)
		if !ok {
			continue
		}
		x := own.Result
		goodput := -bestBaseline(group, policies, func(r Result) float64 { return -r.Goodput })
		fmt.Fprintf(out, "| %s | %.2f | %s | %s | %s | %s | %s | %s |", own.Deployment, own.Load, own.Fault,
			ratio(x.MedianLatency, bestBaseline(group, policies, medianLatency)), ratio(x.P95Latency, bestBaseline(group, policies, p95Latency)),
			ratio(x.WastedTokensPerCall, bestBaseline(group, policies, wastedTokensPerCall)),
			ratio(linkBytesPerCall(x), bestBaseline(group, policies, linkBytesPerCall)), ratio(x.Goodput, goodput))
		if a, found := findPolicy(group, "affinity"); found {
			fmt.Fprintf(out, " %s | %s |", ratio(x.P95Latency, a.Result.P95Latency), ratio(x.WastedTokensPerCall, a.Result.WastedTokensPerCall))
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintln(out)
}

// Miss is a scenario in which the standard policy misses a target.
type Miss struct {
	Scenario string
	Target   string
	Got      float64
	Want     float64
}

// CheckTargets compares the standard policy with the targets of the design page.
// goodputAtCapacity has the goodput of each deployment at its capacity.
func CheckTargets(rows []Row, policies []NamedPolicy, goodputAtCapacity map[string]float64) []Miss {
	var misses []Miss
	for _, group := range groupByScenario(rows) {
		own, ok := findPolicy(group, StandardPolicyName)
		if !ok {
			continue
		}
		check := func(target string, got, want float64) {
			if got > want {
				misses = append(misses, Miss{Scenario: own.Title(), Target: target, Got: got, Want: want})
			}
		}
		latency := own.Result.P95Latency / bestBaseline(group, policies, p95Latency)
		wasted := own.Result.WastedTokensPerCall / math.Max(1, bestBaseline(group, policies, wastedTokensPerCall))
		check("p95 to best baseline", latency, 1.05)
		check("median to best baseline", own.Result.MedianLatency/bestBaseline(group, policies, medianLatency), 1.05)
		check("wasted cache to best baseline", wasted, 1.05)
		check("link bytes to best baseline", linkBytesPerCall(own.Result)/bestBaseline(group, policies, linkBytesPerCall), 1.05)
		if own.Load >= 0.8 && own.Load <= 0.95 {
			check("p95 to best baseline", latency, 0.5)
			check("wasted cache to best baseline", wasted, 0.3)
		}
		if own.Load > 1 && own.Fault == Healthy {
			check("loss of goodput", 1-own.Result.Goodput/goodputAtCapacity[own.Deployment], 0.05)
		}
	}
	return misses
}

// WriteMisses prints the misses, or a line that all targets are met.
func WriteMisses(out io.Writer, misses []Miss) {
	if len(misses) == 0 {
		fmt.Fprintln(out, "All targets are met.")
		return
	}
	fmt.Fprintln(out, "| missed in | target | got | at most |")
	fmt.Fprintln(out, "|---|---|---|---|")
	for _, m := range misses {
		fmt.Fprintf(out, "| %s | %s | %.2f | %.2f |\n", m.Scenario, m.Target, m.Got, m.Want)
	}
}

// WriteCapacities prints the highest sustained rate of every policy.
func WriteCapacities(out io.Writer, capacities []Capacity) {
	fmt.Fprintln(out, "| deployment | policy | programs/s | calls/s |")
	fmt.Fprintln(out, "|---|---|---|---|")
	for _, c := range capacities {
		fmt.Fprintf(out, "| %s | %s | %.2f | %.2f |\n", c.Deployment, c.Policy, c.Rate, c.Goodput)
	}
}
