package overload

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

const latencyThreshold = 500 * ms

// A cluster of Members and the way between them.
type cluster struct {
	t             testing.TB
	now           Time
	rng           *rand.Rand
	members       []*Member // nil: it is down
	incarnations  []uint32
	inFlight      []delayedDatagram
	lossRate      float64
	isPartitioned func(a, b int) bool
	serverQueue   []pendingAttempt // set-ups at the server
	serverTokens  float64
}

type pendingAttempt struct {
	member *Member
	sentAt Time
}

type delayedDatagram struct {
	arrival  Time
	from, to int
	payload  []byte
}

func newCluster(t testing.TB, n int, seed uint64) *cluster {
	f := &cluster{t: t, now: 1000 * second, rng: rand.New(rand.NewPCG(seed, 3)), members: make([]*Member, n), incarnations: make([]uint32, n)}
	for i := range f.members {
		f.start(i)
	}
	return f
}

func (f *cluster) start(i int) {
	f.incarnations[i]++
	m, err := New(f.now, Options{Self: i, Peers: len(f.members), Incarnation: f.incarnations[i], Seed: uint64(i) + 1000*uint64(f.incarnations[i]), LatencyThreshold: latencyThreshold})
	if err != nil {
		f.t.Fatal(err)
	}
	f.members[i] = m
}

// step lets 10 ms pass: work is done by each Member, and messages arrive 5 to 40 ms late, in any order.
func (f *cluster) step(work func(i int, m *Member)) {
	f.now += 10 * ms
	var rest []delayedDatagram
	for _, c := range f.inFlight {
		if c.arrival > f.now {
			rest = append(rest, c)
		} else if m := f.members[c.to]; m != nil {
			_ = m.Receive(f.now, c.from, c.payload) // what cannot be read is counted
		}
	}
	f.inFlight = rest
	for i, m := range f.members {
		if m == nil {
			continue
		}
		if work != nil {
			work(i, m)
		}
		if m.NextDeadline() > f.now {
			continue
		}
		for _, p := range m.Tick(f.now) {
			if len(p.Payload) > MaxMessageBytes {
				f.t.Fatalf("a message of %d bytes, %d at most", len(p.Payload), MaxMessageBytes)
			}
			if f.rng.Float64() < f.lossRate || f.isPartitioned != nil && f.isPartitioned(i, p.To) {
				continue
			}
			for range 1 + f.rng.IntN(20)/19 { // one in twenty comes twice
				f.inFlight = append(f.inFlight, delayedDatagram{f.now + Time(5+f.rng.IntN(35))*ms, i, p.To, p.Payload})
			}
		}
	}
}

func (f *cluster) run(d Time, work func(i int, m *Member)) {
	for end := f.now + d; f.now < end; {
		f.step(work)
	}
}

// runOverload offers calls to server "s" and answers them as an exchange of so many a second would, late while there
// are more. It returns how many were let go of those offered, a second, over the last half of the time.
func (f *cluster) runOverload(d Time, offered, capacity float64) (passed float64) {
	from, n, up := f.now+d/2, 0, 0
	for _, m := range f.members {
		if m != nil {
			up++
		}
	}
	for end := f.now + d; f.now < end; {
		f.step(func(i int, m *Member) {
			if f.rng.Float64() >= offered*0.01/float64(up) {
				return
			}
			m.RecordOffered(f.now, "s", 1)
			if why, _ := m.Throttle(f.now, "s", 1, true); why != "" {
				return
			}
			if m.RecordSent(f.now, "s", true); f.now > from {
				n++
			}
			f.serverQueue = append(f.serverQueue, pendingAttempt{m, f.now})
		})
		for f.serverTokens += capacity * 0.01; f.serverTokens >= 1 && len(f.serverQueue) > 0; f.serverTokens-- {
			x := f.serverQueue[0]
			f.serverQueue = f.serverQueue[1:]
			took := f.now - x.sentAt + 60*ms
			x.member.RecordResult(f.now, "s", true, took) // of one that is dead it tells nobody
			if took > latencyThreshold {
				x.member.RecordOverload(f.now, "s")
			}
		}
		f.serverTokens = min(f.serverTokens, 1)
	}
	return float64(n) / (d / 2).Seconds()
}

