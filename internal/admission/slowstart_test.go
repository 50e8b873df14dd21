package admission

import (
	"testing"
	"time"
)

// Rule 4: a node that knows nothing sends a cold server next to nothing.
func TestSlowStartRamp(t *testing.T) {
	r := newTestController(t, testSettings())
	r.handle(ServersUpdated{Servers: []Server{{ID: "n", Pool: 0, Started: r.now - time.Second}}})
	if sent := r.offerSteadily(10*millisecond, 2*time.Second, 50*millisecond); sent > 4 {
		t.Errorf("%d set-ups in the first 2 s to a cold server, want at most 4", sent)
	}
	if sent := r.offerSteadily(10*millisecond, 6*time.Second, 50*millisecond); sent < 6 {
		t.Errorf("%d set-ups in the next 6 s, want the climb to go on", sent)
	}
}

// A new id without a start time, seen as a change, has just started.
func TestNewServerStartsSlowly(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.handle(ServersUpdated{Servers: []Server{serverB}})
	if !r.machine.servers[1].ramp.inSlowStart {
		t.Error("a server that appeared among changes counts as warm")
	}
}

// The cold share of what the pool carried goes to its replacement at once.
func TestSlowStartUsesPoolPeak(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.offerSteadily(20*millisecond, 4*time.Second, 30*millisecond)
	r.handle(ServersUpdated{Servers: []Server{{ID: "a", State: Removed}, {ID: "n", Pool: 0, Started: r.now}}})
	sent := r.offerSteadily(10*millisecond, 2*time.Second, 30*millisecond)
	if sent < 15 || sent > 60 {
		t.Errorf("%d set-ups in 2 s to the successor of a server that carried 50 a second, want 15 to 60", sent)
	}
}

func TestSlowStartOfManyControllers(t *testing.T) {
	nodes := newTestControllers(t, 200, serverA)
	sent := [3]int{}
	for _, r := range nodes { // each sends a call in two seconds: 100 a second in all
		r.offerSteadily(2*time.Second, 40*time.Second, 40*millisecond)
		r.handle(ServersUpdated{Servers: []Server{{ID: "a", Pool: 0, Started: r.now}}})
		for i, d := range []time.Duration{time.Second, 4 * time.Second, 5 * time.Second} {
			sent[i] = sent[i] + r.offerSteadily(200*millisecond, d, 40*millisecond)
		}
	}
	// It starts at 40 calls a second and is warm after 10 s.
	for i, want := range [][2]int{{25, 80}, {130, 480}, {250, 1000}} {
		if sent[i] < want[0] || sent[i] > want[1] {
			t.Errorf("span %d: 200 nodes sent %d calls to a cold server, want %d to %d", i, sent[i], want[0], want[1])
		}
	}
}

// A restarted server with start share 0 must not be left alone for good.
func TestSlowStartShareZero(t *testing.T) {
	for _, size := range []int{1, 1000} {
		set := testSettings()
		set.SlowStartShare, set.ControllerCount = 0, size
		r := newTestController(t, set, serverA)
		r.offerSteadily(500*millisecond, 20*time.Second, 40*millisecond)
		r.handle(ServersUpdated{Servers: []Server{{ID: "a", Started: r.now}}})
		if sent := r.offerSteadily(500*millisecond, 20*time.Second, 40*millisecond); sent < 15 {
			t.Errorf("group of %d: %d of 40 calls in 20 s went to a server that started with share 0", size, sent)
		}
	}
}
