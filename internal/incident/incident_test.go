package incident

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"olivedale/internal/record"
	"olivedale/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const day = Time(1_790_000_000) * time.Second

// feed hands records to a part as a store would.
type feed struct {
	p   *Part
	h   record.Header
	seq uint64
}

func newFeed(name string) *feed {
	return &feed{p: NewPart(), h: record.Header{Name: name, Store: 1, RunID: 1, StartTime: day, Program: "test"}}
}

func (f *feed) put(r record.Record) {
	f.seq++
	r.Seq = f.seq
	f.p.Take(&f.h, &r)
}

func (f *feed) restart() { f.h.RunID++ }

// call puts a call that stands after took.
func (f *feed) call(id string, at Time, server string, took time.Duration) {
	f.put(record.Record{Kind: record.KindCallOffered, At: at, Call: id, Class: "voice"})
	f.put(record.Record{Kind: record.KindDecision, At: at, Call: id, Code: uint8(record.DecisionSend), Server: server})
	f.put(record.Record{Kind: record.KindAttemptStarted, At: at, Call: id, Server: server})
	f.put(record.Record{Kind: record.KindAnswer, At: at + took, Call: id, Class: "voice", Code: uint8(record.OutcomeEstablished), Server: server, Took: took, Attempt: 1})
}

func (f *feed) refused(id string, at Time) {
	f.put(record.Record{Kind: record.KindCallOffered, At: at, Call: id, Class: "voice"})
	f.put(record.Record{Kind: record.KindDecision, At: at, Call: id, Code: uint8(record.DecisionReject), Text: "no_server"})
	f.put(record.Record{Kind: record.KindAnswer, At: at, Call: id, Class: "voice", Code: uint8(record.OutcomeRejected), Cause: 34})
}

func (f *feed) ceiling(at Time, server string, v float64) {
	f.put(record.Record{Kind: record.KindRateLimit, At: at, Server: server, Value: v})
}

// exchange records four time stamps of an instance that is ahead by offset, with ways of so long.
func (f *feed) exchange(at Time, offset, there, back time.Duration) {
	t1 := at - offset - there
	f.put(record.Record{Kind: record.KindClock, At: at, By: "agent", T: [4]int64{int64(t1), int64(at), int64(at), int64(at - offset + back)}})
}

func (f *feed) done() *Part {
	f.p.Close()
	return f.p
}

func (r *Report) of(kind string) (all []Finding) {
	for _, f := range r.Findings {
		if f.Kind == kind {
			all = append(all, f)
		}
	}
	return all
}

// Whatever the ways take and the offset is, the interval holds it, and an order is told only
// where it is true.
func TestOffsetsHoldTheTruth(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		way := rapid.Int64Range(0, int64(300*time.Millisecond))
		skew := rapid.Int64Range(int64(-10*time.Second), int64(10*time.Second))
		rate := rapid.Float64Range(-maxDriftRate/2, maxDriftRate/2) // of one clock against the other
		type clock struct {
			offset time.Duration
			drift  float64
			o      Offset
		}
		var all [2]clock
		read := func(c *clock, true_ Time) Time {
			return true_ + c.offset + time.Duration(c.drift*float64(true_-day))
		}
		for i := range all {
			c := &all[i]
			c.offset, c.drift = time.Duration(skew.Draw(rt, "skew")), rate.Draw(rt, "drift")
			for n := range rapid.IntRange(1, 5).Draw(rt, "exchanges") {
				t1 := day + Time(n)*time.Minute
				t2 := t1 + Time(way.Draw(rt, "there"))
				t4 := t2 + Time(way.Draw(rt, "back"))
				c.o.addExchange("agent", [4]int64{int64(t1), int64(read(c, t2)), int64(read(c, t2)), int64(t4)})
			}
		}
		var at [2]Time
		var m [2]Moment
		for i := range all {
			at[i] = day + Time(rapid.Int64Range(0, int64(10*time.Minute)).Draw(rt, "at"))
			m[i] = all[i].o.moment(i, read(&all[i], at[i]))
			if at[i] < m[i].Earliest-time.Microsecond || at[i] > m[i].Latest+time.Microsecond {
				rt.Fatalf("clock %d: %v is not within %v to %v", i, at[i]-day, m[i].Earliest-day, m[i].Latest-day)
			}
		}
		switch o := Compare(m[0], m[1]); {
		case o == OrderBefore && at[0] > at[1], o == OrderAfter && at[0] < at[1]:
			rt.Fatalf("%v, but %v and %v", o, at[0]-day, at[1]-day)
		case Compare(m[1], m[0]) != map[Order]Order{OrderBefore: OrderAfter, OrderAfter: OrderBefore, OrderUnknown: OrderUnknown}[o]:
			rt.Fatal("the order depends on who is asked first")
		}
	})
}

