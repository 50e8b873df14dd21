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

// testStart is when the records of these tests begin.
const testStart = Time(1_790_000_000) * time.Second

// partBuilder passes records to a part, numbered as those of a store.
type partBuilder struct {
	p   *Part
	h   record.Header
	seq uint64
}

func newPartBuilder(name string) *partBuilder {
	return &partBuilder{p: NewPart(), h: record.Header{Name: name, Store: 1, RunID: 1, StartTime: testStart, Program: "test"}}
}

func (b *partBuilder) put(r record.Record) {
	b.seq++
	r.Seq = b.seq
	b.p.AddRecord(&b.h, &r)
}

func (b *partBuilder) restart() { b.h.RunID++ }

// putEstablished adds the records of a call that is established after took.
func (b *partBuilder) putEstablished(id string, at Time, server string, took time.Duration) {
	b.put(record.Record{Kind: record.KindCallOffered, At: at, Call: id, Class: "voice"})
	b.put(record.Record{Kind: record.KindDecision, At: at, Call: id, Code: uint8(record.DecisionSend), Server: server})
	b.put(record.Record{Kind: record.KindAttemptStarted, At: at, Call: id, Server: server})
	b.put(record.Record{Kind: record.KindAnswer, At: at + took, Call: id, Class: "voice", Code: uint8(record.OutcomeEstablished), Server: server, Took: took, Attempt: 1})
}

// putRejected adds the records of a call that is rejected at once.
func (b *partBuilder) putRejected(id string, at Time) {
	b.put(record.Record{Kind: record.KindCallOffered, At: at, Call: id, Class: "voice"})
	b.put(record.Record{Kind: record.KindDecision, At: at, Call: id, Code: uint8(record.DecisionReject), Text: "no_server"})
	b.put(record.Record{Kind: record.KindAnswer, At: at, Call: id, Class: "voice", Code: uint8(record.OutcomeRejected), Cause: 34})
}

func (b *partBuilder) putRateLimit(at Time, server string, v float64) {
	b.put(record.Record{Kind: record.KindRateLimit, At: at, Server: server, Value: v})
}

// putExchange adds the four time stamps of a clock exchange with a peer. The instance's clock is ahead by offset;
// request and reply are the network delays of the two directions.
func (b *partBuilder) putExchange(at Time, offset, request, reply time.Duration) {
	t1 := at - offset - request
	b.put(record.Record{Kind: record.KindClock, At: at, By: "agent", T: [4]int64{int64(t1), int64(at), int64(at), int64(at - offset + reply)}})
}

func (b *partBuilder) close() *Part {
	b.p.Close()
	return b.p
}

// findingsOf returns the findings of one kind.
func (r *Report) findingsOf(kind string) (all []Finding) {
	for _, f := range r.Findings {
		if f.Kind == kind {
			all = append(all, f)
		}
	}
	return all
}