// What the fleet lets go comes to what the server answers, with any loss of messages.
func TestAdmittedRateMatchesServerCapacity(t *testing.T) {
	for _, c := range []struct {
		n    int
		lose float64
	}{{2, 0}, {40, 0}, {40, 0.3}, {300, 0}, {300, 0.3}} {
		f := newCluster(t, c.n, 7)
		f.lossRate = c.lose
		if got := f.runOverload(40*second, 60, 30); got < (0.85-c.lose/3)*30 || got > 1.15*30 {
			t.Errorf("%d controllers, %.0f%% lost: %.1f set-ups a second go to a server that answers 30 of 60 offered", c.n, 100*c.lose, got)
		}
	}
}

// Once the jam is over nothing is held back, and hardly anything is said.
func TestThrottlingAndFrequentReportsEndWithTheOverload(t *testing.T) {
	f := newCluster(t, 60, 5)
	f.runOverload(20*second, 60, 30)
	if got := f.runOverload(20*second, 20, 30); got < 18 {
		t.Errorf("%.1f of 20 calls a second are let go after the jam", got)
	}
	f.run(20*second, nil)
	said, bytes := 0, 0
	for _, m := range f.members {
		said, bytes = said-m.Sent, bytes-m.SentBytes
		if m.aggregator.wantsFrequentReports(f.now) {
			t.Errorf("controller %d still asks for reports", m.options.Self)
		}
	}
	f.run(100*second, nil)
	for _, m := range f.members {
		said, bytes = said+m.Sent, bytes+m.SentBytes
	}
	if each := float64(bytes) / 60 / 100; each > 8 {
		t.Errorf("%.1f bytes and %.2f messages a second of each controller in calm, 8 bytes at most", each, float64(said)/6000)
	}
}

// The estimate of how many there are is right on average where messages get lost.
func TestEstimateIsUnbiasedUnderLoss(t *testing.T) {
	for _, lose := range []float64{0, 0.1, 0.3} {
		sum, n := 0.0, 0
		f := newCluster(t, 80, 11)
		f.lossRate = lose
		for i := 60; i < 80; i++ {
			f.members[i] = nil // twenty never start
		}
		f.run(60*second, nil)
		for range 60 {
			f.run(3*second, nil)
			for _, m := range f.members[:60] {
				if m.selection.aggregator == m.options.Self && m.aggregator.lastReportAt > 0 && f.now-m.aggregator.lastReportAt < 2*second && f.now-m.selection.since > 35*second {
					live := estimateAlive(m.aggregator.members, f.now, m.options.HeartbeatInterval)
					sum, n = sum+live, n+1
				}
			}
		}
		if n < 20 {
			t.Fatalf("loss %v: a teller was found %d times", lose, n)
		}
		if mean := sum / float64(n); math.Abs(mean-59) > 2 { // a teller does not hear itself while all is calm, or does
			t.Errorf("loss %v: %.1f of 60 controllers are held to be there", lose, mean)
		}
	}
}

// aggregators are those whom controllers that are up obey, by how many do. Those that hold one for wrong, who pass it
// over for half a minute, do not count: at a jam's edge one in some hundreds does.
func (f *cluster) aggregators() map[int]int {
	all := make(map[int]int)
	for _, m := range f.members {
		if m != nil && !slices.ContainsFunc(slices.Collect(maps.Values(m.selection.ejected)), func(s ejection) bool { return s.reason == ejectedAsWrong }) {
			all[m.selection.aggregator]++
		}
	}
	return all
}

// When the teller dies in a jam another takes its part, though seven in ten die with it, and those that come
// back join.
func TestFailedAggregatorIsReplaced(t *testing.T) {
	f := newCluster(t, 60, 3)
	f.runOverload(15*second, 60, 30)
	was := f.members[20].selection.aggregator
	for i := range f.members {
		if i%10 < 7 || i == was {
			f.members[i] = nil
		}
	}
	died := f.now
	for len(f.aggregators()) > 1 || f.members[f.members[58].selection.aggregator] == nil {
		if f.runOverload(second/2, 60, 30); f.now-died > 15*second {
			t.Fatalf("15 s after the death of %d they obey %v", was, f.aggregators())
		}
	}
	if got := f.runOverload(20*second, 60, 30); got > 1.15*30 {
		t.Errorf("%.1f set-ups a second go to a server that answers 30", got)
	}
	for i := range f.members {
		if f.members[i] == nil {
			f.start(i)
		}
	}
	f.runOverload(20*second, 60, 30)
	if n := len(f.aggregators()); n > 1 {
		t.Errorf("after all came back they obey %v", f.aggregators())
	}
}