func TestOrderIsUnknownWithoutExchanges(t *testing.T) {
	var none Offset
	a, b := none.moment(0, day), none.moment(1, day+time.Hour)
	if Compare(a, b) != OrderUnknown {
		t.Error("clocks that nobody compared were compared")
	}
	if Compare(a, none.moment(0, day+1)) != OrderBefore {
		t.Error("an instance's own order is not known")
	}
	if _, _, known := Delay(a, b); known {
		t.Error("a delay between clocks that nobody compared")
	}
	x, y := Offset{Known: true, Peer: "one"}, Offset{Known: true, Peer: "two"}
	if Compare(x.moment(0, day), y.moment(1, day+time.Hour)) != OrderUnknown {
		t.Error("clocks that were compared with different ones were compared")
	}
}

// Bins are folded without losing a count, wherever they lie.
func TestSeries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := NewPart()
		p.Starts = append(p.Starts, Start{})
		times := rapid.SliceOfN(rapid.Int64Range(int64(-time.Hour), int64(30*24*time.Hour)), 1, 200).Draw(rt, "times")
		for _, at := range times {
			p.currentBin(Time(at)).Offered++
		}
		s := &p.Starts[0].series
		sum := uint64(0)
		for i, b := range s.bins {
			sum += b.Offered
			lo := Time(s.first+int64(i)) * p.timeline.width
			n := uint64(0)
			for _, at := range times {
				if Time(at) >= lo && Time(at) < lo+p.timeline.width {
					n++
				}
			}
			if n != b.Offered {
				rt.Fatalf("bin %d of %v holds %d, want %d", i, p.timeline.width, b.Offered, n)
			}
		}
		if sum != uint64(len(times)) || len(s.bins) > maxBinsOfStart {
			rt.Fatalf("%d bins hold %d of %d", len(s.bins), sum, len(times))
		}
	})
}

// An instance that restarts four times under one name, three times without a word.
func TestRestarts(t *testing.T) {
	f := newFeed("n0")
	at := day
	for start := range 4 {
		f.put(record.Record{Kind: record.KindStart, At: at, Flag: start == 0})
		f.call(fmt.Sprint("a", start), at+time.Second, "s", 50*time.Millisecond)
		f.put(record.Record{Kind: record.KindCallOffered, At: at + 2*time.Second, Call: fmt.Sprint("b", start), Class: "voice"})
		if start == 3 {
			f.put(record.Record{Kind: record.KindAnswer, At: at + 3*time.Second, Call: "b3", Class: "voice", Code: uint8(record.OutcomeFailed)})
			f.put(record.Record{Kind: record.KindEnd, At: at + 4*time.Second})
		}
		f.restart()
		at += 10 * time.Second
	}
	r := Combine([]*Part{f.done()})
	if i := r.Instances[0]; len(i.Starts) != 4 || i.UnknownLosses != 3 || !i.Incomplete || i.Live || i.Lost != 0 {
		t.Errorf("%+v", i)
	}
	if r.Total.Offered != 8 || r.Total.Answered() != 5 || r.NoAnswer[ReasonKilled] != 3 || len(r.of(FoundKilled)) != 3 {
		t.Errorf("%+v, %v", r.Total.Counts, r.NoAnswer)
	}
	if len(r.Unanswered) != 3 || r.Unanswered[0].Call != "b0" {
		t.Errorf("%+v", r.Unanswered)
	}
}

