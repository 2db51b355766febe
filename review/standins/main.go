package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxDuration bounds a case; the time that it may take is 120 s.
const maxDuration = 112 * time.Second

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds the cases by name; each file adds its own. A case reports whether the rule was broken.
// Without trouble it does the same without the disruption.
var cases = map[string]func(ctx context.Context, b *bed, trouble bool) (bool, error){}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		return failed
	}
	folder := os.Args[2]
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case      %s, trouble %t", os.Args[1], trouble)
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	b, err := newBed(r, folder)
	if err != nil {
		r.line("result    the case could not run: %v", err)
		return failed
	}
	defer b.close()
	isBroken, err := cases[os.Args[1]](ctx, b, trouble)
	for _, d := range b.daemons {
		if err == nil && !d.expected && !d.running() {
			err = fmt.Errorf("daemon %s ended by itself", d.name)
		}
	}
	switch {
	case err != nil:
		r.line("result    the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case isBroken:
		r.line("result    the rule was broken")
		return broken
	}
	r.line("result    the rule held")
	return held
}
