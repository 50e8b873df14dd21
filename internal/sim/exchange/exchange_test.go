package exchange

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// setUpOnlySettings returns settings by which only set-ups cost work, 10 ms each.
func setUpOnlySettings() Settings {
	return Settings{SetUp: 10 * ms, Circuits: 1 << 20, MeanHoldingTime: map[string]time.Duration{"c": time.Second}}
}

// newExchange returns an exchange with a fixed seed that started at 0.
func newExchange(settings Settings, isColdStart bool) *Exchange {
	return New(settings, 0, isColdStart, rand.New(rand.NewPCG(1, 1)))
}

// runPoisson offers set-ups that arrive as a Poisson process to a new exchange, and returns the exchange.
func runPoisson(settings Settings, rate float64, length time.Duration, seed uint64) *Exchange {
	rng := rand.New(rand.NewPCG(seed, 1))
	x := New(settings, 0, false, rand.New(rand.NewPCG(seed, 2)))
	now := Time(0)
	for n := 0; now < length; n++ {
		arrives := now + time.Duration(rng.ExpFloat64()/rate*float64(time.Second))
		for next := x.NextDeadline(); next <= arrives; next = x.NextDeadline() {
			x.Tick(next)
			x.TakeMessages()
		}
		now = arrives
		x.Invite(now, "n", Attempt{"", n}, "c")
	}
	return x
}

// meanDelay returns the mean queueing delay of the set-ups that were served, in seconds.
func meanDelay(x *Exchange) float64 { return x.TotalQueueingDelay.Seconds() / float64(x.Served) }

// checkMG1 compares the mean queueing delay of set-ups with that of an M/G/1 queue (Pollaczek-Khinchine formula).
func checkMG1(t testing.TB, variation, load float64, length time.Duration) {
	settings := setUpOnlySettings()
	settings.WorkVariation = variation
	work := settings.SetUp.Seconds()
	rate := load / work
	x := runPoisson(settings, rate, length, 7)
	got := meanDelay(x)
	secondMoment := work * work * (1 + variation*variation)
	want := rate * secondMoment / (2 * (1 - load))
	t.Logf("load %v, variation %v: %d set-ups, mean delay %.3f ms, M/G/1 %.3f ms",
		load, variation, x.Served, 1000*got, 1000*want)
	if math.Abs(got-want) > 0.03*want {
		t.Errorf("the mean delay is off by %.1f%%", 100*(got-want)/want)
	}
}

// If only set-ups cost work, the queueing delay is that of an M/G/1 queue. (At these lengths the standard deviation
// of the mean is 1 to 1.5%.)
func TestQueueingDelayOfMG1(t *testing.T) {
	for _, variation := range []float64{0, 1} {
		for _, load := range []float64{0.5, 0.7} {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				checkMG1(t, variation, load, 4000*time.Second)
			})
		}
	}
}

// BenchmarkMG1 is TestQueueingDelayOfMG1 with longer runs and higher loads:
// go test -run '^$' -bench MG1 -benchtime 1x ./internal/sim/exchange
func BenchmarkMG1(b *testing.B) {
	for range b.N {
		for _, variation := range []float64{0, 0.5, 1, 1.5} {
			for _, load := range []float64{0.5, 0.7, 0.85} {
				checkMG1(b, variation, load, 60000*time.Second)
			}
		}
	}
}

// A set-up waits for the job in service, but not for queued releases: its delay is that of the higher priority in a
// non-preemptive queue with two priorities (Cobham's formula).
func TestSetUpsPrecedeReleases(t *testing.T) {
	t.Parallel()
	settings := setUpOnlySettings()
	settings.Release, settings.WorkVariation = 6*ms, 1
	rate := 50.0 // a load of 0.5 by set-ups and 0.3 by releases
	x := runPoisson(settings, rate, 4000*time.Second, 8)
	setUp, release := settings.SetUp.Seconds(), settings.Release.Seconds()
	meanResidual := rate * (setUp*setUp + release*release) * 2 / 2 // work of the job in service
	want := meanResidual / (1 - rate*setUp)
	got := meanDelay(x)
	if math.Abs(got-want) > 0.03*want {
		t.Errorf("mean delay %.2f ms, want %.2f ms", 1000*got, 1000*want)
	}
	if x.Ended == 0 || x.Established-x.Ended-x.EstablishedCalls() > 100 {
		t.Errorf("%d established, %d ended, %d still established", x.Established, x.Ended, x.EstablishedCalls())
	}
}

// runUntil runs an exchange up to a time and returns the messages that it sends.
func runUntil(x *Exchange, end Time) (messages []Message) {
	for next := x.NextDeadline(); next <= end; next = x.NextDeadline() {
		x.Tick(next)
		messages = append(messages, x.TakeMessages()...)
	}
	return messages
}

func countKinds(messages []Message) map[Kind]int {
	counts := make(map[Kind]int)
	for _, m := range messages {
		counts[m.Kind]++
	}
	return counts
}

