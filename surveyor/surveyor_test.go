package surveyor_test

import (
	"testing"
	"time"
)

func TestReplay(t *testing.T) {
	for _, delay := range []time.Duration{-1, 0, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond} {
		r := newReplay(1)
		if delay >= 0 {
			r.startReports(100*time.Millisecond, delay, 0)
		}
		t.Log(delay, r.run(16*time.Second))
	}
}
