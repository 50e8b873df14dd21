package admission

import (
	"math"
	"testing"
	"time"
)

func TestRateLimitRejectsLowPriorityFirst(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.offerSteadily(100*millisecond, 4*time.Second, 50*millisecond)
	id, s := tc.offer("read", 0)
	tc.endAttempt(id, s, ResultServerBusy, CauseProcessorBusy)
	if rate := tc.machine.servers[0].limit.rate; math.IsInf(rate, 1) || rate > 10 {
		t.Fatalf("rate limit after a rejection for overload is %v, want at most the recent rate of 10", rate)
	}
	tc.machine.servers[0].limit.rate = 14
	reads, writes := 0, 0
	for range 12 {
		if _, s := tc.offer("read", 0); s != "" {
			reads++
		}
	}
	if _, s := tc.offer("write", 0); s != "" {
		writes++
	}
	if reads > burstSize || writes != 1 {
		t.Errorf("%d reads and %d writes were sent under a rate limit, want at most %d and 1",
			reads, writes, burstSize)
	}
}

// An idle server that rejects a few calls at random must not lose the calls of all controllers.
func TestBusyServerThatAnswersQuickly(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.offerSteadily(100*millisecond, 4*time.Second, 40*millisecond)
	id, s := tc.offer("read", 0)
	tc.handle(AttemptEnded{
		CallID: id, Server: s, Result: ResultServerBusy, Cause: CauseProcessorBusy,
		RetryAfter: 2 * time.Second,
	})
	srv := tc.machine.servers[0]
	if math.IsInf(srv.limit.rate, 1) || srv.limit.rate < 9 || srv.backoffUntil > tc.now {
		t.Errorf("rate limit %v, back-off %v: want about the recent rate of 10, and no back-off",
			srv.limit.rate, srv.backoffUntil-tc.now)
	}
}

func TestRateLimitExpiresWithoutOverload(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.offerSteadily(200*millisecond, 4*time.Second, 50*millisecond)
	id, s := tc.offer("read", 0)
	tc.endAttempt(id, s, ResultServerBusy, CauseProcessorBusy)
	tc.offerSteadily(500*millisecond, 3*tc.machine.window, 50*millisecond)
	if rate := tc.machine.servers[0].limit.rate; !math.IsInf(rate, 1) {
		t.Errorf("rate limit %v has not expired after windows without overload", rate)
	}
}

// A rate limit must not expire while it throttles calls, because the overload would return.
func TestRateLimitStaysWhileUsedUp(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.offerSteadily(200*millisecond, 4*time.Second, 50*millisecond)
	id, s := tc.offer("read", 0)
	tc.endAttempt(id, s, ResultServerBusy, CauseProcessorBusy)
	tc.advance(tc.machine.window - 500*millisecond)
	tc.offerSteadily(10*millisecond, time.Second, 50*millisecond)
	if rate := tc.machine.servers[0].limit.rate; math.IsInf(rate, 1) {
		t.Error("the rate limit expired while it throttled calls")
	}
}

// After a pause, a controller must not send a full window of calls at once.
func TestRateLimitBoundsBursts(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.offerSteadily(100*millisecond, 4*time.Second, 50*millisecond)
	tc.advance(time.Second)
	id, s := tc.offer("read", 0)
	tc.endAttempt(id, s, ResultServerBusy, CauseProcessorBusy)
	tc.advance(tc.machine.window - 200*millisecond)
	sent := 0
	for range 20 {
		if id, s := tc.offer("read", 0); s != "" {
			sent++
			tc.establish(id, s, 50*millisecond)
		}
	}
	if sent == 0 || sent > burstSize {
		t.Errorf("%d calls were sent at once under a rate limit, want 1 to %d", sent, burstSize)
	}
}

func TestLateAnswerSetsRateLimit(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	id, s := tc.offer("read", 0)
	tc.establish(id, s, 900*millisecond)
	if math.IsInf(tc.machine.servers[0].limit.rate, 1) {
		t.Error("a call that was established late did not set a rate limit")
	}
}

// Probes must not keep a small server overloaded.
func TestProbeRateFollowsPoolPeak(t *testing.T) {
	rateLimitAfter := func(interval time.Duration) float64 {
		tc := newTestController(t, testSettings(), serverA)
		tc.offerSteadily(interval, 8*time.Second, 30*millisecond)
		s := tc.machine.servers[0]
		for range 60 { // the server no longer answers
			tc.offer("write", 0)
			tc.advance(100 * millisecond)
		}
		return s.limit.rate
	}
	minProbeRate := 1 / 0.5 / 4.0
	if small := rateLimitAfter(1500 * millisecond); small > minProbeRate/2 {
		t.Errorf("the rate limit of a small server is %.2f calls per second, want at most half of %.2f", small, minProbeRate)
	}
	if large := rateLimitAfter(20 * millisecond); large < minProbeRate {
		t.Errorf("the rate limit of a large server is %.2f calls per second, want at least %.2f", large, minProbeRate)
	}
}

func TestNewRateLimitDiscardsTokens(t *testing.T) {
	sent := 0
	for _, tc := range newTestControllers(t, 200, serverA) {
		tc.offerSteadily(10*time.Second, 40*time.Second, 50*millisecond)
		id, s := tc.offer("read", 0)
		tc.advance(800 * millisecond)
		tc.endAttempt(id, s, ResultTimedOut, CauseNone)
		tc.advance(tc.machine.window)
		if _, s := tc.offer("read", 0); s != "" {
			sent++
		}
	}
	if sent > 120 {
		t.Errorf("%d of 200 controllers sent a call to a server within a window after an attempt there had timed out",
			sent)
	}
}

