package admission

import (
	"testing"
	"time"
)

// A controller without a peak rate for the pool of a starting server sends it only a few attempts.
func TestSlowStartRamp(t *testing.T) {
	tc := newTestController(t, testSettings())
	tc.handle(ServersUpdated{Servers: []Server{{ID: "n", Pool: 0, Started: tc.now - time.Second}}})
	if sent := tc.offerSteadily(10*millisecond, 2*time.Second, 50*millisecond); sent > 4 {
		t.Errorf("%d attempts in the first 2 s of a slow start, want at most 4", sent)
	}
	if sent := tc.offerSteadily(10*millisecond, 6*time.Second, 50*millisecond); sent < 6 {
		t.Errorf("%d attempts in the next 6 s, want the ramp to continue", sent)
	}
}

// A server that first appears in a partial update without a start time has just started.
func TestNewServerStartsSlowly(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.handle(ServersUpdated{Servers: []Server{serverB}})
	if !tc.machine.servers[1].ramp.inSlowStart {
		t.Error("a server that appeared in an update is not in slow start")
	}
}

// A replacement server immediately receives the slow-start share of its pool's peak rate.
func TestSlowStartUsesPoolPeak(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.offerSteadily(20*millisecond, 4*time.Second, 30*millisecond)
	tc.handle(ServersUpdated{Servers: []Server{{ID: "a", State: Removed}, {ID: "n", Pool: 0, Started: tc.now}}})
	sent := tc.offerSteadily(10*millisecond, 2*time.Second, 30*millisecond)
	if sent < 15 || sent > 60 {
		t.Errorf("%d attempts in 2 s to the replacement of a server that answered 50 per second, want 15 to 60", sent)
	}
}

func TestSlowStartOfManyControllers(t *testing.T) {
	controllers := newTestControllers(t, 200, serverA)
	sent := [3]int{}
	for _, tc := range controllers { // each sends one call every two seconds: 100 per second in total
		tc.offerSteadily(2*time.Second, 40*time.Second, 40*millisecond)
		tc.handle(ServersUpdated{Servers: []Server{{ID: "a", Pool: 0, Started: tc.now}}})
		for i, d := range []time.Duration{time.Second, 4 * time.Second, 5 * time.Second} {
			sent[i] = sent[i] + tc.offerSteadily(200*millisecond, d, 40*millisecond)
		}
	}
	// The server starts at 40 calls per second and reaches its full capacity after 10 s.
	for i, want := range [][2]int{{25, 80}, {130, 480}, {250, 1000}} {
		if sent[i] < want[0] || sent[i] > want[1] {
			t.Errorf("span %d: 200 controllers sent %d calls to a server in slow start, want %d to %d",
				i, sent[i], want[0], want[1])
		}
	}
}

// A server that restarts with a slow-start share of 0 must receive calls again.
func TestSlowStartShareZero(t *testing.T) {
	for _, controllers := range []int{1, 1000} {
		settings := testSettings()
		settings.SlowStartShare, settings.ControllerCount = 0, controllers
		tc := newTestController(t, settings, serverA)
		tc.offerSteadily(500*millisecond, 20*time.Second, 40*millisecond)
		tc.handle(ServersUpdated{Servers: []Server{{ID: "a", Started: tc.now}}})
		if sent := tc.offerSteadily(500*millisecond, 20*time.Second, 40*millisecond); sent < 15 {
			t.Errorf("%d controllers: %d of 40 calls in 20 s went to a server with a slow-start share of 0", controllers, sent)
		}
	}
}