// Over a gap nothing is guessed: windows are marked, totals are at least, and a set-up whose
// answer may lie in it is told as such.
func TestGap(t *testing.T) {
	f := newFeed("n0")
	f.put(record.Record{Kind: record.KindStart, At: day, Flag: true})
	f.put(record.Record{Kind: record.KindCallOffered, At: day + time.Second, Call: "lost", Class: "voice"})
	f.p.Take(&f.h, &record.Record{Kind: record.KindGap, From: 3, Seq: 9, Since: day + time.Second, At: day + 4*time.Second, Code: uint8(record.DiskFull)})
	f.seq = 9
	f.put(record.Record{Kind: record.KindAnswer, At: day + 5*time.Second, Call: "before", Class: "voice", Code: uint8(record.OutcomeEstablished), Server: "s"})
	f.put(record.Record{Kind: record.KindEnd, At: day + 6*time.Second})
	r := Combine([]*Part{f.done()})
	if !r.Incomplete || r.Lost != 7 || r.NoAnswer[ReasonGap] != 1 || r.AnswersWithoutSetup != 1 {
		t.Errorf("%+v", r)
	}
	for i, w := range r.Windows {
		if w.Gap != (i >= 1 && i <= 4) {
			t.Errorf("window %d: %+v", i, w)
		}
	}
	if g := r.of(FoundGap); len(g) != 1 || g[0].Text != "7 records, 3 to 9: disk_full" || len(g[0].Refs) != 1 {
		t.Errorf("%+v", g)
	}
	// A set-up that no gap excuses is a broken rule.
	f = newFeed("n0")
	f.put(record.Record{Kind: record.KindCallOffered, At: day, Call: "x", Class: "voice"})
	f.call("y", day+2*time.Minute, "s", time.Millisecond)
	f.put(record.Record{Kind: record.KindEnd, At: day + 3*time.Minute})
	if r = Combine([]*Part{f.done()}); r.NoAnswer[ReasonUnknown] != 1 || len(r.of(FoundUnanswered)) != 1 {
		t.Errorf("%v", r.NoAnswer)
	}
}