// For any network delays, offsets and drifts, the interval of a moment contains the true time, and an order is reported
// only if it is the true one.
func TestMomentsContainTheTrueTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		delay := rapid.Int64Range(0, int64(300*time.Millisecond))
		skew := rapid.Int64Range(int64(-10*time.Second), int64(10*time.Second))
		rate := rapid.Float64Range(-maxDriftRate/2, maxDriftRate/2) // of one clock against the other
		type clock struct {
			offset time.Duration
			drift  float64
			o      Offset
		}
		var all [2]clock
		read := func(c *clock, trueTime Time) Time {
			return trueTime + c.offset + time.Duration(c.drift*float64(trueTime-testStart))
		}
		for i := range all {
			c := &all[i]
			c.offset, c.drift = time.Duration(skew.Draw(rt, "skew")), rate.Draw(rt, "drift")
			for n := range rapid.IntRange(1, 5).Draw(rt, "exchanges") {
				t1 := testStart + Time(n)*time.Minute
				t2 := t1 + Time(delay.Draw(rt, "there"))
				t4 := t2 + Time(delay.Draw(rt, "back"))
				c.o.addExchange("agent", [4]int64{int64(t1), int64(read(c, t2)), int64(read(c, t2)), int64(t4)})
			}
		}
		var at [2]Time
		var m [2]Moment
		for i := range all {
			at[i] = testStart + Time(rapid.Int64Range(0, int64(10*time.Minute)).Draw(rt, "at"))
			m[i] = all[i].o.moment(i, read(&all[i], at[i]))
			if at[i] < m[i].Earliest-time.Microsecond || at[i] > m[i].Latest+time.Microsecond {
				rt.Fatalf("clock %d: %v is not within %v to %v", i, at[i]-testStart, m[i].Earliest-testStart, m[i].Latest-testStart)
			}
		}
		switch o := Compare(m[0], m[1]); {
		case o == OrderBefore && at[0] > at[1], o == OrderAfter && at[0] < at[1]:
			rt.Fatalf("the order is %q for true times %v and %v", o, at[0]-testStart, at[1]-testStart)
		case Compare(m[1], m[0]) != map[Order]Order{OrderBefore: OrderAfter, OrderAfter: OrderBefore, OrderUnknown: OrderUnknown}[o]:
			rt.Fatal("Compare is not antisymmetric")
		}
	})
}

func TestOrderIsUnknownWithoutExchanges(t *testing.T) {
	var none Offset
	a, b := none.moment(0, testStart), none.moment(1, testStart+time.Hour)
	if Compare(a, b) != OrderUnknown {
		t.Error("Compare orders moments of clocks that were never compared")
	}
	if Compare(a, none.moment(0, testStart+1)) != OrderBefore {
		t.Error("Compare does not order two moments of one instance")
	}
	if _, _, known := Delay(a, b); known {
		t.Error("Delay returns a delay between clocks that were never compared")
	}
	x, y := Offset{Known: true, Peer: "one"}, Offset{Known: true, Peer: "two"}
	if Compare(x.moment(0, testStart), y.moment(1, testStart+time.Hour)) != OrderUnknown {
		t.Error("Compare orders moments of clocks with different references")
	}
}

// Folding bins loses no counts, for any distribution of times.
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
			rt.Fatalf("%d bins hold %d of %d calls", len(s.bins), sum, len(times))
		}
	})
}

// An instance has four starts under one name, three of which end without a shutdown.
func TestRestarts(t *testing.T) {
	f := newPartBuilder("n0")
	at := testStart
	for start := range 4 {
		f.put(record.Record{Kind: record.KindStart, At: at, Flag: start == 0})
		f.putEstablished(fmt.Sprint("a", start), at+time.Second, "s", 50*time.Millisecond)
		f.put(record.Record{Kind: record.KindCallOffered, At: at + 2*time.Second, Call: fmt.Sprint("b", start), Class: "voice"})
		if start == 3 {
			f.put(record.Record{Kind: record.KindAnswer, At: at + 3*time.Second, Call: "b3", Class: "voice", Code: uint8(record.OutcomeFailed)})
			f.put(record.Record{Kind: record.KindEnd, At: at + 4*time.Second})
		}
		f.restart()
		at += 10 * time.Second
	}
	r := Combine([]*Part{f.close()})
	if i := r.Instances[0]; len(i.Starts) != 4 || i.UnknownLosses != 3 || !i.Incomplete || i.Unfinished || i.Lost != 0 {
		t.Errorf("%+v", i)
	}
	if r.Total.Offered != 8 || r.Total.Answered() != 5 || r.NoAnswer[ReasonKilled] != 3 || len(r.findingsOf(FoundKilled)) != 3 {
		t.Errorf("%+v, %v", r.Total.Counts, r.NoAnswer)
	}
	if len(r.Unanswered) != 3 || r.Unanswered[0].Call != "b0" {
		t.Errorf("%+v", r.Unanswered)
	}
}

