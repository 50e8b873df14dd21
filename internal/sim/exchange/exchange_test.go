package exchange

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func plain() Settings {
	return Settings{SetUp: 10 * ms, Lines: 1 << 20, Holding: map[string]time.Duration{"c": time.Second}}
}

// poisson runs set-ups at a rate through an exchange for so long and returns it.
func poisson(set Settings, rate float64, long time.Duration, seed uint64) *Exchange {
	rng := rand.New(rand.NewPCG(seed, 1))
	x := New(set, 0, false, rand.New(rand.NewPCG(seed, 2)))
	now := Time(0)
	for n := 0; now < long; n++ {
		arrives := now + time.Duration(rng.ExpFloat64()/rate*float64(time.Second))
		for next := x.Next(); next <= arrives; next = x.Next() {
			x.Tick(next)
			x.Take()
		}
		now = arrives
		x.Invite(now, "n", Attempt{"", n}, "c")
	}
	return x
}

// mg1 plays set-ups alone and sets their mean wait against that of M/G/1 (Pollaczek and Khinchine).
func mg1(t testing.TB, vary, load float64, long time.Duration) {
	set := plain()
	set.Vary = vary
	rate := load / set.SetUp.Seconds()
	x := poisson(set, rate, long, 7)
	got := x.Waited.Seconds() / float64(x.Served)
	second := set.SetUp.Seconds() * set.SetUp.Seconds() * (1 + vary*vary) // moment of the work
	want := rate * second / (2 * (1 - load))
	t.Logf("load %v, variation %v: %d set-ups, mean wait %.3f ms, M/G/1 %.3f ms", load, vary, x.Served, 1000*got, 1000*want)
	if math.Abs(got-want) > 0.03*want {
		t.Errorf("that is off by %.1f%%", 100*(got-want)/want)
	}
}

// Waits are those of theory where set-ups are all the work there is. (At these lengths the mean's
// standard deviation is 1 to 1.5%.)
func TestWaitsAreThoseOfMG1(t *testing.T) {
	for _, vary := range []float64{0, 1} {
		for _, load := range []float64{0.5, 0.7} {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				mg1(t, vary, load, 4000*time.Second)
			})
		}
	}
}

// The same at length, and closer to full: go test -run '^$' -bench MG1 -benchtime 1x ./internal/sim/exchange
func BenchmarkMG1(b *testing.B) {
	for range b.N {
		for _, vary := range []float64{0, 0.5, 1, 1.5} {
			for _, load := range []float64{0.5, 0.7, 0.85} {
				mg1(b, vary, load, 60000*time.Second)
			}
		}
	}
}

// Releases that wait behind set-ups hold these up only as what is at hand does: the first class of a
// queue with two priorities and no preemption (Cobham).
func TestSetUpsComeBeforeReleases(t *testing.T) {
	set := plain()
	set.Release, set.Vary = 6*ms, 1
	rate := 50.0 // 0.5 by set-ups, 0.3 by releases
	t.Parallel()
	x := poisson(set, rate, 4000*time.Second, 8)
	// The set-up that is at hand, or the release, holds a new one up for the rest of its time.
	rest := rate * (set.SetUp.Seconds()*set.SetUp.Seconds() + set.Release.Seconds()*set.Release.Seconds()) * 2 / 2
	want := rest / (1 - rate*set.SetUp.Seconds())
	got := x.Waited.Seconds() / float64(x.Served)
	if math.Abs(got-want) > 0.03*want {
		t.Errorf("mean wait %.2f ms, want %.2f ms", 1000*got, 1000*want)
	}
	if x.Ended == 0 || x.Stood-x.Ended-x.Standing() > 100 {
		t.Errorf("%d stood, %d ended, %d stand", x.Stood, x.Ended, x.Standing())
	}
}

// run ticks an exchange to a time and collects what it says.
func run(x *Exchange, to Time) (said []Message) {
	for next := x.Next(); next <= to; next = x.Next() {
		x.Tick(next)
		said = append(said, x.Take()...)
	}
	return said
}

func kinds(said []Message) map[Kind]int {
	m := make(map[Kind]int)
	for _, s := range said {
		m[s.Kind]++
	}
	return m
}

