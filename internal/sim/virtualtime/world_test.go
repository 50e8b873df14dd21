package virtualtime

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
)

func secs(s float64) scenario.Duration { return scenario.Duration(s * float64(time.Second)) }

// rough draws a scenario: a small fleet, some load, two or three faults, perhaps at once.
func rough(seed uint64, length float64) *scenario.Scenario {
	rng := rand.New(rand.NewPCG(seed, 77))
	sc := scenario.Default()
	sc.Name = fmt.Sprint("rough ", seed)
	sc.Length = secs(length)
	sc.Fleet.Controllers, sc.Fleet.Exchanges = 2+rng.IntN(7), 2+rng.IntN(3)
	sc.Callers.Load = 0.5 + 1.2*rng.Float64()
	sc.Callers.Heedless = rng.IntN(4) == 0
	sc.Callers.Hot = []float64{0, 0.1}[rng.IntN(2)]
	for range 2 + rng.IntN(2) {
		sc.Fault = append(sc.Fault, scenario.Fault{Kind: scenario.Kinds[rng.IntN(len(scenario.Kinds))], At: secs(length * (0.2 + 0.4*rng.Float64())),
			For: secs(3 + 5*rng.Float64()), Share: 0.1 + 0.4*rng.Float64(), Factor: 1.4 + 2*rng.Float64(), Keep: 0.4, By: secs(1 + 4*rng.Float64())})
	}
	return &sc
}

func complain(t testing.TB, sc *scenario.Scenario, r *result.Result) {
	t.Helper()
	t.Errorf("%s, seed %d, %v: %v", r.Scenario, r.Seed, sc.Fault, r.Broken)
	for _, b := range r.Breaches[:min(len(r.Breaches), 1)] {
		t.Log(b)
		for _, e := range b.Around {
			t.Log(e)
		}
	}
}

// healthy plays so many rough days and finds no rule broken.
func healthy(t testing.TB, seeds uint64, length float64) {
	for seed := range seeds {
		sc := rough(seed, length)
		if r := Run(sc, seed, Options{}); len(r.Broken) > 0 {
			complain(t, sc, r)
		}
	}
}

// The product as it is breaks no rule whatever is thrown at it.
func TestHealthy(t *testing.T) {
	t.Parallel()
	healthy(t, 24, 15)
}

// Nor when half of the callers leave before the time that they told, wherever their set-ups wait just then: nothing is
// sent on for who has left, and who comes again is another call.
func TestHealthyThoughCallersLeave(t *testing.T) {
	t.Parallel()
	all, held := 0, 0 // held: left while no attempt was out
	for seed := range uint64(24) {
		sc := rough(seed, 15)
		sc.Callers.Leave = 0.5
		left, out := make(map[string]bool), make(map[string]bool)
		r := Run(sc, seed, Options{Watch: func(e invariant.Event) {
			switch id := e.Node + " " + e.Call; e.Kind {
			case invariant.Invite:
				if left[id] {
					t.Errorf("seed %d: sent on for who has left: %v", seed, e)
				}
				out[id] = true
			case invariant.Cancel, invariant.Unsent, invariant.TurnedBack, invariant.Broke, invariant.Answer:
				delete(out, id)
			case invariant.CallerEnd:
				if left[id] = true; !out[id] {
					held++
				}
			}
		}})
		if len(r.Broken) > 0 {
			complain(t, sc, r)
		}
		all += len(left)
	}
	if all < 1000 || held < 50 {
		t.Errorf("%d left, %d of them while no attempt was out: that tells little", all, held)
	}
}

// The same on 200 days: go test -run '^$' -bench Healthy -benchtime 1x ./internal/sim/virtualtime
func BenchmarkHealthy(b *testing.B) {
	for range b.N {
		healthy(b, 200, 30)
	}
}

// A run repeats to the byte, whatever happens in it and on however many cores. (Core.Lost once went
// through calls in the order of a map: this test failed.)
func TestSameToTheByte(t *testing.T) {
	was := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(was)
	var want []byte
	for _, cores := range []int{1, 2, was} {
		runtime.GOMAXPROCS(cores)
		var b bytes.Buffer
		for seed := range uint64(6) {
			if err := Run(rough(seed, 15), seed, Options{}).WriteJSON(&b); err != nil {
				t.Fatal(err)
			}
		}
		if want == nil {
			want = b.Bytes()
		} else if !bytes.Equal(want, b.Bytes()) {
			t.Errorf("on %d cores the runs differ", cores)
		}
	}
}

// A defect is a breach of a rule, put in between the parts of a node.
type defect struct {
	call.Decider
	call.Backends
	rule  invariant.Rule
	every int
	n     int
	list  map[string]admission.ServerState // what the directory says
	first string                           // the one that is cold
}

func (d *defect) due() bool {
	d.n++
	return d.n%d.every == 0
}