// The course of an incident on instances whose clocks differ by seconds.
func TestCourse(t *testing.T) {
	skew := []time.Duration{0, 3700 * time.Millisecond, -2 * time.Second}
	var parts []*Part
	for n, ahead := range skew {
		f := newFeed(fmt.Sprint("n", n))
		at := func(d time.Duration) Time { return day + d + ahead }
		f.put(record.Record{Kind: record.KindStart, At: at(0), Flag: true})
		f.put(record.Record{Kind: record.KindConfig, At: at(0), By: "class", Class: "voice", Wait: 500 * time.Millisecond, Took: 3 * time.Second})
		f.exchange(at(0), ahead, 10*time.Millisecond, 12*time.Millisecond)
		for i := range 100 {
			f.call(fmt.Sprint("c", i), at(Time(i)*100*time.Millisecond), "s", 20*time.Millisecond)
		}
		if n != 2 {
			f.ceiling(at(10*time.Second+Time(n)*300*time.Millisecond), "s", 3)
			f.ceiling(at(11*time.Second), "s", 2)
		}
		for i := range 20 {
			f.refused(fmt.Sprint("r", i), at(11*time.Second+Time(i)*10*time.Millisecond))
		}
		if n != 2 {
			f.ceiling(at(15*time.Second), "s", math.Inf(1))
		}
		f.put(record.Record{Kind: record.KindServer, At: at(20*time.Second + Time(n)*5*time.Millisecond), Server: "t", Code: uint8(record.ServerDraining)})
		f.put(record.Record{Kind: record.KindAttemptStarted, At: at(21 * time.Second), Call: "z", Server: "t"})
		if n == 1 {
			f.put(record.Record{Kind: record.KindAttemptStarted, At: at(23 * time.Second), Call: "z", Server: "t", Attempt: 1})
		}
		f.put(record.Record{Kind: record.KindEnd, At: at(30 * time.Second)})
		parts = append(parts, f.done())
	}
	r := Combine(parts)
	p := r.of(FoundOverload)
	if len(p) != 1 || p[0].Server != "s" || len(p[0].Noticed) != 2 || p[0].Ongoing || !strings.Contains(p[0].Text, "2 of 3 instances noticed; meanwhile 60 calls were rejected or failed, 60 were offered") {
		t.Fatalf("%+v", p)
	}
	if n := p[0].Noticed[1]; n.Instance != "n1" || n.Order != OrderAfter || n.MinDelay < 250*time.Millisecond || n.MaxDelay > 350*time.Millisecond || n.MinRate != 2 || len(p[0].Refs) != 4 {
		t.Errorf("%+v", n)
	}
	if d := r.of(FoundDrain); len(d) != 1 || len(d[0].Noticed) != 2 || d[0].Noticed[1].Order != OrderUnknown {
		t.Errorf("news within 10 ms of clocks known to 22 ms: %+v", d)
	}
	if d := r.of(FoundLateSend); len(d) != 1 || d[0].Instance != "n1" || !d[0].IsFault || !strings.Contains(d[0].Text, "1 of them later than 2s") {
		t.Errorf("%+v", d)
	}
	if s := r.of(FoundSkew); len(s) != 2 {
		t.Errorf("%+v", s)
	}
	if away := r.of(FoundRejections); len(away) != 1 || !strings.HasPrefix(away[0].Text, "60 of 60 offered") {
		t.Errorf("%+v", away)
	}
	if got := r.Total.Percentile(50); got < 19*time.Millisecond || got > 21*time.Millisecond {
		t.Errorf("half stood within %v", got)
	}
	if span := r.To - r.From; span < 29*time.Second || span > 31*time.Second {
		t.Errorf("the records span %v", span)
	}
}

// A cold server that gets as much at once as when it is warm is told of; one that gets more
// by and by is not.
func TestColdStarts(t *testing.T) {
	for name, c := range map[string]struct {
		at   func(i int) time.Duration // of 100 sends, in a second
		kind string
	}{
		"evenly":    {func(i int) time.Duration { return Time(i) * 10 * time.Millisecond }, FoundColdOverload},
		"at once":   {func(i int) time.Duration { return Time(i) * time.Millisecond }, FoundColdOverload},
		"by and by": {func(i int) time.Duration { return time.Duration(math.Sqrt(float64(i)/100) * float64(time.Second)) }, FoundCold},
	} {
		f := newFeed("n0")
		f.put(record.Record{Kind: record.KindConfig, At: day, By: "cold", Wait: time.Second, Value: 0.1})
		f.put(record.Record{Kind: record.KindServer, At: day, Server: "s", Flag: true, Since: day})
		for i := range 100 {
			f.put(record.Record{Kind: record.KindAttemptStarted, At: day + c.at(i), Call: fmt.Sprint(i), Server: "s"})
		}
		f.put(record.Record{Kind: record.KindAttemptStarted, At: day + 2*time.Second, Call: "warm", Server: "s"})
		f.put(record.Record{Kind: record.KindEnd, At: day + 3*time.Second})
		r := Combine([]*Part{f.done()})
		if got := r.of(c.kind); len(got) != 1 || !strings.HasPrefix(got[0].Text, "100 sent during slow start") {
			t.Errorf("%s: %+v", name, r.Findings)
		}
	}
}

