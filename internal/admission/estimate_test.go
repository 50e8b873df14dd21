package admission

import (
	"testing"
	"time"
)

// The module keeps pace with its deployment: where all its times are a quarter, what is left
// of its calls finds its way to the second choice in a quarter of the time.
func TestRatesScaleWithSettings(t *testing.T) {
	taken := func(scale time.Duration) (sent int) {
		set := testSettings()
		set.ResendInterval, set.RetryGuard, set.SlowStartPeriod = set.ResendInterval/scale, set.RetryGuard/scale, set.SlowStartPeriod/scale
		for i := range set.Classes {
			set.Classes[i].LatencyObjective, set.Classes[i].Deadline = set.Classes[i].LatencyObjective/scale, set.Classes[i].Deadline/scale
		}
		r := newTestController(t, set, serverA, serverB)
		r.offerSteadily(80*millisecond/scale, 8*time.Second/scale, 80*millisecond/scale)
		r.handle(ServersUpdated{Servers: []Server{{ID: "a", State: Draining}}})
		return r.offerSteadily(80*millisecond/scale, 16*time.Second/scale, 80*millisecond/scale)
	}
	slow, fast := taken(1), taken(4)
	if slow < 50 || fast < slow*9/10 || fast > slow*11/10 {
		t.Errorf("%d calls to the second choice, %d where all times are a quarter", slow, fast)
	}
}

// A node that has just started learns from its first answers what its servers can have at
// once, not only when a whole window has passed.
func TestFirstAnswersRaisePoolPeak(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.offerSteadily(100*millisecond, 800*millisecond, 50*millisecond)
	sent := 0
	for range 10 {
		if _, to := r.offer("read", 0); to == "a" {
			sent++
		}
	}
	if sent <= burstSize || sent == 10 {
		t.Errorf("%d of 10 calls sent at once", sent)
	}
}
