package admitter_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/admitter"
)

var start = time.Unix(1_700_000_000, 0)

func random(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// Guards against retry storms: extra attempts stay within the ratio and the burst for any
// order of first attempts and failures.
func TestRetryBudgetBoundsExtraAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio, burst := rapid.Float64Range(0, 0.5).Draw(t, "ratio"), rapid.Float64Range(0, 20).Draw(t, "burst")
		budget := admitter.NewRetryBudget(ratio, burst)
		first, extra := 0, 0
		for _, retry := range rapid.SliceOf(rapid.Bool()).Draw(t, "events") {
			if !retry {
				first++
				budget.Deposit()
			} else if budget.TryWithdraw() {
				extra++
			}
			if float64(extra) > ratio*float64(first)+burst+1e-6 {
				t.Fatalf("%d extra attempts after %d first attempts exceed the budget", extra, first)
			}
		}
	})
}

// Guards against a breaker that lets calls through while open, sends more than one probe at
// a time, or never closes again.
func TestBreakerProbesOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := random(rapid.Uint64().Draw(t, "seed"))
		options := admitter.DefaultBreakerOptions()
		b := admitter.NewBreaker(options)
		now := start
		for range options.FailureThreshold {
			if !b.Allows(now) {
				t.Fatalf("breaker opened before %d failures", options.FailureThreshold)
			}
			b.RecordSent()
			b.RecordResult(now, false, r)
		}
		for range rapid.IntRange(0, 12).Draw(t, "failedProbes") {
			if b.Allows(now) {
				t.Fatalf("breaker allows a call right after a failure")
			}
			now = now.Add(options.MaxOpenTime)
			if !b.Allows(now) {
				t.Fatalf("breaker allows no probe after the longest open time")
			}
			b.RecordSent()
			if b.Allows(now) {
				t.Fatalf("breaker allows a second probe")
			}
			b.RecordResult(now, false, r)
		}
		now = now.Add(options.MaxOpenTime)
		for range options.SuccessThreshold {
			b.RecordSent()
			b.RecordResult(now, true, r)
		}
		if b.Open() || !b.Allows(now) {
			t.Fatalf("breaker is still open after %d successes", options.SuccessThreshold)
		}
	})
}

// Guards against a thundering herd after an outage: the limit of a target that came back
// rises in steps, and rejected callers do not return at the same time.
func TestRecoveryIsGradual(t *testing.T) {
	limit := admitter.NewConcurrencyLimit(admitter.DefaultConcurrencyOptions(40))
	limit.BeginSlowStart(start)
	last := 0
	for _, c := range []struct {
		after time.Duration
		most  int
	}{{0, 1}, {time.Second, 4}, {5 * time.Second, 20}, {10 * time.Second, 40}} {
		got := limit.Limit(start.Add(c.after))
		if got > c.most || got < last {
			t.Errorf("limit after %v is %d, want at most %d and not falling", c.after, got, c.most)
		}
		last = got
	}
	if last != 40 {
		t.Errorf("limit after slow start is %d, want 40", last)
	}
	r, early := random(1), 0
	for range 1_000 {
		after := admitter.RetryAfter(r, 10*time.Second)
		if after < 10*time.Second || after > 20*time.Second {
			t.Fatalf("retry after %v, want 10 s to 20 s", after)
		}
		if after < 12*time.Second {
			early++
		}
	}
	if early > 300 {
		t.Errorf("%d of 1,000 callers return in the first fifth", early)
	}
}

// Guards against shedding that rejects calls of started programs, does not react to
// overload, or does not recover.
func TestSheddingAdapts(t *testing.T) {
	s := admitter.NewAdaptiveShedder(admitter.DefaultSheddingOptions(64))
	now := start
	for range 2_000 {
		now = now.Add(100 * time.Millisecond)
		s.Observe(now, admitter.Sample{QueueTime: 10 * time.Second, ActivePrograms: 40})
	}
	low := s.Limit()
	if d := s.Decide(now, admitter.Request{NewProgram: true, ActivePrograms: 40}); d.Code != admitter.CodeOverloaded {
		t.Errorf("a new program got %q under overload, want %q", d.Code, admitter.CodeOverloaded)
	}
	if d := s.Decide(now, admitter.Request{ActivePrograms: 40}); d.Code != "" {
		t.Errorf("a call of a started program was rejected with %q", d.Code)
	}
	for range 2_000 {
		now = now.Add(100 * time.Millisecond)
		s.Observe(now, admitter.Sample{ActivePrograms: int(math.Ceil(s.Limit()))})
	}
	if s.Limit() < 2*low {
		t.Errorf("limit rose only from %.1f to %.1f after the overload", low, s.Limit())
	}
}