// No records, a clock that is years off, made-up names without end: bounded, and told.
func TestOddInput(t *testing.T) {
	if r := Combine(nil); r.Total.Offered != 0 || len(r.Windows) != 0 {
		t.Errorf("%+v", r)
	}
	if r := Combine([]*Part{newFeed("n0").done()}); len(r.Instances) != 1 || r.Incomplete {
		t.Errorf("%+v", r)
	}
	far, near := newFeed("far"), newFeed("near")
	far.call("x", time.Hour, "s", time.Millisecond)
	for i := range 3 {
		near.restart()
		near.call(fmt.Sprint(i), day+Time(i)*time.Second, "s", time.Millisecond)
	}
	r := Combine([]*Part{far.done(), near.done()})
	if !r.Truncated || r.Width != initialBinWidth || r.Total.Offered != 4 {
		t.Errorf("%+v", r)
	}
	f := newFeed("n0")
	for i := range 20000 {
		f.put(record.Record{Kind: record.KindCallOffered, At: day, Call: fmt.Sprint(i), Class: fmt.Sprint("class", i)})
		f.put(record.Record{Kind: record.KindAttemptStarted, At: day, Call: fmt.Sprint(i), Server: fmt.Sprint("s", i)})
		f.put(record.Record{Kind: record.KindAttemptEnded, At: day, Call: fmt.Sprint(i), End: fmt.Sprint(i)})
		f.put(record.Record{Kind: record.KindServer, At: day, Server: fmt.Sprint("s", i), Code: uint8(record.ServerDraining)})
		f.ceiling(day, fmt.Sprint("s", i), 1)
	}
	for i := range maxStarts + 100 {
		f.restart()
		f.put(record.Record{Kind: record.KindStart, At: day + Time(i)*time.Second})
	}
	p := f.done()
	if classes := len(p.classes.byName); classes > maxClasses+1 || len(p.servers.byName) > maxServers+1 || len(p.Drains) > maxEvents || len(p.OverloadPeriods) > maxEvents ||
		len(p.Starts) > maxStarts || len(p.AttemptEnds) > 257 || p.MergedStarts != 101 || p.timeline.bins > maxBins || len(p.Gaps) > maxEvents {
		t.Errorf("%d classes, %d servers, %d drains, %d starts, %d ends, %d bins", len(p.classes.byName), len(p.servers.byName), len(p.Drains), len(p.Starts), len(p.AttemptEnds), p.timeline.bins)
	}
	if r := Combine([]*Part{p}); r.Total.Offered != 20000 || len(r.Findings) > maxFindings || r.OmittedEntries == 0 {
		t.Errorf("%+v", r.Total.Counts)
	}
}

// A day of 500 instances, two calls an hour each.
func TestManyInstances(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var fleet Fleet
	offered := uint64(0)
	for n := range 500 {
		f := newFeed(fmt.Sprintf("n%03d", n))
		ahead := time.Duration(rng.Int64N(int64(2 * time.Second)))
		f.exchange(day+ahead, ahead, time.Millisecond, time.Millisecond)
		for i := range 24 * 2 {
			f.call(fmt.Sprint(i), day+ahead+Time(i)*30*time.Minute, fmt.Sprint("s", rng.IntN(4)), time.Duration(rng.ExpFloat64()*float64(30*time.Millisecond)))
			offered++
		}
		f.put(record.Record{Kind: record.KindEnd, At: day + ahead + 24*time.Hour})
		fleet.Add(f.done())
	}
	r := fleet.Report()
	if len(r.Windows) > maxWindows || len(r.Instances) != 500 || r.Total.Offered != offered || r.Total.Established() != offered {
		t.Errorf("%d windows, %+v", len(r.Windows), r.Total.Counts)
	}
	sum := uint64(0)
	for _, w := range r.Windows {
		sum += w.Offered
	}
	if sum != offered {
		t.Errorf("windows hold %d of %d", sum, offered)
	}
}

func BenchmarkTake(b *testing.B) {
	f := newFeed("n0")
	at, i := day, 0
	for b.Loop() {
		f.call(fmt.Sprint(i), at, "s", time.Millisecond)
		at += time.Millisecond
		i++
	}
	b.ReportMetric(4*float64(b.N)/b.Elapsed().Seconds(), "records/s")
}