// Past its wait a processor turns set-ups away, which costs work; what waits is sent again at doubling
// gaps, which costs work too; what is given up is dropped without any.
func TestFullRepeatsAndGivingUp(t *testing.T) {
	set := plain()
	set.SetUp, set.Reject, set.Repeat, set.Full, set.Again = 100*ms, 5*ms, 1*ms, 2*time.Second, 500*ms
	x := New(set, 0, false, rand.New(rand.NewPCG(1, 1)))
	for n := range 30 {
		x.Invite(0, "n", Attempt{"", n}, "c")
	}
	if w := x.Wait(0); w != 2100*ms {
		t.Errorf("the wait is %v", w)
	}
	x.Cancel(0, Attempt{"", 20})
	said := append(append([]Message(nil), x.Take()...), run(x, 4*time.Second)...)
	if k := kinds(said); k[Full] != 9 || k[Dropped] != 1 || k[Answered] != 20 {
		t.Errorf("%v", k)
	}
	// At 500 ms 15 or 16 wait, at 1500 ms 4 to 6.
	if x.Repeats < 18 || x.Repeats > 23 || x.Wasted != 9*5*ms {
		t.Errorf("%d repeats, %v of work wasted", x.Repeats, x.Wasted)
	}
	if x.ahead != 0 {
		t.Errorf("%v of work ahead of nothing", x.ahead)
	}
}

// A started processor has a share of its capacity, warms up, and falls over for good when far more is
// sent than it can do; a warm one does not.
func TestColdStart(t *testing.T) {
	set := plain()
	set.Start, set.Warm, set.Fall, set.FallFor = 0.25, 10*time.Second, 3, time.Second
	for _, c := range []struct {
		rate float64
		at   Time
		down bool
	}{{70, 0, false}, {120, 0, true}, {150, 5 * time.Second, false}, {250, 5 * time.Second, true}, {400, 10 * time.Second, false}} {
		x := New(set, 0, true, rand.New(rand.NewPCG(1, 1)))
		for n := range int(c.rate) {
			x.Invite(c.at+time.Duration(float64(n)/c.rate*float64(time.Second)), "n", Attempt{"", n}, "c")
		}
		if down := x.State() == Down; down != c.down {
			t.Errorf("%v a second at %v: down %v", c.rate, c.at, down)
		}
	}
	x := New(set, 0, true, rand.New(rand.NewPCG(1, 1)))
	for at, want := range map[Time]float64{0: 0.25, 5 * time.Second: 0.625, 20 * time.Second: 1} {
		if got := x.Speed(at); got != want {
			t.Errorf("at %v its speed is %v", at, got)
		}
	}
	x.Slow(2)
	if got := x.Speed(time.Minute); got != 0.5 {
		t.Errorf("slowed, its speed is %v", got)
	}
}

// Lines run out, are lost with the calls on them, and come back; calls are cut; a reset drops what has
// not been answered and leaves what stands.
func TestLinesAndCuts(t *testing.T) {
	set := plain()
	set.Lines, set.Holding = 10, map[string]time.Duration{"c": time.Hour}
	x := New(set, 0, false, rand.New(rand.NewPCG(1, 1)))
	invite := func(from string, n int) { x.Invite(0, from, Attempt{from, n}, "c") }
	for n := range 12 {
		invite("a", n)
	}
	if k := kinds(run(x, time.Second)); k[Answered] != 10 || k[NoLine] != 2 {
		t.Errorf("%v", k)
	}
	x.KeepLines(time.Second, 0.4)
	if k := kinds(run(x, 2*time.Second)); k[Released] != 6 || x.Cut != 6 || x.Standing() != 4 {
		t.Errorf("%v, %d stand", k, x.Standing())
	}
	x.Invite(2*time.Second, "b", Attempt{"b", 0}, "c")
	if k := kinds(run(x, 3*time.Second)); k[NoLine] != 1 {
		t.Errorf("%v", k)
	}
	x.KeepLines(3*time.Second, 1)
	x.Invite(3*time.Second, "b", Attempt{"b", 1}, "c")
	run(x, 4*time.Second)
	x.Invite(4*time.Second, "b", Attempt{"b", 2}, "c")
	x.Reset(4*time.Second, "b")
	run(x, 5*time.Second)
	if x.Standing() != 5 || x.taken != 5 {
		t.Errorf("%d stand, %d lines are taken", x.Standing(), x.taken)
	}
	x.ReleaseCall(5*time.Second, "b")
	if said := run(x, 6*time.Second); x.Standing() != 4 || len(said) != 0 {
		t.Errorf("%d stand, it said %v", x.Standing(), said)
	}
	x.Hang(6*time.Second, true)
	x.Invite(6*time.Second, "b", Attempt{"b", 3}, "c")
	x.Hang(7*time.Second, false)
	if said := run(x, 8*time.Second); len(said) != 0 {
		t.Errorf("what came while it hung: %v", said)
	}
	x.Stop()
	if x.Invite(8*time.Second, "b", Attempt{"b", 4}, "c"); x.Next() != math.MaxInt64 {
		t.Error("a stopped one has work")
	}
}