// Halves that do not hear each other go on, each by its own sums, and are one again some time after.
func TestPartitionedMembersConvergeAfterwards(t *testing.T) {
	f := newCluster(t, 40, 9)
	f.runOverload(10*second, 60, 30)
	f.isPartitioned = func(a, b int) bool { return a%2 != b%2 }
	if got := f.runOverload(20*second, 60, 30); got > 1.2*30 {
		t.Errorf("%.1f set-ups a second of two halves go to a server that answers 30", got)
	}
	if n := len(f.aggregators()); n < 2 {
		t.Errorf("halves that do not hear each other obey %v", f.aggregators())
	}
	f.isPartitioned = nil
	f.runOverload(40*second, 60, 30)
	if n := len(f.aggregators()); n > 1 {
		t.Errorf("40 s after they met they obey %v", f.aggregators())
	}
	// A cut of minutes, after which each half holds the other for gone.
	f.isPartitioned = func(a, b int) bool { return a%2 != b%2 }
	f.run(200*second, nil)
	f.isPartitioned = nil
	f.run(Time(digestResetTerms)*2*f.members[0].options.AggregatorTerm, nil)
	if n := len(f.aggregators()); n > 1 {
		t.Errorf("after a long cut and %d slots they obey %v", 2*digestResetTerms, f.aggregators())
	}
}

// A teller that is wrong is passed over by what each sees for itself: one that says that all is held back
// where answers come at once, and one that says that calls hardly wait where they wait for long.
func TestWrongAggregatorIsEjected(t *testing.T) {
	for _, c := range []struct {
		name string
		term serverLimit
		took Time
	}{
		{"all pressed", serverLimit{priority: 2, throttle: 128, wait: 3000}, 60 * ms},
		{"all well", serverLimit{priority: 0, throttle: 1, wait: 10}, 900 * ms},
	} {
		f := newCluster(t, 2, 1)
		m := f.members[0]
		for i := 0; m.selection.aggregator == 0 && i < 100; i++ {
			f.now += m.options.AggregatorTerm // the other is to be its teller
			m.Tick(f.now)
		}
		liar := m.selection.aggregator
		c.term.key = ServerKey("s")
		for i := 1; m.AggregatorsEjected == 0 && i < 100; i++ {
			f.now += 200 * ms
			m.Tick(f.now)
			w := limitUpdate{messageHeader: messageHeader{kind: kindLimitUpdate, sender: liar, incarnation: 9, sequence: uint32(i)}, limits: []serverLimit{c.term}}
			if err := m.Receive(f.now, liar, w.append(nil)); err != nil {
				t.Fatal(err)
			}
			m.RecordOffered(f.now, "s", 2)
			if why, _ := m.Throttle(f.now, "s", 2, true); why == "" {
				m.RecordSent(f.now, "s", true)
				m.RecordResult(f.now, "s", true, c.took)
			}
		}
		if m.AggregatorsEjected == 0 || m.selection.aggregator == liar {
			t.Errorf("%s: it is believed after 20 s", c.name)
		}
		if why, told := m.Throttle(f.now, "s", 2, true); told {
			t.Errorf("%s: its word still holds: %q", c.name, why)
		}
	}
}