// List notes what the directory says, for those who do not keep it.
func (d *defect) UpdateServers(now call.Time, all []admission.Server, full bool) {
	for _, s := range all {
		if d.list[s.ID] = s.State; s.Started > 0 && s.State == admission.Active {
			d.first = s.ID
		}
	}
	d.Decider.UpdateServers(now, all, full)
}

// Pick sends to one that drains, or all calls to the one that is cold.
func (d *defect) Place(now call.Time, r admission.Request) admission.Decision {
	o := d.Decider.Place(now, r)
	switch {
	case d.rule == invariant.DrainsKept && o.Kind == admission.Send:
		for id, phase := range d.list {
			if phase == admission.Draining {
				o.Server = id
			}
		}
	case d.rule == invariant.ColdSpared && d.first != "":
		return admission.Decision{CallID: r.CallID, Kind: admission.Send, Server: d.first, Wait: time.Second}
	}
	return o
}

// Report sends again at once what has timed out.
func (d *defect) Report(now call.Time, p admission.AttemptReport) admission.Decision {
	o := d.Decider.Report(now, p)
	if d.rule == invariant.ReleaseKept && p.Kind == admission.ReportEnded && !p.Final && (p.Result == admission.TimedOut || p.Result == admission.Canceled) {
		return admission.Decision{CallID: p.CallID, Kind: admission.Send, Server: p.Server, Wait: time.Second}
	}
	return o
}

// Invite sends a set-up twice.
func (d *defect) Invite(server string, s call.Setup) {
	d.Backends.Invite(server, s)
	if d.rule == invariant.OneAttempt && d.due() {
		s.Attempt += 5
		d.Backends.Invite(server, s)
	}
}

// answering is a defect on one connection of callers.
type answering struct {
	d *defect
	call.Client
}

// CallEstablished answers twice, or not at all.
func (a *answering) CallEstablished(id string, description []byte) {
	switch {
	case a.d.rule == invariant.InTime && a.d.due():
		return
	case a.d.rule == invariant.OneAnswer && a.d.due():
		a.CallRejected(id, 41, 0)
	}
	a.Client.CallEstablished(id, description)
}

// Each rule has its breach put in, and the checker of that rule finds it.
func TestSeededDefects(t *testing.T) {
	t.Parallel()
	for _, rule := range invariant.All {
		t.Run(string(rule), func(t *testing.T) {
			t.Parallel()
			sc := scenario.Default()
			sc.Length, sc.Callers.Load = secs(30), 0.9
			sc.Fault = []scenario.Fault{{Kind: scenario.Replace, At: secs(5), For: secs(4), Share: 0.4, By: secs(12)}, {Kind: scenario.Hang, At: secs(20), For: secs(3), Share: 0.4}}
			defects := make(map[string]*defect)
			of := func(node string) *defect {
				if defects[node] == nil {
					defects[node] = &defect{rule: rule, every: 50, list: make(map[string]admission.ServerState)}
				}
				return defects[node]
			}
			r := Run(&sc, 3, Options{
				Module: func(node string, d call.Decider) call.Decider { of(node).Decider = d; return of(node) },
				Wire:   func(node string, x call.Backends) call.Backends { of(node).Backends = x; return of(node) },
				Client: func(node string, c call.Client) call.Client {
					return &answering{of(node), c}
				}})
			if r.Broken[string(rule)] == 0 {
				t.Errorf("it is not found: %v", r.Broken)
			}
			if len(r.Breaches) > 0 {
				b := r.Breaches[0]
				if len(b.Around) == 0 || !strings.Contains(b.Error(), string(b.Rule)) {
					t.Errorf("%v with %v", b, b.Around)
				}
			}
		})
	}
}

// Fleets of a large size, for the time and the memory of a minute:
// go test -run '^$' -bench Large -benchtime 1x ./internal/sim/virtualtime
func BenchmarkLarge(b *testing.B) {
	for range b.N {
		sc := scenario.Default()
		sc.Fleet.Controllers, sc.Fleet.Exchanges = 400, 300
		began := time.Now()
		r := Run(&sc, 1, Options{})
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		b.Logf("a minute of %d controllers and %d exchanges: %v, %d events, %d calls, service %.3f, %d MB; broken %v",
			sc.Fleet.Controllers, sc.Fleet.Exchanges, time.Since(began).Round(time.Second), r.Events, r.Offered, r.Service, m.Sys>>20, r.Broken)
	}
}

