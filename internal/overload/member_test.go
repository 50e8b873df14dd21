package overload

import (
	"fmt"
	"math"
	"testing"
)

// All members together send at the rate that the server answers, whatever the loss of datagrams.
func TestAdmittedRateMatchesServerCapacity(t *testing.T) {
	for _, test := range []struct {
		members  int
		lossRate float64
	}{
		{2, 0},
		{40, 0},
		{40, 0.3},
		{300, 0},
		{300, 0.3},
	} {
		c := newCluster(t, test.members, 7)
		c.lossRate = test.lossRate
		got := c.runOverload(40*second, 60, 30)
		if got < (0.85-test.lossRate/3)*30 || got > 1.15*30 {
			t.Errorf("%d members, %.0f%% lost: %.1f of 60 set-ups per second were sent to a server with a capacity of 30",
				test.members, 100*test.lossRate, got)
		}
	}
}

// After an overload no call is throttled, and members exchange almost no datagrams.
func TestThrottlingAndFrequentReportsEndWithTheOverload(t *testing.T) {
	c := newCluster(t, 60, 5)
	c.runOverload(20*second, 60, 30)
	if got := c.runOverload(20*second, 20, 30); got < 18 {
		t.Errorf("%.1f of 20 calls per second are sent after the overload", got)
	}
	c.run(20*second, nil)
	datagrams, bytes := 0, 0
	for _, m := range c.members {
		datagrams -= m.Sent
		bytes -= m.SentBytes
		if m.aggregator.wantsFrequentReports(c.now) {
			t.Errorf("member %d still requests frequent reports", m.options.Self)
		}
	}
	c.run(100*second, nil)
	for _, m := range c.members {
		datagrams += m.Sent
		bytes += m.SentBytes
	}
	if rate := float64(bytes) / 60 / 100; rate > 8 {
		t.Errorf("without overload each member sends %.1f bytes and %.2f datagrams per second, want at most 8 bytes",
			rate, float64(datagrams)/6000)
	}
}

// The estimate of the number of living members is unbiased under packet loss.
func TestEstimateIsUnbiasedUnderLoss(t *testing.T) {
	for _, lossRate := range []float64{0, 0.1, 0.3} {
		sum, n := 0.0, 0
		c := newCluster(t, 80, 11)
		c.lossRate = lossRate
		for i := 60; i < 80; i++ {
			c.members[i] = nil // never starts
		}
		c.run(60*second, nil)
		for range 60 {
			c.run(3*second, nil)
			for _, m := range c.members[:60] {
				if isSettledAggregator(m, c.now) {
					sum += estimateAlive(m.aggregator.members, c.now, m.options.HeartbeatInterval)
					n++
				}
			}
		}
		if n < 20 {
			t.Fatalf("loss %v: a settled aggregator was found only %d times", lossRate, n)
		}
		// An aggregator counts itself only while it receives its own reports.
		if mean := sum / float64(n); math.Abs(mean-59) > 2 {
			t.Errorf("loss %v: the mean estimate for 60 members is %.1f", lossRate, mean)
		}
	}
}

// isSettledAggregator reports whether a member has been its own aggregator for three heartbeats and receives reports.
func isSettledAggregator(m *Member, now Time) bool {
	receivesReports := m.aggregator.lastReportAt > 0 && now-m.aggregator.lastReportAt < 2*second
	return m.isOwnAggregator() && receivesReports && now-m.selection.since > 35*second
}

// When the aggregator fails during an overload, another one replaces it, even if seven in ten members fail at once.
// Members that restart select the same aggregator.
func TestFailedAggregatorIsReplaced(t *testing.T) {
	c := newCluster(t, 60, 3)
	c.runOverload(15*second, 60, 30)
	failed := c.members[20].selection.aggregator
	for i := range c.members {
		if i%10 < 7 || i == failed {
			c.members[i] = nil
		}
	}
	failedAt := c.now
	for len(c.aggregators()) > 1 || c.members[c.members[58].selection.aggregator] == nil {
		c.runOverload(second/2, 60, 30)
		if c.now-failedAt > 15*second {
			t.Fatalf("15 s after aggregator %d failed, the aggregators are %v", failed, c.aggregators())
		}
	}
	if got := c.runOverload(20*second, 60, 30); got > 1.15*30 {
		t.Errorf("%.1f set-ups per second are sent to a server with a capacity of 30", got)
	}
	for i := range c.members {
		if c.members[i] == nil {
			c.start(i)
		}
	}
	c.runOverload(20*second, 60, 30)
	if n := len(c.aggregators()); n > 1 {
		t.Errorf("after the restart of all members the aggregators are %v", c.aggregators())
	}
}