// What one controller tells moves no sum by more than its weight, whatever it tells.
func TestInfluenceOfOneMemberIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(5, 60).Draw(rt, "n")
		honest := func() *aggregator {
			tl := newAggregator(n, latencyThreshold, 10*second, 500*ms)
			tl.aggregatedAt = 99 * second
			for i := range n - 1 {
				tl.acceptReport(100*second, &loadReport{messageHeader: messageHeader{sender: i, incarnation: 1, sequence: 1}, span: 100, samples: []serverSample{{key: 1, offered: [priorityCount]int{0, 2, 1, 0}, answered: 3, wait: 10}}})
			}
			return tl
		}
		count := func() int { return rapid.IntRange(0, maxCount).Draw(rt, "count") }
		a, b := honest(), honest()
		b.acceptReport(100*second, &loadReport{messageHeader: messageHeader{sender: n - 1, incarnation: 1, sequence: 1}, span: rapid.IntRange(0, maxWait).Draw(rt, "span"), samples: []serverSample{
			{key: 1, offered: [priorityCount]int{count(), count(), count(), count()}, overflow: count(), answered: count(), wait: rapid.IntRange(0, maxWait).Draw(rt, "wait")}}})
		a.aggregate(100 * second)
		b.aggregate(100 * second)
		x, y := a.servers[1], b.servers[1]
		bound := max(maxRelativeWeight*3, minClippedRate) + 1e-9
		if d := y.totalOffered() - x.totalOffered(); d < 0 || d > bound {
			rt.Errorf("one of %d moved what is offered by %.1f a second, %.1f at most", n, d, bound)
		}
		if d := y.answered - x.answered; d < 0 || d > bound {
			rt.Errorf("one of %d moved what is answered by %.1f a second", n, d)
		}
		if x.wait != y.wait {
			rt.Errorf("one of %d moved the wait from %v to %v", n, x.wait, y.wait)
		}
	})
}

// Chances keep their order and bounds: dearer tiers are never held back more than cheaper ones, calls that
// were cut never, nobody entirely; and what they let go of what was offered is the budget.
func TestServerLimitsAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tl := newAggregator(3, latencyThreshold, 10*second, 500*ms)
		for key := range uint32(rapid.IntRange(1, 12).Draw(rt, "servers")) {
			s := &serverAggregate{key: key, admittedRate: rapid.SampledFrom([]float64{math.Inf(1), 0.5, 3, 20}).Draw(rt, "budget"), demand: demand{answered: rapid.Float64Range(0, 40).Draw(rt, "done")}}
			for k := range s.offered {
				s.offered[k] = rapid.Float64Range(0, 20).Draw(rt, "off")
			}
			tl.servers[key] = s
		}
		for _, x := range tl.serverLimits() {
			s, m := tl.servers[x.key], Member{rng: rand.New(rand.NewPCG(1, 1)), options: Options{LatencyThreshold: latencyThreshold}}
			v := &serverView{limit: x, limitedUntil: neverDue}
			m.servers.byID = map[string]*serverView{"s": v}
			var held [priorityCount]float64
			for k := range held {
				for range 2000 {
					if why, _ := m.Throttle(0, "s", k, true); why != "" {
						held[k] += 1. / 2000
					}
				}
			}
			if held[priorityCount-1] > 0 {
				rt.Errorf("%+v holds back calls that were cut", x)
			}
			for k := 1; k < priorityCount; k++ {
				if held[k] > held[k-1]+0.02 {
					rt.Errorf("%+v holds back %v", x, held)
				}
			}
			pass := 0.0
			for k := range held {
				if held[k] > 0.995 {
					rt.Errorf("%+v lets nobody through: %v", x, held)
				}
				pass += s.offered[k] * (1 - held[k])
			}
			if most := max(s.admittedRate, s.offered[priorityCount-1]) + 0.02*s.totalOffered() + 0.6; pass > most {
				rt.Errorf("%+v lets %.1f a second go, the budget is %.1f", x, pass, s.admittedRate)
			}
		}
	})
}

// Memory stays bounded whatever names come in.
func TestMemoryIsBounded(t *testing.T) {
	f := newCluster(t, 4, 2)
	m := f.members[0]
	for i := range 100_000 {
		f.now += ms
		server := fmt.Sprint("s", i)
		m.RecordOffered(f.now, server, 1)
		m.RecordSent(f.now, server, true)
		_ = m.Receive(f.now, 1, (&loadReport{messageHeader: messageHeader{kind: kindLoadReport, sender: 1, incarnation: 1, sequence: uint32(i + 1)}, span: 1, overloaded: true,
			samples: []serverSample{{key: uint32(i), offered: [priorityCount]int{5, 5, 5, 5}}}}).append(nil))
		m.Tick(f.now)
	}
	if a, b, c, d := len(m.servers.byID), len(m.servers.byKey), len(m.aggregator.servers), len(m.outbox.queue); a > maxServers || b > maxServers || c > maxAggregates || d > 2*4+16 {
		t.Errorf("%d and %d servers, %d sums and %d messages are held", a, b, c, d)
	}
}