// A gap marks the windows that it overlaps, makes totals lower bounds, and is the reason given for a set-up whose answer
// may be lost in it.
func TestGap(t *testing.T) {
	f := newPartBuilder("n0")
	f.put(record.Record{Kind: record.KindStart, At: testStart, Flag: true})
	f.put(record.Record{Kind: record.KindCallOffered, At: testStart + time.Second, Call: "lost", Class: "voice"})
	f.p.AddRecord(&f.h, &record.Record{Kind: record.KindGap, From: 3, Seq: 9, Since: testStart + time.Second, At: testStart + 4*time.Second, Code: uint8(record.DiskFull)})
	f.seq = 9
	f.put(record.Record{Kind: record.KindAnswer, At: testStart + 5*time.Second, Call: "before", Class: "voice", Code: uint8(record.OutcomeEstablished), Server: "s"})
	f.put(record.Record{Kind: record.KindEnd, At: testStart + 6*time.Second})
	r := Combine([]*Part{f.close()})
	if !r.Incomplete || r.Lost != 7 || r.NoAnswer[ReasonGap] != 1 || r.AnswersWithoutSetup != 1 {
		t.Errorf("%+v", r)
	}
	for i, w := range r.Windows {
		if w.Gap != (i >= 1 && i <= 4) {
			t.Errorf("window %d: %+v", i, w)
		}
	}
	if g := r.findingsOf(FoundGap); len(g) != 1 || g[0].Text != "7 records, 3 to 9: disk_full" || len(g[0].Refs) != 1 {
		t.Errorf("%+v", g)
	}
	// A set-up that has no answer although no record is lost breaks a rule.
	f = newPartBuilder("n0")
	f.put(record.Record{Kind: record.KindCallOffered, At: testStart, Call: "x", Class: "voice"})
	f.putEstablished("y", testStart+2*time.Minute, "s", time.Millisecond)
	f.put(record.Record{Kind: record.KindEnd, At: testStart + 3*time.Minute})
	if r = Combine([]*Part{f.close()}); r.NoAnswer[ReasonUnknown] != 1 || len(r.findingsOf(FoundUnanswered)) != 1 {
		t.Errorf("%v", r.NoAnswer)
	}
}

