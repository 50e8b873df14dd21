package admission

import (
	"math"
	"testing"
	"time"
)

func TestRateLimitRejectsLowPriorityFirst(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.offerSteadily(100*millisecond, 4*time.Second, 50*millisecond)
	id, s := r.offer("read", 0)
	r.endAttempt(id, s, ServerBusy, CauseProcessorBusy)
	if c := r.machine.servers[0].limit.rate; math.IsInf(c, 1) || c > 10 {
		t.Fatalf("ceiling after 'processor full' is %v, want at most the recent rate of 10", c)
	}
	r.machine.servers[0].limit.rate = 14
	reads, writes := 0, 0
	for range 12 {
		if _, s := r.offer("read", 0); s != "" {
			reads++
		}
	}
	if _, s := r.offer("write", 0); s != "" {
		writes++
	}
	if reads > burstSize || writes != 1 {
		t.Errorf("under the ceiling %d reads and %d writes went out, want at most %d and 1", reads, writes, burstSize)
	}
}

// An idle server that turns a few calls away at random must not be left by all.
func TestBusyServerThatAnswersQuickly(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.offerSteadily(100*millisecond, 4*time.Second, 40*millisecond)
	id, s := r.offer("read", 0)
	r.handle(AttemptEnded{CallID: id, Server: s, Result: ServerBusy, Cause: CauseProcessorBusy, RetryAfter: 2 * time.Second})
	srv := r.machine.servers[0]
	if math.IsInf(srv.limit.rate, 1) || srv.limit.rate < 9 || srv.backoffUntil > r.now {
		t.Errorf("ceiling %v, left alone for %v: want about the recent rate of 10, and no wait", srv.limit.rate, srv.backoffUntil-r.now)
	}
}

func TestRateLimitExpiresWithoutOverload(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.offerSteadily(200*millisecond, 4*time.Second, 50*millisecond)
	id, s := r.offer("read", 0)
	r.endAttempt(id, s, ServerBusy, CauseProcessorBusy)
	r.offerSteadily(500*millisecond, 3*r.machine.window, 50*millisecond)
	if c := r.machine.servers[0].limit.rate; !math.IsInf(c, 1) {
		t.Errorf("ceiling %v still stands after clean windows", c)
	}
}

// A ceiling that lapses while callers queue for it lets the jam back in.
func TestRateLimitStaysWhileUsedUp(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.offerSteadily(200*millisecond, 4*time.Second, 50*millisecond)
	id, s := r.offer("read", 0)
	r.endAttempt(id, s, ServerBusy, CauseProcessorBusy)
	r.advance(r.machine.window - 500*millisecond)
	r.offerSteadily(10*millisecond, time.Second, 50*millisecond)
	if c := r.machine.servers[0].limit.rate; math.IsInf(c, 1) {
		t.Error("the ceiling lapsed though it held calls back")
	}
}

// After a pause all nodes would send their whole window at once.
func TestRateLimitBoundsBursts(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.offerSteadily(100*millisecond, 4*time.Second, 50*millisecond)
	r.advance(time.Second)
	id, s := r.offer("read", 0)
	r.endAttempt(id, s, ServerBusy, CauseProcessorBusy)
	r.advance(r.machine.window - 200*millisecond)
	sent := 0
	for range 20 {
		if id, s := r.offer("read", 0); s != "" {
			sent++
			r.establish(id, s, 50*millisecond)
		}
	}
	if sent == 0 || sent > burstSize {
		t.Errorf("%d calls went out at once under a ceiling, want 1 to %d", sent, burstSize)
	}
}

func TestLateAnswerSetsRateLimit(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	id, s := r.offer("read", 0)
	r.establish(id, s, 900*millisecond)
	if math.IsInf(r.machine.servers[0].limit.rate, 1) {
		t.Error("a call that stood late set no ceiling")
	}
}

// A small server that has become slow must not be kept so by calls that find it out.
func TestProbeRateFollowsPoolPeak(t *testing.T) {
	ceiling := func(gap time.Duration) float64 {
		r := newTestController(t, testSettings(), serverA)
		r.offerSteadily(gap, 8*time.Second, 30*millisecond)
		s := r.machine.servers[0]
		for range 60 { // it answers nothing any more
			r.offer("write", 0)
			r.advance(100 * millisecond)
		}
		return s.limit.rate
	}
	least := 1 / 0.5 / 4.0
	if small := ceiling(1500 * millisecond); small > least/2 {
		t.Errorf("a small server still gets %.2f calls a second of %.2f", small, least)
	}
	if large := ceiling(20 * millisecond); large < least {
		t.Errorf("a large server gets %.2f calls a second of %.2f", large, least)
	}
}

func TestNewRateLimitDiscardsTokens(t *testing.T) {
	sent := 0
	for _, r := range newTestControllers(t, 200, serverA) {
		r.offerSteadily(10*time.Second, 40*time.Second, 50*millisecond)
		id, s := r.offer("read", 0)
		r.advance(800 * millisecond)
		r.endAttempt(id, s, TimedOut, CauseNone)
		r.advance(r.machine.window)
		if _, s := r.offer("read", 0); s != "" {
			sent++
		}
	}
	if sent > 120 {
		t.Errorf("%d of 200 nodes sent a call within a window to a server that had just let theirs expire", sent)
	}
}