// Each part of a partitioned network limits the load by its own sums. Some time after the partition ends, all members
// select the same aggregator.
func TestPartitionedMembersConvergeAfterwards(t *testing.T) {
	c := newCluster(t, 40, 9)
	halves := func(a, b int) bool { return a%2 != b%2 }
	c.runOverload(10*second, 60, 30)
	c.isPartitioned = halves
	if got := c.runOverload(20*second, 60, 30); got > 1.2*30 {
		t.Errorf("both parts send %.1f set-ups per second to a server with a capacity of 30", got)
	}
	if n := len(c.aggregators()); n < 2 {
		t.Errorf("the aggregators of a partitioned network are %v", c.aggregators())
	}
	c.isPartitioned = nil
	c.runOverload(40*second, 60, 30)
	if n := len(c.aggregators()); n > 1 {
		t.Errorf("40 s after the partition the aggregators are %v", c.aggregators())
	}
	// After a partition of several minutes each part considers the other dead.
	c.isPartitioned = halves
	c.run(200*second, nil)
	c.isPartitioned = nil
	c.run(Time(digestResetTerms)*2*c.members[0].options.AggregatorTerm, nil)
	if n := len(c.aggregators()); n > 1 {
		t.Errorf("%d terms after a long partition the aggregators are %v", 2*digestResetTerms, c.aggregators())
	}
}

// An aggregator whose limits contradict a member's own measurements is ejected: one that claims long waits although
// answers arrive at once, and one that claims short waits although calls wait long.
func TestWrongAggregatorIsEjected(t *testing.T) {
	for _, test := range []struct {
		name      string
		limit     serverLimit
		setupTime Time
	}{
		{"claims overload", serverLimit{priority: 2, throttle: 128, wait: 3000}, 60 * ms},
		{"denies overload", serverLimit{priority: 0, throttle: 1, wait: 10}, 900 * ms},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 2, 1)
			m := c.members[0]
			for i := 0; m.isOwnAggregator() && i < 100; i++ {
				c.now += m.options.AggregatorTerm // until it selects the other member
				m.Tick(c.now)
			}
			wrongAggregator := m.selection.aggregator
			test.limit.key = ServerKey("s")
			for i := 1; m.AggregatorsEjected == 0 && i < 100; i++ {
				c.now += 200 * ms
				m.Tick(c.now)
				update := limitUpdate{
					messageHeader: messageHeader{
						kind: kindLimitUpdate, sender: wrongAggregator, incarnation: 9, sequence: uint32(i),
					},
					limits: []serverLimit{test.limit},
				}
				if err := m.Receive(c.now, wrongAggregator, update.append(nil)); err != nil {
					t.Fatal(err)
				}
				m.RecordOffered(c.now, "s", 2)
				if reason, _ := m.Throttle(c.now, "s", 2, true); reason == "" {
					m.RecordSent(c.now, "s", true)
					m.RecordResult(c.now, "s", true, test.setupTime)
				}
			}
			if m.AggregatorsEjected == 0 || m.selection.aggregator == wrongAggregator {
				t.Error("the aggregator is not ejected within 20 s")
			}
			if reason, isLimited := m.Throttle(c.now, "s", 2, true); isLimited {
				t.Errorf("the limit of the ejected aggregator still applies: %q", reason)
			}
		})
	}
}

// A limit update that names a later incarnation of the aggregator, either forged or from before its clock was set back,
// must not block the aggregator's genuine updates for ever: they apply again once the limits of that update have
// expired, and not before.
func TestLimitsOfALaterStartExpire(t *testing.T) {
	c := newCluster(t, 2, 1)
	m := c.members[0]
	for i := 0; m.isOwnAggregator() && i < 100; i++ {
		c.now += m.options.AggregatorTerm // until it selects the other member
		m.Tick(c.now)
	}
	const genuineIncarnation, laterIncarnation, forgedThrottle, genuineThrottle = 9, 1 << 31, 1, 200
	receive := func(incarnation, sequence uint32, throttle int) {
		t.Helper()
		update := limitUpdate{
			messageHeader: messageHeader{
				kind: kindLimitUpdate, sender: m.selection.aggregator, incarnation: incarnation, sequence: sequence,
			},
			limits: []serverLimit{{key: ServerKey("s"), priority: 2, throttle: throttle, wait: 100}},
		}
		if err := m.Receive(c.now, m.selection.aggregator, update.append(nil)); err != nil {
			t.Fatal(err)
		}
	}
	throttle := func() int {
		limit, _ := m.limits.find(ServerKey("s"))
		return limit.throttle
	}
	receive(genuineIncarnation, 1, genuineThrottle)
	receive(laterIncarnation, 1, forgedThrottle)
	expiry := c.now + m.options.limitLifetime()
	for sequence := uint32(2); c.now < expiry; sequence++ {
		receive(genuineIncarnation, sequence, genuineThrottle)
		if throttle() != forgedThrottle {
			t.Fatalf("an update of an earlier incarnation applies %v before the limits expire", expiry-c.now)
		}
		c.now += 250 * ms
		m.Tick(c.now)
	}
	receive(genuineIncarnation, 100, genuineThrottle)
	if throttle() != genuineThrottle {
		t.Error("the genuine update does not apply after the limits have expired")
	}
	receive(genuineIncarnation, 99, forgedThrottle)
	if throttle() != genuineThrottle {
		t.Error("an out-of-order update applies")
	}
}