// Reports that come twice, late or from an earlier start change nothing.
func TestStaleReportsAreRejected(t *testing.T) {
	tl := newAggregator(2, latencyThreshold, 10*second, 500*ms)
	at := func(boot, seq uint32) *loadReport {
		return &loadReport{messageHeader: messageHeader{sender: 1, incarnation: boot, sequence: seq}, span: 50}
	}
	now := 100 * second
	for i, c := range []struct {
		r    *loadReport
		want bool
	}{{at(5, 1), true}, {at(5, 1), false}, {at(5, 3), true}, {at(5, 2), false}, {at(4, 9), false}, {at(6, 1), true}, {at(5, 4), false}} {
		if got := tl.acceptReport(now, c.r); got != c.want {
			t.Errorf("report %d (start %d, number %d): taken %v, want %v", i, c.r.incarnation, c.r.sequence, got, c.want)
		}
	}
	if !tl.acceptReport(now+15*second, at(6, 2)) || !tl.acceptReport(now+60*second, at(3, 1)) {
		t.Error("a controller whose clock was set back is not heard again")
	}
	if tl.acceptReport(now, &loadReport{messageHeader: messageHeader{sender: 2, incarnation: 1, sequence: 1}}) {
		t.Error("a report of a controller that there is not was taken")
	}
}

// A controller that stood still says nothing of the time before, and obeys no word from then.
func TestClockJumpVoidsMeasurements(t *testing.T) {
	f := newCluster(t, 2, 1)
	m := f.members[0]
	m.RecordOffered(f.now, "s", 1)
	m.RecordSent(f.now, "s", true)
	m.servers.byID["s"].limit, m.servers.byID["s"].limitedUntil = serverLimit{priority: 3, throttle: 250, wait: 100}, f.now+60*second
	f.now += 5 * second
	if _, told := m.Throttle(f.now, "s", 1, true); told {
		t.Error("a word from before still holds")
	}
	m.sendReport(f.now)
	for _, p := range m.outbox.queue {
		x, err := decode(p.Payload)
		if err != nil {
			t.Fatal(err)
		}
		if r, ok := x.(*loadReport); ok && len(r.samples) > 0 && r.samples[0].offered != [priorityCount]int{} {
			t.Errorf("it tells what it saw before it was stopped: %+v", r.samples[0])
		}
	}
}