func TestRecoveryWaitsForEvidence(t *testing.T) {
	growth := func(withReport bool) float64 {
		tc := newTestControllers(t, 100, serverA)[0]
		tc.offerSteadily(5*time.Second, 40*time.Second, 50*millisecond)
		s := tc.machine.findServer("a")
		id, _ := tc.offer("read", 0)
		tc.advance(time.Second)
		tc.establish(id, "a", time.Second)
		before := s.limit.rate
		if withReport {
			tc.handle(LoadReported{Server: "a", OK: true, Load: LoadReport{QueueDelay: Optional{0.01, true}}})
		}
		tc.advance(3 * time.Second)
		return s.limit.rate / before
	}
	if without, with := growth(false), growth(true); without > 1.3 || with < 1.5 {
		t.Errorf("within 3 s a rate limit grew by a factor of %.2f without evidence of health, and of %.2f with it",
			without, with)
	}
}

// A controller with many calls must not be limited to a few per period if no server is overloaded.
func TestManyCallsWithoutRateLimit(t *testing.T) {
	settings := testSettings()
	settings.ControllerCount = 1
	tc := newTestController(t, settings, serverA)
	tc.offerSteadily(100*millisecond, 5*time.Second, 40*millisecond)
	offered, sent := 0, 0
	for end := tc.now + 10*time.Second; tc.now < end; tc.advance(100 * millisecond) {
		for range 4 { // all within one period
			offered++
			if id, s := tc.offer("read", 0); s != "" {
				sent++
				tc.establish(id, s, 40*millisecond)
			}
		}
	}
	if sent < offered {
		t.Errorf("%d of %d calls were sent to an idle server", sent, offered)
	}
	s := tc.machine.findServer("a")
	s.limit.rate, s.limit.overloadedAt = 35, tc.now
	if sent := tc.offerSteadily(20*millisecond, 2*time.Second, 40*millisecond); sent < 55 {
		t.Errorf("%d calls were sent in 2 s under a rate limit of 35 per second", sent)
	}
}

// A controller with many calls must not be limited for seconds to the few calls per period that suit a controller
// with few calls, as long as each call is answered immediately.
func TestProvenBurst(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	offered, sent := 0, 0
	for end := tc.now + time.Second; tc.now < end; tc.advance(5 * millisecond) {
		for range 2 { // 400 calls per second
			offered++
			if id, s := tc.offer("read", 0); s != "" {
				sent++
				tc.establish(id, s, 20*millisecond)
				tc.handle(AttemptEnded{CallID: id, Server: s, Result: ResultDelivered, Final: true})
			}
		}
	}
	if sent < offered*3/4 {
		t.Errorf("in its first second a controller sent %d of %d calls to a server that answers immediately", sent, offered)
	}
}

// Answers that are slower than the quickest one indicate a queue, and do not increase the burst.
func TestQueueingServerHasNoProvenBurst(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	id, s := tc.offer("read", 0)
	tc.establish(id, s, 20*millisecond)
	for range 40 {
		if id, s := tc.offer("read", 0); s != "" {
			tc.establish(id, s, 120*millisecond)
		}
		tc.advance(5 * millisecond)
	}
	if p := tc.machine.servers[0].limit.provenBurst; p > 1 {
		t.Errorf("a server with a queue has a proven burst of %v", p)
	}
}

// If calls are rare, a single quick answer does not end a rate limit early, because hundreds of controllers would
// return to their full rates one shortly after the other. A load report of the server does end it.
func TestSingleQuickAnswerKeepsRateLimit(t *testing.T) {
	for _, c := range []struct {
		answers    int
		isReported bool
	}{{1, false}, {minSamples, false}, {0, true}} {
		tc := newTestController(t, testSettings(), serverA)
		s := tc.machine.servers[0]
		tc.advance(time.Minute)
		tc.machine.recordOverload(s, tc.machine.latencyThreshold*3/2)
		s.limit.isHealthy, s.limit.isReported, s.limit.tokens = true, c.isReported, burstSize
		for range c.answers {
			s.counts.answered.add()
		}
		for end := tc.now + 2*tc.machine.window; tc.now < end; {
			tc.advance(tc.machine.period)
			s.limit.tokens = burstSize
		}
		if hasExpired := math.IsInf(s.limit.rate, 1); hasExpired != (c.isReported || c.answers >= minSamples) {
			t.Errorf("%+v: rate limit expired within %v: %v", c, 2*tc.machine.window, hasExpired)
		}
	}
}

// If a window admits a number of attempts that is not whole, the fraction is rounded up by that share of the
// controllers. When all of them rounded down, each of 300 controllers that could send 2.2 attempts per window sent 2,
// and exchanges were busy 91% of the time instead of 97%.
func TestRateLimitRoundingOfManyControllers(t *testing.T) {
	const controllers, perWindow = 400, 2.4
	sent := 0
	for seed := range uint64(controllers) {
		settings := testSettings()
		settings.ControllerCount = controllers
		machine, err := NewStateMachine(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		tc := &testController{t: t, machine: machine, now: time.Hour}
		tc.collect(machine.Begin(tc.now))
		tc.handle(ServersUpdated{Full: true, Cached: true, Servers: []Server{serverA}})
		tc.advance(10 * machine.window)
		s := machine.servers[0]
		machine.recordOverload(s, machine.latencyThreshold*3/2)
		s.limit.rate = perWindow / highShare / machine.span(s)
		for range 6 { // all at once and of high priority, so that only the window limits them
			s.limit.tokens = burstSize
			if _, to := tc.offer("write", 0); to != "" {
				sent++
				s.attempts.pending, machine.unansweredAttempts = nil, 0
			}
		}
	}
	if mean := float64(sent) / controllers; mean < perWindow-0.15 || mean > perWindow+0.15 {
		t.Errorf("%.2f attempts per controller in a window that admits %.1f", mean, perWindow)
	}
}
