// Command review-2 plays the scripts of the second review: the platform, its store, runners and clients as
// stand-ins, and the entry daemons as processes of the deploy file.
//
//	review-2 CASE ROOT FOLDER    plays a case; the record goes into the folder
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playTime bounds a case.
const playTime = 115 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE ROOT FOLDER")
		os.Exit(2)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	c := newCluster(os.Args[2], os.Args[3])
	go func() {
		select {
		case <-signals:
			cannotRun(fmt.Errorf("stopped by a signal"))
		case <-time.After(playTime):
			cannotRun(fmt.Errorf("not done after %v", playTime))
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	c.record.line("case %s, with the disruption: %v", os.Args[1], trouble)
	broken, summary := play(c, trouble)
	c.record.line("%s", summary)
	c.close()
	fmt.Println(summary)
	if broken {
		c.record.line("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	c.record.line("the rule held")
	fmt.Println("the rule held")
}