// Rejections by an overloaded processor cost work, and so do retransmissions of queued set-ups, whose intervals double.
// A set-up that is canceled while it is queued costs none.
func TestRejectionRetransmissionAndCancel(t *testing.T) {
	settings := setUpOnlySettings()
	settings.SetUp, settings.Reject, settings.Retransmission = 100*ms, 5*ms, 1*ms
	settings.MaxQueueingDelay, settings.RetransmissionInterval = 2*time.Second, 500*ms
	x := newExchange(settings, false)
	for n := range 30 {
		x.Invite(0, "n", Attempt{"", n}, "c")
	}
	if delay := x.QueueingDelay(0); delay != 2100*ms {
		t.Errorf("the queueing delay is %v, want 2.1 s", delay)
	}
	x.Cancel(0, Attempt{"", 20})
	messages := append(append([]Message(nil), x.TakeMessages()...), runUntil(x, 4*time.Second)...)
	if counts := countKinds(messages); counts[ProcessorBusy] != 9 || counts[Canceled] != 1 || counts[Answered] != 20 {
		t.Errorf("%v", counts)
	}
	// At 500 ms 15 or 16 set-ups are queued, at 1500 ms 4 to 6.
	if x.Repeats < 18 || x.Repeats > 23 || x.Wasted != 9*5*ms {
		t.Errorf("%d retransmissions, %v of work wasted", x.Repeats, x.Wasted)
	}
	if x.processor.setUpBacklog != 0 {
		t.Errorf("the backlog is %v although no set-up is queued", x.processor.setUpBacklog)
	}
}

// A processor in slow start has a growing share of its capacity, and crashes if the load exceeds CrashFactor times
// that share. A warm processor does not crash.
func TestSlowStart(t *testing.T) {
	settings := setUpOnlySettings()
	settings.SlowStartShare, settings.SlowStartPeriod, settings.CrashFactor, settings.CrashWindow = 0.25, 10*time.Second, 3, time.Second
	for _, c := range []struct {
		rate   float64 // set-ups a second
		at     Time
		isDown bool
	}{
		{70, 0, false},
		{120, 0, true},
		{150, 5 * time.Second, false},
		{250, 5 * time.Second, true},
		{400, 10 * time.Second, false},
	} {
		x := newExchange(settings, true)
		for n := range int(c.rate) {
			x.Invite(c.at+time.Duration(float64(n)/c.rate*float64(time.Second)), "n", Attempt{"", n}, "c")
		}
		if isDown := x.State() == Down; isDown != c.isDown {
			t.Errorf("%v set-ups a second at %v: down is %v", c.rate, c.at, isDown)
		}
	}
	x := newExchange(settings, true)
	for at, want := range map[Time]float64{0: 0.25, 5 * time.Second: 0.625, 20 * time.Second: 1} {
		if got := x.Speed(at); got != want {
			t.Errorf("the speed at %v is %v", at, got)
		}
	}
	x.SetSlowdown(2)
	if got := x.Speed(time.Minute); got != 0.5 {
		t.Errorf("the speed is %v after a slowdown by 2", got)
	}
}

// Set-ups beyond the number of circuits are rejected. A loss of circuits drops a share of the calls, and the circuits
// return to service later. The loss of a connection ends open attempts but no established call. A hung exchange ignores
// set-ups, and a stopped one has no work.
func TestCircuitsAndFaults(t *testing.T) {
	settings := setUpOnlySettings()
	settings.Circuits, settings.MeanHoldingTime = 10, map[string]time.Duration{"c": time.Hour}
	x := newExchange(settings, false)
	invite := func(from string, n int) { x.Invite(0, from, Attempt{from, n}, "c") }
	for n := range 12 {
		invite("a", n)
	}
	if counts := countKinds(runUntil(x, time.Second)); counts[Answered] != 10 || counts[NoCircuit] != 2 {
		t.Errorf("%v", counts)
	}
	x.SetCircuitShare(time.Second, 0.4)
	counts := countKinds(runUntil(x, 2*time.Second))
	if counts[Released] != 6 || x.Dropped != 6 || x.EstablishedCalls() != 4 {
		t.Errorf("%v, %d established", counts, x.EstablishedCalls())
	}
	x.Invite(2*time.Second, "b", Attempt{"b", 0}, "c")
	if counts := countKinds(runUntil(x, 3*time.Second)); counts[NoCircuit] != 1 {
		t.Errorf("%v", counts)
	}
	x.SetCircuitShare(3*time.Second, 1)
	x.Invite(3*time.Second, "b", Attempt{"b", 1}, "c")
	runUntil(x, 4*time.Second)
	x.Invite(4*time.Second, "b", Attempt{"b", 2}, "c")
	x.ConnectionLost(4*time.Second, "b")
	runUntil(x, 5*time.Second)
	if x.EstablishedCalls() != 5 || x.circuitsInUse != 5 {
		t.Errorf("%d established, %d circuits in use", x.EstablishedCalls(), x.circuitsInUse)
	}
	x.ReleaseCall(5*time.Second, "b")
	if messages := runUntil(x, 6*time.Second); x.EstablishedCalls() != 4 || len(messages) != 0 {
		t.Errorf("%d established, messages %v", x.EstablishedCalls(), messages)
	}
	x.SetHung(6*time.Second, true)
	x.Invite(6*time.Second, "b", Attempt{"b", 3}, "c")
	x.SetHung(7*time.Second, false)
	if messages := runUntil(x, 8*time.Second); len(messages) != 0 {
		t.Errorf("messages about a set-up that arrived while the exchange hung: %v", messages)
	}
	x.Stop()
	x.Invite(8*time.Second, "b", Attempt{"b", 4}, "c")
	if x.NextDeadline() != math.MaxInt64 {
		t.Error("a stopped exchange still has a deadline")
	}
}
