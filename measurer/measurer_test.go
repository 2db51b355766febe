package measurer

import (
	"context"
	"testing"
	"time"
)

// Guards against a published configuration or a leaving target or host that takes more
// than 3 s to reach nine daemons in three failure domains, over the real protocol:
// without a fault, with the store down after it accepted the change, and with a network
// partition between two of the domains.
func TestPropagation(t *testing.T) {
	timings, err := MeasurePropagation(context.Background(), 9)
	if err != nil {
		t.Fatal(err)
	}
	for _, timing := range timings {
		t.Log(timing)
		if timing.Error != "" || timing.Took > MaxPropagationDelay {
			t.Errorf("took longer than %v or failed: %v", MaxPropagationDelay, timing)
		}
	}
}

// Guards against control traffic of a daemon that grows with the fleet: with four
// times the hosts it may be at most a fifth larger, and never over 5 KB/s.
func TestControlTraffic(t *testing.T) {
	samples, err := MeasureControlByHosts(context.Background(), []int{25, 100}, 4*time.Second, 3*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for _, sample := range samples {
		t.Logf("%+v", sample)
	}
	small, large := samples[0], samples[1]
	total := large.SentBytesPerSec + large.ReceivedBytesPerSec
	if growth := total / (small.SentBytesPerSec + small.ReceivedBytesPerSec); growth > 1.2 || total > 5_000 {
		t.Errorf("%.0f B/s at %d hosts, %.2f times those at %d", total, large.Hosts, growth, small.Hosts)
	}
}
