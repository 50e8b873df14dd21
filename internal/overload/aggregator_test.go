package overload

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"olivedale/internal/admission"
)

// newReport returns a load report.
func newReport(h messageHeader, span int, samples ...serverSample) *loadReport {
	h.kind = kindLoadReport
	return &loadReport{messageHeader: h, span: span, samples: samples}
}

// newTestAggregator returns an aggregator whose last aggregation was at the given time.
func newTestAggregator(members int, aggregatedAt Time) *aggregator {
	a := newAggregator(members, latencyThreshold, 10*second, 500*ms)
	a.aggregatedAt = aggregatedAt
	return a
}

// The reports of a single member change a sum by no more than the member's weight, whatever they contain.
func TestInfluenceOfOneMemberIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(5, 60).Draw(rt, "n")
		newHonest := func() *aggregator {
			a := newTestAggregator(n, 99*second)
			sample := serverSample{key: 1, offered: [priorityCount]int{0, 2, 1, 0}, answered: 3, wait: 10}
			for i := range n - 1 {
				header := messageHeader{sender: i, incarnation: 1, sequence: 1}
				a.acceptReport(100*second, newReport(header, 100, sample))
			}
			return a
		}
		drawCount := func() int { return rapid.IntRange(0, maxCount).Draw(rt, "count") }
		drawSample := func() serverSample {
			return serverSample{
				key:      1,
				offered:  [priorityCount]int{drawCount(), drawCount(), drawCount(), drawCount()},
				overflow: drawCount(),
				answered: drawCount(),
				wait:     rapid.IntRange(0, maxWait).Draw(rt, "wait"),
			}
		}
		without, with := newHonest(), newHonest()
		span := rapid.IntRange(0, maxWait).Draw(rt, "span")
		header := messageHeader{sender: n - 1, incarnation: 1, sequence: 1}
		with.acceptReport(100*second, newReport(header, span, drawSample()))
		without.aggregate(100 * second)
		with.aggregate(100 * second)
		x, y := without.servers[1], with.servers[1]
		bound := max(maxRelativeWeight*3, minClippedRate) + 1e-9
		if d := y.totalOffered() - x.totalOffered(); d < 0 || d > bound {
			rt.Errorf("one of %d members changed the offered rate by %.1f per second, want at most %.1f", n, d, bound)
		}
		if d := y.answered - x.answered; d < 0 || d > bound {
			rt.Errorf("one of %d members changed the answered rate by %.1f per second, want at most %.1f", n, d, bound)
		}
		if x.wait != y.wait {
			rt.Errorf("one of %d members changed the wait from %v to %v", n, x.wait, y.wait)
		}
	})
}

// Throttle probabilities are ordered and bounded: a higher priority is never throttled more than a lower one, the
// highest is never throttled, and none is throttled entirely. The calls that pass do not exceed the admitted rate.
func TestServerLimitsAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := newTestAggregator(3, 0)
		for key := range uint32(rapid.IntRange(1, 12).Draw(rt, "servers")) {
			s := &serverAggregate{key: key}
			s.admittedRate = rapid.SampledFrom([]float64{math.Inf(1), 0.5, 3, 20}).Draw(rt, "admitted")
			s.answered = rapid.Float64Range(0, 40).Draw(rt, "answered")
			for priority := range s.offered {
				s.offered[priority] = rapid.Float64Range(0, 20).Draw(rt, "offered")
			}
			a.servers[key] = s
		}
		for _, limit := range a.serverLimits() {
			checkLimitBounds(rt, a.servers[limit.key], limit)
		}
	})
}

func checkLimitBounds(rt *rapid.T, s *serverAggregate, limit serverLimit) {
	throttled := measureThrottling(limit)
	if throttled[priorityCount-1] > 0 {
		rt.Errorf("%+v throttles the highest priority", limit)
	}
	for priority := 1; priority < priorityCount; priority++ {
		if throttled[priority] > throttled[priority-1]+0.02 {
			rt.Errorf("%+v throttles a higher priority more than a lower one: %v", limit, throttled)
		}
	}
	admitted := 0.0
	for priority := range throttled {
		if throttled[priority] > 0.995 {
			rt.Errorf("%+v throttles a priority entirely: %v", limit, throttled)
		}
		admitted += s.offered[priority] * (1 - throttled[priority])
	}
	maxAdmitted := max(s.admittedRate, s.offered[priorityCount-1]) + 0.02*s.totalOffered() + 0.6
	if admitted > maxAdmitted {
		rt.Errorf("%+v admits %.1f per second, the admitted rate is %.1f", limit, admitted, s.admittedRate)
	}
}

