package bencher

import (
	"fmt"
	"io"
	"math"
	"slices"
)

// groups splits rows into cells: runs that differ only in the policy.
func groups(rows []Row) [][]Row {
	var cells [][]Row
	for i, r := range rows {
		if i == 0 || r.Title() != rows[i-1].Title() {
			cells = append(cells, nil)
		}
		cells[len(cells)-1] = append(cells[len(cells)-1], r)
	}
	return cells
}

func find(cell []Row, policy string) (Row, bool) {
	i := slices.IndexFunc(cell, func(r Row) bool { return r.Policy == policy })
	if i < 0 {
		return Row{}, false
	}
	return cell[i], true
}

// bestOf returns the lowest value over the baselines of a cell.
func bestOf(cell []Row, policies []NamedPolicy, value func(Result) float64) float64 {
	best := math.Inf(1)
	for _, p := range policies {
		if r, ok := find(cell, p.Name); ok && !p.Reference && p.Name != StandardPolicyName && r.Result.Completed > 0 {
			best = math.Min(best, value(r.Result))
		}
	}
	return best
}

func p95(r Result) float64    { return r.P95Latency }
func median(r Result) float64 { return r.MedianLatency }
func wasted(r Result) float64 { return r.WastedTokensPerCall }
func linked(r Result) float64 { return r.LinkBytes / float64(max(1, r.Calls)) }

// ratio prints a value over a reference; both near 0 count as equal.
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
// project's policy the ratios to the best baseline and to the reference.
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
	for _, cell := range groups(rows) {
		own, ok := find(cell, StandardPolicyName)
		if !ok {
			continue
		}
		x := own.Result
		good := -bestOf(cell, policies, func(r Result) float64 { return -r.Goodput })
		fmt.Fprintf(out, "| %s | %.2f | %s | %s | %s | %s | %s | %s |", own.Deployment, own.Load, own.Fault,
			ratio(x.MedianLatency, bestOf(cell, policies, median)), ratio(x.P95Latency, bestOf(cell, policies, p95)),
			ratio(x.WastedTokensPerCall, bestOf(cell, policies, wasted)),
			ratio(linked(x), bestOf(cell, policies, linked)), ratio(x.Goodput, good))
		if a, found := find(cell, "affinity"); found {
			fmt.Fprintf(out, " %s | %s |", ratio(x.P95Latency, a.Result.P95Latency), ratio(x.WastedTokensPerCall, a.Result.WastedTokensPerCall))
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintln(out)
}

// Miss is a cell that does not meet a target.
type Miss struct {
	Scenario string
	Target   string
	Got      float64
	Want     float64
}

// CheckTargets compares the project's policy with the targets of the design page.
// capacity gives the goodput at capacity of each deployment.
func CheckTargets(rows []Row, policies []NamedPolicy, capacity map[string]float64) []Miss {
	var misses []Miss
	for _, cell := range groups(rows) {
		own, ok := find(cell, StandardPolicyName)
		if !ok {
			continue
		}
		limit := func(target string, got, want float64) {
			if got > want {
				misses = append(misses, Miss{Scenario: own.Title(), Target: target, Got: got, Want: want})
			}
		}
		latency := own.Result.P95Latency / bestOf(cell, policies, p95)
		waste := own.Result.WastedTokensPerCall / math.Max(1, bestOf(cell, policies, wasted))
		limit("p95 to best baseline", latency, 1.05)
		limit("median to best baseline", own.Result.MedianLatency/bestOf(cell, policies, median), 1.05)
		limit("wasted cache to best baseline", waste, 1.05)
		limit("link bytes to best baseline", linked(own.Result)/bestOf(cell, policies, linked), 1.05)
		if own.Load >= 0.8 && own.Load <= 0.95 {
			limit("p95 to best baseline", latency, 0.5)
			limit("wasted cache to best baseline", waste, 0.3)
		}
		if own.Load > 1 && own.Fault == Healthy {
			limit("loss of goodput", 1-own.Result.Goodput/capacity[own.Deployment], 0.05)
		}
	}
	return misses
}

// WriteMisses prints the misses, or that there is none.
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