// Memory stays bounded however many servers are named.
func TestMemoryIsBounded(t *testing.T) {
	c := newCluster(t, 4, 2)
	m := c.members[0]
	for i := range 100_000 {
		c.now += ms
		server := fmt.Sprint("s", i)
		m.RecordOffered(c.now, server, 1)
		m.RecordSent(c.now, server, true)
		sample := serverSample{key: uint32(i), offered: [priorityCount]int{5, 5, 5, 5}}
		report := newReport(messageHeader{sender: 1, incarnation: 1, sequence: uint32(i + 1)}, 1, sample)
		report.overloaded = true
		_ = m.Receive(c.now, 1, report.append(nil))
		m.Tick(c.now)
	}
	byID, byKey := len(m.servers.byID), len(m.servers.byKey)
	aggregates, datagrams := len(m.aggregator.servers), len(m.outbox.queue)
	if byID > maxServers || byKey > maxServers || aggregates > maxAggregates || datagrams > 2*4+16 {
		t.Errorf("%d servers by id, %d by key, %d aggregates and %d datagrams are kept", byID, byKey, aggregates, datagrams)
	}
}

// After a clock jump a member reports no earlier measurements and applies no earlier limits.
func TestClockJumpVoidsMeasurements(t *testing.T) {
	c := newCluster(t, 2, 1)
	m := c.members[0]
	m.RecordOffered(c.now, "s", 1)
	m.RecordSent(c.now, "s", true)
	m.servers.byID["s"].setLimit(serverLimit{priority: 3, throttle: 250, wait: 100}, c.now+60*second)
	c.now += 5 * second
	if _, isLimited := m.Throttle(c.now, "s", 1, true); isLimited {
		t.Error("a limit from before the jump still applies")
	}
	m.sendReport(c.now)
	for _, d := range m.outbox.queue {
		decoded, err := decode(d.Payload)
		if err != nil {
			t.Fatal(err)
		}
		report, isReport := decoded.(*loadReport)
		if isReport && len(report.samples) > 0 && report.samples[0].offered != [priorityCount]int{} {
			t.Errorf("the member reports a measurement from before the jump: %+v", report.samples[0])
		}
	}
}

func TestOptionsCheck(t *testing.T) {
	for _, o := range []Options{
		{Controllers: 0, LatencyThreshold: latencyThreshold},
		{Controllers: maxMembers + 1, LatencyThreshold: latencyThreshold},
		{Controllers: 3, Self: 3, LatencyThreshold: latencyThreshold},
		{Controllers: 3},
		{Controllers: 3, LatencyThreshold: latencyThreshold, HeartbeatInterval: -1},
	} {
		if _, err := New(0, o); err == nil {
			t.Errorf("%+v was accepted", o)
		}
	}
	m, err := New(0, Options{Controllers: 1, LatencyThreshold: latencyThreshold})
	if err != nil || m.NextDeadline() != neverDue || m.Tick(second) != nil {
		t.Errorf("a single controller must be accepted and send no datagrams: error %v", err)
	}
}

// A limit applies to servers that a member uses for the first time. Limits once applied only to servers that the member
// had already sent set-ups to: with a thousand controllers, throttled calls went to all other servers, 20 per second to
// each of a dozen servers that could answer 33.
func TestLimitAppliesToServersUsedForTheFirstTime(t *testing.T) {
	c := newCluster(t, 2, 1)
	m := c.members[0]
	limit := serverLimit{key: ServerKey("new"), priority: 2, throttle: 255, overflowThrottle: 255, wait: 100}
	m.applyLimits(c.now, &limitUpdate{limits: []serverLimit{limit}})
	for _, isFirstChoice := range []bool{true, false} {
		reason, isLimited := m.Throttle(c.now, "new", 1, isFirstChoice)
		if !isLimited || !isFirstChoice && reason == "" {
			t.Errorf("first choice %v: %q, %v", isFirstChoice, reason, isLimited)
		}
	}
	if _, isLimited := m.Throttle(c.now+m.options.limitLifetime(), "new", 1, true); isLimited {
		t.Error("the limit still applies after its lifetime")
	}
}