// The findings of an incident on three instances whose clocks differ by seconds.
func TestCourse(t *testing.T) {
	skew := []time.Duration{0, 3700 * time.Millisecond, -2 * time.Second}
	var parts []*Part
	for n, ahead := range skew {
		f := newPartBuilder(fmt.Sprint("n", n))
		at := func(d time.Duration) Time { return testStart + d + ahead }
		f.put(record.Record{Kind: record.KindStart, At: at(0), Flag: true})
		f.put(record.Record{Kind: record.KindConfig, At: at(0), By: "class", Class: "voice", Wait: 500 * time.Millisecond, Took: 3 * time.Second})
		f.putExchange(at(0), ahead, 10*time.Millisecond, 12*time.Millisecond)
		for i := range 100 {
			f.putEstablished(fmt.Sprint("c", i), at(Time(i)*100*time.Millisecond), "s", 20*time.Millisecond)
		}
		if n != 2 {
			f.putRateLimit(at(10*time.Second+Time(n)*300*time.Millisecond), "s", 3)
			f.putRateLimit(at(11*time.Second), "s", 2)
		}
		for i := range 20 {
			f.putRejected(fmt.Sprint("r", i), at(11*time.Second+Time(i)*10*time.Millisecond))
		}
		if n != 2 {
			f.putRateLimit(at(15*time.Second), "s", math.Inf(1))
		}
		f.put(record.Record{Kind: record.KindServer, At: at(20*time.Second + Time(n)*5*time.Millisecond), Server: "t", Code: uint8(record.ServerDraining)})
		f.put(record.Record{Kind: record.KindAttemptStarted, At: at(21 * time.Second), Call: "z", Server: "t"})
		if n == 1 {
			f.put(record.Record{Kind: record.KindAttemptStarted, At: at(23 * time.Second), Call: "z", Server: "t", Attempt: 1})
		}
		f.put(record.Record{Kind: record.KindEnd, At: at(30 * time.Second)})
		parts = append(parts, f.close())
	}
	r := Combine(parts)
	p := r.findingsOf(FoundOverload)
	if len(p) != 1 || p[0].Server != "s" || len(p[0].Noticed) != 2 || p[0].Ongoing || !strings.Contains(p[0].Text, "2 of 3 instances noticed; meanwhile 60 calls were rejected or failed, 60 were offered") {
		t.Fatalf("%+v", p)
	}
	if n := p[0].Noticed[1]; n.Instance != "n1" || n.Order != OrderAfter || n.MinDelay < 250*time.Millisecond || n.MaxDelay > 350*time.Millisecond || n.MinRate != 2 || len(p[0].Refs) != 4 {
		t.Errorf("%+v", n)
	}
	if d := r.findingsOf(FoundDrain); len(d) != 1 || len(d[0].Noticed) != 2 || d[0].Noticed[1].Order != OrderUnknown {
		t.Errorf("announcements within 10 ms, clocks known to 22 ms: %+v", d)
	}
	if d := r.findingsOf(FoundLateSend); len(d) != 1 || d[0].Instance != "n1" || !d[0].IsFault || !strings.Contains(d[0].Text, "1 of them later than 2s") {
		t.Errorf("%+v", d)
	}
	if s := r.findingsOf(FoundSkew); len(s) != 2 {
		t.Errorf("%+v", s)
	}
	if rejections := r.findingsOf(FoundRejections); len(rejections) != 1 || !strings.HasPrefix(rejections[0].Text, "60 of 60 offered") {
		t.Errorf("%+v", rejections)
	}
	if got := r.Total.Percentile(50); got < 19*time.Millisecond || got > 21*time.Millisecond {
		t.Errorf("the median set-up time is %v, want 20 ms", got)
	}
	if span := r.To - r.From; span < 29*time.Second || span > 31*time.Second {
		t.Errorf("the records span %v", span)
	}
}

// A cold server that gets the load of a warm one from its start is reported; one whose load grows linearly is not.
func TestColdStarts(t *testing.T) {
	for name, c := range map[string]struct {
		at   func(i int) time.Duration // of 100 sends, in a second
		kind string
	}{
		"evenly":           {func(i int) time.Duration { return Time(i) * 10 * time.Millisecond }, FoundColdOverload},
		"at once":          {func(i int) time.Duration { return Time(i) * time.Millisecond }, FoundColdOverload},
		"growing linearly": {func(i int) time.Duration { return time.Duration(math.Sqrt(float64(i)/100) * float64(time.Second)) }, FoundCold},
	} {
		f := newPartBuilder("n0")
		f.put(record.Record{Kind: record.KindConfig, At: testStart, By: "cold", Wait: time.Second, Value: 0.1})
		f.put(record.Record{Kind: record.KindServer, At: testStart, Server: "s", Flag: true, Since: testStart})
		for i := range 100 {
			f.put(record.Record{Kind: record.KindAttemptStarted, At: testStart + c.at(i), Call: fmt.Sprint(i), Server: "s"})
		}
		f.put(record.Record{Kind: record.KindAttemptStarted, At: testStart + 2*time.Second, Call: "warm", Server: "s"})
		f.put(record.Record{Kind: record.KindEnd, At: testStart + 3*time.Second})
		r := Combine([]*Part{f.close()})
		if got := r.findingsOf(c.kind); len(got) != 1 || !strings.HasPrefix(got[0].Text, "100 sent during slow start") {
			t.Errorf("%s: %+v", name, r.Findings)
		}
	}
}

