package admission

import (
	"math"
	"testing"
	"time"
)

// fleet makes many nodes that share nothing but their settings.
func fleet(t *testing.T, n int, servers ...Server) []*rig {
	t.Helper()
	set := testSettings()
	set.ControllerCount = n
	var nodes []*rig
	for seed := range n {
		c, err := NewStateMachine(set, uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, c: c, now: time.Hour}
		r.take(c.Begin(r.now))
		r.feed(ServersUpdated{Full: true, Cached: true, Servers: servers})
		nodes = append(nodes, r)
	}
	return nodes
}

func TestNewCeilingBringsNoStoredCalls(t *testing.T) {
	sent := 0
	for _, r := range fleet(t, 200, a) {
		r.steady(10*time.Second, 40*time.Second, 50*ms)
		id, s := r.ask("read", 0)
		r.pass(800 * ms)
		r.returned(id, s, TimedOut, CauseNone)
		r.pass(r.c.window)
		if _, s := r.ask("read", 0); s != "" {
			sent++
		}
	}
	if sent > 120 {
		t.Errorf("%d of 200 nodes sent a call within a window to a server that had just let theirs expire", sent)
	}
}

func TestCalledOffCountsAsTimeout(t *testing.T) {
	r := fleet(t, 100, a, b)[0]
	for range 20 { // both answer quickly, one call in two seconds each
		for first, name := range []string{"a", "b"} {
			id, _ := r.ask("read", first)
			r.stands(id, name, 50*ms)
		}
		r.pass(2 * time.Second)
	}
	was := r.c.rate(r.c.findServer("a"), &r.c.findServer("a").counts.answered)
	id, _ := r.ask("read", 0)
	called := false
	for range 40 {
		other, _ := r.ask("read", 1)
		r.stands(other, "b", 50*ms)
		called = has[CancelAttempt](r.pass(50*ms)) || called
	}
	r.returned(id, "a", Canceled, CauseNone)
	if got := r.c.findServer("a").limit.rate; !called || got > was/2 {
		t.Errorf("called off: %v; ceiling %.2f/s of %.2f/s answered before", called, got, was)
	}
}

func TestOverflowSparesSmallServers(t *testing.T) {
	small, large := 0, 0
	full := func(r *rig, name string, free, lines float64) {
		r.feed(LoadReported{Server: name, OK: true, Load: LoadReport{FreeCircuits: Optional{free, true}, TotalCircuits: Optional{lines, true}}})
	}
	for _, r := range fleet(t, 300, a, b, Server{ID: "c", Pool: 2}) {
		full(r, "a", 0, 100)
		full(r, "b", 100, 120)
		full(r, "c", 100, 280)
		switch _, s := r.ask("read", 0); s {
		case "b":
			small++
		case "c":
			large++
		default:
			t.Fatalf("a call for a server without lines went to %q", s)
		}
	}
	if small > large/4 {
		t.Errorf("overflow of 300 nodes: %d to the server with 20 calls, %d to the one with 180", small, large)
	}
}

func TestFewStoredOverflowCalls(t *testing.T) {
	sent := 0
	for _, r := range fleet(t, 200, b, a) { // every node sends b a call in ten seconds
		for range 3 {
			id, s := r.ask("read", 1)
			r.stands(id, s, 50*ms)
			r.pass(10 * time.Second)
		}
		r.feed(LoadReported{Server: "a", OK: true, Load: LoadReport{FreeCircuits: Optional{0, true}}})
		for range 3 {
			if _, s := r.ask("read", 0); s == "b" {
				sent++
			}
		}
	}
	if sent == 0 || sent > 240 {
		t.Errorf("200 nodes sent %d overflow calls at once to a server that they send 20 a second", sent)
	}
}

func TestRegrowthWaitsForEvidence(t *testing.T) {
	grown := func(clean bool) float64 {
		r := fleet(t, 100, a)[0]
		r.steady(5*time.Second, 40*time.Second, 50*ms)
		s := r.c.findServer("a")
		id, _ := r.ask("read", 0)
		r.pass(time.Second)
		r.stands(id, "a", time.Second)
		was := s.limit.rate
		if clean {
			r.feed(LoadReported{Server: "a", OK: true, Load: LoadReport{QueueDelay: Optional{0.01, true}}})
		}
		r.pass(3 * time.Second)
		return s.limit.rate / was
	}
	if without, with := grown(false), grown(true); without > 1.3 || with < 1.5 {
		t.Errorf("in 3 s a ceiling grew to %.2f of its value without evidence, to %.2f with", without, with)
	}
}

func TestReportSetsCeilingWhereNothingWasSent(t *testing.T) {
	for name, load := range map[string]LoadReport{
		"wait":    {QueueDelay: Optional{1.5, true}},
		"backlog": {QueueLength: Optional{90, true}, Capacity: Optional{60, true}},
	} {
		r := fleet(t, 100, a)[0]
		r.feed(LoadReported{Server: "a", OK: true, Load: load})
		if _, s := r.ask("read", 0); s != "" {
			t.Errorf("%s: a call went to a server that just reported a wait of 1.5 s", name)
		}
		r.pass(5 * time.Second)
		id, _ := r.ask("read", 0)
		r.stands(id, "a", 40*ms)
		r.c.findServer("a").limit.rate, r.c.findServer("a").limit.tokens = math.Inf(1), burstSize
		r.feed(LoadReported{Server: "a", OK: true, Load: load})
		if _, s := r.ask("read", 0); s == "" {
			t.Errorf("%s: a report, perhaps late, outweighed an answer of this moment", name)
		}
	}
}

func TestColdServerTakenUpByMany(t *testing.T) {
	nodes := fleet(t, 200, a)
	sent := [3]int{}
	for _, r := range nodes { // each sends a call in two seconds: 100 a second in all
		r.steady(2*time.Second, 40*time.Second, 40*ms)
		r.feed(ServersUpdated{Servers: []Server{{ID: "a", Pool: 0, Started: r.now}}})
		for i, d := range []time.Duration{time.Second, 4 * time.Second, 5 * time.Second} {
			sent[i] = sent[i] + r.steady(200*ms, d, 40*ms)
		}
	}
	// It starts at 40 calls a second and is warm after 10 s.
	for i, want := range [][2]int{{25, 80}, {130, 480}, {250, 1000}} {
		if sent[i] < want[0] || sent[i] > want[1] {
			t.Errorf("span %d: 200 nodes sent %d calls to a cold server, want %d to %d", i, sent[i], want[0], want[1])
		}
	}
}

// A node of many calls must not be held to a few a period where nothing is pressed.
func TestManyCallsPassWithoutCeiling(t *testing.T) {
	set := testSettings()
	set.ControllerCount = 1
	r := newRig(t, set, a)
	r.steady(100*ms, 5*time.Second, 40*ms)
	asked, sent := 0, 0
	for end := r.now + 10*time.Second; r.now < end; r.pass(100 * ms) {
		for range 4 { // all within one period
			asked++
			if id, s := r.ask("read", 0); s != "" {
				sent++
				r.stands(id, s, 40*ms)
			}
		}
	}
	if sent < asked {
		t.Errorf("%d of %d calls were sent to an idle server", sent, asked)
	}
	s := r.c.findServer("a")
	s.limit.rate, s.limit.overloadedAt = 35, r.now
	if sent := r.steady(20*ms, 2*time.Second, 40*ms); sent < 55 {
		t.Errorf("%d calls in 2 s under a ceiling of 35 a second", sent)
	}
}