// What cannot pass does not: no set-up reaches an exchange over a cut between zones, and when it is over
// calls go there again. Set-ups that get lost and connections that die show in what is sent for a call.
func TestLinksThatCarryNothing(t *testing.T) {
	sc := scenario.Default()
	sc.Length, sc.Callers.Load = secs(12), 0.4
	sc.Fault = []scenario.Fault{{Kind: scenario.Sever, At: secs(3), For: secs(4)}}
	type zones struct{ from, to int }
	during, after := make(map[zones]int), make(map[zones]int)
	r := Run(&sc, 3, Options{Watch: func(e invariant.Event) {
		var n, x int
		if _, err := fmt.Sscanf(e.Node+" "+e.Server, "n%d x%d", &n, &x); err != nil || e.Kind != invariant.Answer {
			return
		}
		switch z := (zones{n % 3, x % 3}); {
		case e.At > 4*time.Second && e.At < 7*time.Second:
			during[z]++
		case e.At > 8*time.Second:
			after[z]++
		}
	}})
	whole := sc
	whole.Fault = nil
	was := Run(&whole, 3, Options{})
	if len(r.Broken) > 0 || len(during) != 5 || len(after) != 9 {
		t.Errorf("broken %v; answers between zones in the cut %v, want five pairs of nine; after it %v", r.Broken, during, after)
	}
	for _, kind := range []string{scenario.Lost, scenario.Dead, scenario.Roll} {
		one := whole
		one.Fault = []scenario.Fault{{Kind: kind, At: secs(3), For: secs(5), Share: 0.4, By: secs(0.3)}}
		ended := 0
		r := Run(&one, 3, Options{Watch: func(e invariant.Event) {
			if e.Kind == invariant.Killed {
				ended++
			}
		}})
		more := float64(r.Sends)/float64(r.Offered) > float64(was.Sends)/float64(was.Offered)
		if roll := kind == scenario.Roll; len(r.Broken) > 0 || roll && ended != sc.Fleet.Controllers || !roll && !more {
			t.Errorf("%s: broken %v, %d sends for %d calls, without it %d for %d; %d controllers ended", kind, r.Broken, r.Sends, r.Offered, was.Sends, was.Offered, ended)
		}
	}
}

// Controllers that speak are heard as the platform has it: late, with losses, not over a cut, and again
// after a restart; what was on its way to one that ended is not heard by its next start's ears alone.
func TestControllersSpeak(t *testing.T) {
	sc := scenario.Default()
	sc.Length, sc.Fleet.Controllers, sc.Wire.Lose = secs(10), 6, 0.3
	sc.Fault = []scenario.Fault{{Kind: scenario.Sever, At: secs(2), For: secs(4)}, {Kind: scenario.Kill, At: secs(7), Share: 0.1, By: secs(0.5)}}
	play := func() (r *result.Result, starts int, heard map[[2]int][]time.Duration) {
		heard = make(map[[2]int][]time.Duration)
		var now time.Duration
		say := make(map[int]func(int, []byte))
		said := time.Duration(0)
		r = Run(&sc, 4, Options{
			Talk: func(node int, out func(int, []byte)) func(int, []byte) {
				starts++
				say[node] = out
				return func(from int, b []byte) {
					if string(b) != fmt.Sprint("from ", from) {
						t.Errorf("%d heard %q of %d", node, b, from)
					}
					heard[[2]int{from, node}] = append(heard[[2]int{from, node}], now)
				}
			},
			Watch: func(e invariant.Event) { // what passes sets the pace: everyone speaks ten times a second
				if now = e.At; now-said < 100*time.Millisecond {
					return
				}
				said = now
				for i := range sc.Fleet.Controllers {
					say[i](Everyone, fmt.Append(nil, "from ", i))
				}
				say[0](1, []byte("from 0"))
			},
		})
		return r, starts, heard
	}
	r, starts, heard := play()
	in := 0
	for pair, all := range heard {
		in += len(all)
		cut := 0
		for _, at := range all {
			if at > 2100*time.Millisecond && at < 6*time.Second {
				cut++
			}
		}
		// A zone of three is apart: of each pair of zones one in three is open.
		if pair[0]%3 == pair[1]%3 && cut == 0 {
			t.Errorf("%v of one zone heard nothing in the cut", pair)
		}
	}
	silent := 0
	for a := range 6 {
		for b := range 6 {
			quiet := true
			for _, at := range heard[[2]int{a, b}] {
				quiet = quiet && (at < 2100*time.Millisecond || at > 6*time.Second)
			}
			if a%3 != b%3 && quiet {
				silent++
			}
		}
	}
	if share := float64(in) / float64(r.Datagrams); silent != 16 || starts != 7 || share < 0.4 || share > 0.75 || len(r.Broken) > 0 {
		t.Errorf("%d of %d datagrams heard, %d pairs silent in the cut, %d starts, broken %v", in, r.Datagrams, silent, starts, r.Broken)
	}
	if again, _, _ := play(); again.Datagrams != r.Datagrams || again.Events != r.Events || again.Told != r.Told {
		t.Errorf("played again: %d datagrams, %d events; before %d, %d", again.Datagrams, again.Events, r.Datagrams, r.Events)
	}
}