func TestRecoveryWaitsForEvidence(t *testing.T) {
	grown := func(clean bool) float64 {
		r := newTestControllers(t, 100, serverA)[0]
		r.offerSteadily(5*time.Second, 40*time.Second, 50*millisecond)
		s := r.machine.findServer("a")
		id, _ := r.offer("read", 0)
		r.advance(time.Second)
		r.establish(id, "a", time.Second)
		was := s.limit.rate
		if clean {
			r.handle(LoadReported{Server: "a", OK: true, Load: LoadReport{QueueDelay: Optional{0.01, true}}})
		}
		r.advance(3 * time.Second)
		return s.limit.rate / was
	}
	if without, with := grown(false), grown(true); without > 1.3 || with < 1.5 {
		t.Errorf("in 3 s a ceiling grew to %.2f of its value without evidence, to %.2f with", without, with)
	}
}

// A node of many calls must not be held to a few a period where nothing is pressed.
func TestManyCallsWithoutRateLimit(t *testing.T) {
	set := testSettings()
	set.ControllerCount = 1
	r := newTestController(t, set, serverA)
	r.offerSteadily(100*millisecond, 5*time.Second, 40*millisecond)
	asked, sent := 0, 0
	for end := r.now + 10*time.Second; r.now < end; r.advance(100 * millisecond) {
		for range 4 { // all within one period
			asked++
			if id, s := r.offer("read", 0); s != "" {
				sent++
				r.establish(id, s, 40*millisecond)
			}
		}
	}
	if sent < asked {
		t.Errorf("%d of %d calls were sent to an idle server", sent, asked)
	}
	s := r.machine.findServer("a")
	s.limit.rate, s.limit.overloadedAt = 35, r.now
	if sent := r.offerSteadily(20*millisecond, 2*time.Second, 40*millisecond); sent < 55 {
		t.Errorf("%d calls in 2 s under a ceiling of 35 a second", sent)
	}
}

// A node of many calls must not be held for seconds to the few calls a period that
// suit one of few calls, while every answer comes at once.
func TestProvenBurst(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	asked, sent := 0, 0
	for end := r.now + time.Second; r.now < end; r.advance(5 * millisecond) {
		for range 2 { // 400 a second
			asked++
			if id, s := r.offer("read", 0); s != "" {
				sent++
				r.establish(id, s, 20*millisecond)
				r.handle(AttemptEnded{CallID: id, Server: s, Result: Delivered, Final: true})
			}
		}
	}
	if sent < asked*3/4 {
		t.Errorf("in its first second a node sent %d of %d calls to a server that answers at once", sent, asked)
	}
}

// Answers that take longer than the quickest prove nothing: the set-ups wait for each other.
func TestQueueingServerHasNoProvenBurst(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	id, s := r.offer("read", 0)
	r.establish(id, s, 20*millisecond)
	for range 40 {
		if id, s := r.offer("read", 0); s != "" {
			r.establish(id, s, 120*millisecond)
		}
		r.advance(5 * millisecond)
	}
	if p := r.machine.servers[0].limit.provenBurst; p > 1 {
		t.Errorf("a server that lets set-ups wait is proven for %v at once", p)
	}
}

// Where calls are few a single quick answer does not end a ceiling early: of hundreds of nodes each
// would be back at full rate a moment after the other. A server's own word does.
func TestSingleQuickAnswerKeepsRateLimit(t *testing.T) {
	for _, c := range []struct {
		answers int
		told    bool
	}{{1, false}, {minSamples, false}, {0, true}} {
		r := newTestController(t, testSettings(), serverA)
		s := r.machine.servers[0]
		r.advance(time.Minute)
		r.machine.recordOverload(s, r.machine.latencyThreshold*3/2)
		s.limit.isHealthy, s.limit.isReported, s.limit.tokens = true, c.told, burstSize
		for range c.answers {
			s.counts.answered.add()
		}
		for end := r.now + 2*r.machine.window; r.now < end; {
			r.advance(r.machine.period)
			s.limit.tokens = burstSize
		}
		if lapsed := math.IsInf(s.limit.rate, 1); lapsed != (c.told || c.answers >= minSamples) {
			t.Errorf("%+v: within %v the ceiling has lapsed: %v", c, 2*r.machine.window, lapsed)
		}
	}
}

// A ceiling of so many set-ups a window and a part of one more lets that part of the nodes send one more.
// (All rounded it down: a fleet of 300 that could send 2.2 in each window sent 2, and exchanges worked 91%
// of the time where 97% were to be had.)
func TestRateLimitRoundingOfManyControllers(t *testing.T) {
	const nodes, perWindow = 400, 2.4
	sent := 0
	for seed := range uint64(nodes) {
		set := testSettings()
		set.ControllerCount = nodes
		c, err := NewStateMachine(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		r := &testController{t: t, machine: c, now: time.Hour}
		r.collect(c.Begin(r.now))
		r.handle(ServersUpdated{Full: true, Cached: true, Servers: []Server{serverA}})
		r.advance(10 * c.window)
		s := c.servers[0]
		c.recordOverload(s, c.latencyThreshold*3/2)
		s.limit.rate = perWindow / highShare / c.span(s)
		for range 6 { // all at once, of top worth: the window alone holds them back
			s.limit.tokens = burstSize
			if _, to := r.offer("write", 0); to != "" {
				sent++
				s.attempts.pending, c.unansweredAttempts = nil, 0
			}
		}
	}
	if mean := float64(sent) / nodes; mean < perWindow-0.15 || mean > perWindow+0.15 {
		t.Errorf("%.2f set-ups a node in a window that may hold %.1f", mean, perWindow)
	}
}
