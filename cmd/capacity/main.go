// Command capacity measures how the load on a daemon grows with the size of the
// deployment.
//
// # Usage
//
//	capacity -data docs/capacity.json -page docs/capacity-own.md   # all measurements
//	capacity -render -data FILE -page FILE                     # render the page from the data
//	capacity -news -hosts 9          # propagation of changes; fails when one takes over 3 s
//	capacity -control 9,50,150,350   # control traffic of idle fleets
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodweir/dogwoodweir/measurer"
)

func main() {
	news := flag.Bool("news", false, "measure how long changes take to reach every daemon")
	hosts := flag.Int("hosts", 9, "number of daemons for -news")
	control := flag.String("control", "", "measure the control traffic of idle fleets of these sizes, such as 9,50,150,350")
	warmUp := flag.Duration("warmUp", 10500*time.Millisecond, "time for which each fleet of -control runs before it is measured")
	window := flag.Duration("window", 3*time.Second, "time for which each fleet of -control is measured")
	data := flag.String("data", "docs/capacity.json", "file of the measurements")
	page := flag.String("page", "docs/capacity-own.md", "file of the rendered page")
	render := flag.Bool("render", false, "render the page from the data without measuring")
	flag.Parse()
	ctx := context.Background()
	var err error
	if !*news && *control == "" {
		err = measureAll(ctx, *data, *page, *render)
	}
	if *news {
		err = printPropagation(ctx, *hosts)
	}
	if err == nil && *control != "" {
		err = printControl(ctx, *control, *warmUp, *window)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// measureAll runs all measurements and writes both files. With renderOnly it reads the
// data file and writes only the page.
func measureAll(ctx context.Context, data, page string, renderOnly bool) error {
	var report *measurer.Report
	if renderOnly {
		text, err := os.ReadFile(data)
		if err != nil {
			return err
		}
		report = new(measurer.Report)
		if err := json.Unmarshal(text, report); err != nil {
			return err
		}
	} else {
		measured, err := measurer.Measure(ctx, func(name string) { fmt.Println("measuring:", name) })
		if err != nil {
			return err
		}
		report = measured
		text, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(data, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	return os.WriteFile(page, []byte(report.Markdown()), 0o644)
}

func printPropagation(ctx context.Context, hosts int) error {
	samples, err := measurer.MeasurePropagation(ctx, hosts)
	if err != nil {
		return err
	}
	late := 0
	for _, sample := range samples {
		fmt.Println(sample)
		if sample.Error != "" || sample.Took > measurer.MaxPropagationDelay {
			late++
		}
	}
	if late > 0 {
		return fmt.Errorf("%d of %d changes took longer than %v or failed", late, len(samples), measurer.MaxPropagationDelay)
	}
	return nil
}

func printControl(ctx context.Context, list string, warmUp, window time.Duration) error {
	var sizes []int
	for _, text := range strings.Split(list, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil {
			return err
		}
		sizes = append(sizes, size)
	}
	samples, err := measurer.MeasureControlByHosts(ctx, sizes, warmUp, window)
	if err != nil {
		return err
	}
	fmt.Println("| hosts | targets | sent B/s | received B/s | sum B/s | largest sum B/s | messages/s | core % | heap MB | store reads/s | target probes/s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range samples {
		fmt.Printf("| %d | %d | %.0f | %.0f | %.0f | %.0f | %.1f | %.2f | %.2f | %.2f | %.2f |\n", s.Hosts, s.Targets,
			s.SentBytesPerSec, s.ReceivedBytesPerSec, s.SentBytesPerSec+s.ReceivedBytesPerSec, s.MaxBytesPerSec, s.MessagesPerSec,
			100*s.ProcessCoreShare, s.HeapBytes/1e6, s.StoreReadsPerSec, s.TargetProbesPerSec)
		if s.Unsettled != "" {
			fmt.Fprintln(os.Stderr, "fleet was not settled before the measurement:", s.Unsettled)
		}
	}
	return nil
}