// measureThrottling returns the share of calls that a member throttles by a limit, by priority.
func measureThrottling(limit serverLimit) (shares [priorityCount]float64) {
	m := Member{rng: rand.New(rand.NewPCG(1, 1)), options: Options{LatencyThreshold: latencyThreshold}}
	m.servers.byID = map[string]*serverView{"s": {limit: limit, limitedUntil: neverDue}}
	for priority := range shares {
		for range 2000 {
			if reason, _ := m.Throttle(0, "s", admission.Priority(priority), true); reason != "" {
				shares[priority] += 1. / 2000
			}
		}
	}
	return shares
}

// Reports that are duplicate, out of order or from an earlier incarnation are rejected.
func TestStaleReportsAreRejected(t *testing.T) {
	a := newTestAggregator(2, 0)
	report := func(incarnation, sequence uint32) *loadReport {
		return newReport(messageHeader{sender: 1, incarnation: incarnation, sequence: sequence}, 50)
	}
	now := 100 * second
	for i, test := range []struct {
		report *loadReport
		want   bool
	}{
		{report(5, 1), true},
		{report(5, 1), false},
		{report(5, 3), true},
		{report(5, 2), false},
		{report(4, 9), false},
		{report(6, 1), true},
		{report(5, 4), false},
	} {
		if got := a.acceptReport(now, test.report); got != test.want {
			t.Errorf("report %d (incarnation %d, sequence %d): accepted %v, want %v",
				i, test.report.incarnation, test.report.sequence, got, test.want)
		}
	}
	if !a.acceptReport(now+15*second, report(6, 2)) || !a.acceptReport(now+60*second, report(3, 1)) {
		t.Error("the reports of a member whose clock was set back are never accepted again")
	}
	if a.acceptReport(now, newReport(messageHeader{sender: 2, incarnation: 1, sequence: 1}, 0)) {
		t.Error("a report from a member that does not exist was accepted")
	}
}

// The limit of an overloaded server ends when no member reports a wait any more, whatever the last reported wait was.
// The last wait was once kept for ever: after a partition, a controller that was the only reporter of its aggregator
// throttled all of its calls (24 of 24 in the last seconds of a run of 24 processes, seed 15).
func TestServerWithoutReportedWaitRecovers(t *testing.T) {
	now, sequence := 100*second, uint32(0)
	a := newTestAggregator(2, now)
	aggregateReport := func(s serverSample) {
		now += 500 * ms
		sequence++
		report := newReport(messageHeader{sender: 1, incarnation: 1, sequence: sequence}, 50, s)
		report.overloaded = true
		a.acceptReport(now, report)
		a.aggregate(now)
	}
	for range 6 {
		aggregateReport(serverSample{key: 1, offered: [priorityCount]int{0, 2, 1, 0}, answered: 1, wait: 300})
	}
	if limits := a.serverLimits(); len(limits) == 0 || limits[0].throttle == 0 {
		t.Fatalf("an overloaded server is not limited: %+v", limits)
	}
	for i := 0; len(a.serverLimits()) > 0; i++ {
		if i > 30 {
			t.Fatalf("the server is still limited 15 s after the last reported wait: %+v", a.serverLimits())
		}
		aggregateReport(serverSample{key: 1, offered: [priorityCount]int{0, 2, 1, 0}})
	}
}

// The aggregator sets no limit for a server that answers no calls, during the outage or after it; each member relies on
// its own measurements. An admitted rate of half a set-up per second was once set while a zone was unreachable, and
// stayed in force for seconds after the outage.
func TestUnresponsiveServerIsNotLimited(t *testing.T) {
	now := 100 * second
	a := newTestAggregator(2, now)
	for step := range uint32(40) {
		now += 500 * ms
		sample := serverSample{key: 1, offered: [priorityCount]int{0, 2, 1, 0}}
		if isResponsive := step < 4 || step >= 16; isResponsive {
			sample.answered, sample.wait = 3, 8
		} else {
			sample.wait = int(step) * 50 // set-ups wait until the outage ends
		}
		report := newReport(messageHeader{sender: 1, incarnation: 1, sequence: step + 1}, 50, sample)
		report.overloaded = true
		a.acceptReport(now, report)
		a.aggregate(now)
		if step < 12 {
			continue
		}
		if limits := a.serverLimits(); len(limits) > 0 {
			t.Fatalf("%v after the start of an outage of 6 s the server is limited: %+v", now-102*second, limits)
		}
	}
}