// No records at all, a clock that is years off, and more names and starts than the bounds: the report stays bounded and
// says what is left out.
func TestOddInput(t *testing.T) {
	if r := Combine(nil); r.Total.Offered != 0 || len(r.Windows) != 0 {
		t.Errorf("%+v", r)
	}
	if r := Combine([]*Part{newPartBuilder("n0").close()}); len(r.Instances) != 1 || r.Incomplete {
		t.Errorf("%+v", r)
	}
	far, near := newPartBuilder("far"), newPartBuilder("near")
	far.putEstablished("x", time.Hour, "s", time.Millisecond)
	for i := range 3 {
		near.restart()
		near.putEstablished(fmt.Sprint(i), testStart+Time(i)*time.Second, "s", time.Millisecond)
	}
	r := Combine([]*Part{far.close(), near.close()})
	if !r.Truncated || r.Width != initialBinWidth || r.Total.Offered != 4 {
		t.Errorf("%+v", r)
	}
	f := newPartBuilder("n0")
	for i := range 20000 {
		f.put(record.Record{Kind: record.KindCallOffered, At: testStart, Call: fmt.Sprint(i), Class: fmt.Sprint("class", i)})
		f.put(record.Record{Kind: record.KindAttemptStarted, At: testStart, Call: fmt.Sprint(i), Server: fmt.Sprint("s", i)})
		f.put(record.Record{Kind: record.KindAttemptEnded, At: testStart, Call: fmt.Sprint(i), End: fmt.Sprint(i)})
		f.put(record.Record{Kind: record.KindServer, At: testStart, Server: fmt.Sprint("s", i), Code: uint8(record.ServerDraining)})
		f.putRateLimit(testStart, fmt.Sprint("s", i), 1)
	}
	for i := range maxStarts + 100 {
		f.restart()
		f.put(record.Record{Kind: record.KindStart, At: testStart + Time(i)*time.Second})
	}
	p := f.close()
	if classes := len(p.classes.byName); classes > maxClasses+1 || len(p.servers.byName) > maxServers+1 || len(p.Drains) > maxEvents || len(p.OverloadPeriods) > maxEvents ||
		len(p.Starts) > maxStarts || len(p.AttemptEnds) > 257 || p.MergedStarts != 101 || p.timeline.bins > maxBins || len(p.Gaps) > maxEvents {
		t.Errorf("%d classes, %d servers, %d drains, %d starts, %d ends, %d bins", len(p.classes.byName), len(p.servers.byName), len(p.Drains), len(p.Starts), len(p.AttemptEnds), p.timeline.bins)
	}
	if r := Combine([]*Part{p}); r.Total.Offered != 20000 || len(r.Findings) > maxFindings || r.OmittedEntries == 0 {
		t.Errorf("%+v", r.Total.Counts)
	}
}

// Counts are complete for 500 instances over a day with two calls an hour each.
func TestManyInstances(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var fleet Fleet
	offered := uint64(0)
	for n := range 500 {
		f := newPartBuilder(fmt.Sprintf("n%03d", n))
		ahead := time.Duration(rng.Int64N(int64(2 * time.Second)))
		f.putExchange(testStart+ahead, ahead, time.Millisecond, time.Millisecond)
		for i := range 24 * 2 {
			f.putEstablished(fmt.Sprint(i), testStart+ahead+Time(i)*30*time.Minute, fmt.Sprint("s", rng.IntN(4)), time.Duration(rng.ExpFloat64()*float64(30*time.Millisecond)))
			offered++
		}
		f.put(record.Record{Kind: record.KindEnd, At: testStart + ahead + 24*time.Hour})
		fleet.Add(f.close())
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
		t.Errorf("the windows hold %d of %d offered calls", sum, offered)
	}
}

func BenchmarkAddRecord(b *testing.B) {
	f := newPartBuilder("n0")
	at, i := testStart, 0
	for b.Loop() {
		f.putEstablished(fmt.Sprint(i), at, "s", time.Millisecond)
		at += time.Millisecond
		i++
	}
	b.ReportMetric(4*float64(b.N)/b.Elapsed().Seconds(), "records/s")
}
