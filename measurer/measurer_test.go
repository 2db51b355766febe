package measurer

import (
	"context"
	"testing"
	"time"
)

// Guards against a publish or a leaving target or host that takes over 3 s to be
// known on nine daemons of three failure domains over the real protocol: healthy,
// with the store down after acceptance and with a partition between daemons.
func TestNewsTimes(t *testing.T) {
	timings, err := MeasurePropagation(context.Background(), 9)
	if err != nil {
		t.Fatal(err)
	}
	for _, timing := range timings {
		t.Log(timing)
		if timing.Error != "" || timing.Took > MaxPropagationDelay {
			t.Errorf("over %v: %v", MaxPropagationDelay, timing)
		}
	}
}

// Guards against control traffic of a daemon that grows with the fleet: four
// times the hosts may cost at most a fifth more, and never over 5 KB/s.
func TestControlBytes(t *testing.T) {
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