func TestOptionsCheck(t *testing.T) {
	for _, o := range []Options{{Peers: 0, LatencyThreshold: latencyThreshold}, {Peers: maxMembers + 1, LatencyThreshold: latencyThreshold}, {Peers: 3, Self: 3, LatencyThreshold: latencyThreshold}, {Peers: 3}, {Peers: 3, LatencyThreshold: latencyThreshold, HeartbeatInterval: -1}} {
		if _, err := New(0, o); err == nil {
			t.Errorf("%+v was taken", o)
		}
	}
	m, err := New(0, Options{Peers: 1, LatencyThreshold: latencyThreshold})
	if err != nil || m.NextDeadline() != neverDue || m.Tick(second) != nil {
		t.Errorf("a controller alone speaks, or %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	r := loadReport{messageHeader: messageHeader{kind: kindLoadReport, sender: 3, incarnation: 1_700_000_000, sequence: 9}, span: 50, overloaded: true, samples: []serverSample{{key: 0xabcdef, offered: [priorityCount]int{1, 2, 3, 4}, overflow: 5, answered: 6, wait: 7, overloaded: true}, {key: 1, answered: 300}}}
	w := limitUpdate{messageHeader: messageHeader{kind: kindLimitUpdate, sender: 2, incarnation: 5, sequence: 7}, aliveMembers: 300, limits: []serverLimit{{1, 2, 250, 3, 400}, {5, 0, 0, 255, 0}}}
	l := membershipDigest{messageHeader: messageHeader{kind: kindMembershipDigest, sender: 2, incarnation: 5, sequence: 7}, aliveMembers: 299, peakMembers: 300, members: []byte{255, 1}}
	f.Add(r.append(nil))
	f.Add(w.append(nil))
	f.Add(l.append(nil))
	f.Add([]byte{0x11})
	f.Fuzz(func(t *testing.T, b []byte) {
		x, err := decode(b)
		if err != nil {
			return
		}
		var again []byte
		switch x := x.(type) {
		case *loadReport:
			again = x.append(nil)
		case *limitUpdate:
			again = x.append(nil)
		case *membershipDigest:
			again = x.append(nil)
		}
		if len(again) > MaxMessageBytes {
			t.Fatalf("%d bytes were written", len(again))
		}
		y, err := decode(again)
		if err != nil {
			t.Fatalf("what was written cannot be read: %v", err)
		}
		if len(again) < MaxMessageBytes-20 && !reflect.DeepEqual(x, y) { // else it may not have fit
			t.Fatalf("%+v was written and %+v read", x, y)
		}
	})
}

// A word holds at servers that a controller meets for the first time. (It held at those only that it had sent
// something to: with a thousand controllers, calls held back went to all the others, 20 a second at each of a
// dozen servers that answered 33.)
func TestLimitAppliesToServersUsedForTheFirstTime(t *testing.T) {
	f := newCluster(t, 2, 1)
	m := f.members[0]
	w := limitUpdate{limits: []serverLimit{{key: ServerKey("new"), priority: 2, throttle: 255, overflowThrottle: 255, wait: 100}}}
	m.applyLimits(f.now, &w)
	for _, first := range []bool{true, false} {
		if why, told := m.Throttle(f.now, "new", 1, first); !told || !first && why == "" {
			t.Errorf("first choice %v: %q, %v", first, why, told)
		}
	}
	if _, told := m.Throttle(f.now+m.options.limitLifetime(), "new", 1, true); told {
		t.Error("the word still holds when its time is over")
	}
}

// A server of which nobody tells a wait any more is tried again, whatever was told last. (The last wait stood for
// ever: a controller whose teller had no other reporter had all of its calls held back after a cut, 24 of 24 in
// the last seconds of a run of 24 processes, seed 15.)
func TestServerWithoutReportedWaitRecovers(t *testing.T) {
	tl := newAggregator(2, latencyThreshold, 10*second, 500*ms)
	now, seq := 100*second, uint32(0)
	tell := func(s serverSample) {
		now, seq = now+500*ms, seq+1
		tl.acceptReport(now, &loadReport{messageHeader: messageHeader{sender: 1, incarnation: 1, sequence: seq}, span: 50, overloaded: true, samples: []serverSample{s}})
		tl.aggregate(now)
	}
	tl.aggregatedAt = now
	for range 6 {
		tell(serverSample{key: 1, offered: [priorityCount]int{0, 2, 1, 0}, answered: 1, wait: 300})
	}
	if all := tl.serverLimits(); len(all) == 0 || all[0].throttle == 0 {
		t.Fatalf("nothing is held back from a server that answers late: %+v", all)
	}
	for i := 0; len(tl.serverLimits()) > 0; i++ {
		if i > 30 {
			t.Fatalf("15 s after the last that was told of a wait calls are held back: %+v", tl.serverLimits())
		}
		tell(serverSample{key: 1, offered: [priorityCount]int{0, 2, 1, 0}})
	}
}

// A server that answers nobody is left to each one's own evidence, and once it answers again nothing is held back.
// (A budget of half a set-up a second was set where a zone fell silent, and outlasted the silence by seconds.)
func TestUnresponsiveServerIsNotLimited(t *testing.T) {
	tl := newAggregator(2, latencyThreshold, 10*second, 500*ms)
	now := 100 * second
	tl.aggregatedAt = now
	for seq := range uint32(40) {
		now += 500 * ms
		x := serverSample{key: 1, offered: [priorityCount]int{0, 2, 1, 0}, wait: int(seq) * 50} // set-ups wait for as long as the silence
		if seq < 4 || seq >= 16 {
			x.answered, x.wait = 3, 8
		}
		tl.acceptReport(now, &loadReport{messageHeader: messageHeader{sender: 1, incarnation: 1, sequence: seq + 1}, span: 50, overloaded: true, samples: []serverSample{x}})
		tl.aggregate(now)
		if seq >= 12 {
			if all := tl.serverLimits(); len(all) > 0 {
				t.Fatalf("%v after it fell silent, answers back after 6 s: %+v", now-102*second, all)
			}
		}
	}
}
