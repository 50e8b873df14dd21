package admission

import (
	"testing"
	"time"
)

// If all durations of the settings are divided by four, calls move to another pool in a quarter of the time.
func TestRatesScaleWithSettings(t *testing.T) {
	countSent := func(scale time.Duration) (sent int) {
		settings := testSettings()
		settings.ResendInterval /= scale
		settings.RetryGuard /= scale
		settings.SlowStartPeriod /= scale
		for i := range settings.Classes {
			settings.Classes[i].LatencyObjective /= scale
			settings.Classes[i].Deadline /= scale
		}
		tc := newTestController(t, settings, serverA, serverB)
		tc.offerSteadily(80*millisecond/scale, 8*time.Second/scale, 80*millisecond/scale)
		tc.handle(ServersUpdated{Servers: []Server{{ID: "a", State: Draining}}})
		return tc.offerSteadily(80*millisecond/scale, 16*time.Second/scale, 80*millisecond/scale)
	}
	slow, fast := countSent(1), countSent(4)
	if slow < 50 || fast < slow*9/10 || fast > slow*11/10 {
		t.Errorf("%d calls sent to the other pool, but %d with all durations divided by four", slow, fast)
	}
}

// A controller that has just started derives the burst that a server can take from its first answers, before a full
// window has passed.
func TestFirstAnswersRaisePoolPeak(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.offerSteadily(100*millisecond, 800*millisecond, 50*millisecond)
	sent := 0
	for range 10 {
		if _, server := tc.offer("read", 0); server == "a" {
			sent++
		}
	}
	if sent <= burstSize || sent == 10 {
		t.Errorf("%d of 10 calls were sent at once", sent)
	}
}
