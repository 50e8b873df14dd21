package overload

import (
	"cmp"
	"math"
	"slices"
)

// Figures of a teller.
const (
	minReportLifetime = 2500 * ms // a report counts for so long at least, and for five periods
	pollInterval      = 1000 * ms // all are asked for reports once in this at most
	overloadMemory    = 3000 * ms // without evidence for so long, no more reports are asked for
	maxAggregates     = 64        // servers of which a teller keeps sums; the least busy go first
	smoothingSeconds  = 1.0       // seconds over which sums are smoothed
	waitTarget        = 0.5       // of the late mark: a server that has calls wait longer is pressed
	waitClearance     = 10.0      // late marks in which a wait is to be cleared
	minRateCut        = 0.25      // of the answered rate: a budget is cut to no less at once
	recoveryRate      = 0.6       // a second: a budget grows by this while the wait is short
	headroomFactor    = 1.02      // a budget that is so many times what is offered for roomyFor binds nobody
	headroomTime      = 2000 * ms
	// What one controller tells weighs so many times the median at most. Chances come from ratios of sums, so that
	// what is cut off busy controllers is cut off both sides.
	maxRelativeWeight = 1.5
	minClippedRate    = 1.0  // calls a second that one may tell of in any case
	minWaitWeight     = 0.2  // a second: the weight of a wait of a call that alone is out
	peakDecay         = 0.02 // a second: what a server carried at most is forgotten by this
	capacityDecay     = 0.10 // a second: so is what it answered while it was pressed
	resumeShare       = 0.9  // of that a budget begins again with once calls wait no longer
	maxThrottle       = 250  // of 255: a word never holds back all
	minAnswerRate     = 0.5  // answers a second: a server that gives fewer while calls wait is silent; also the least budget
)

// A serverAggregate is what the fleet does at a server, by what its controllers told a teller, and what follows.
type serverAggregate struct {
	key            uint32
	offered        [priorityCount]float64 // calls a second of which it is the first choice, by tier
	overflow       float64                // other set-ups a second
	answered       float64                // answers a second
	wait           float64                // seconds that calls have to wait, the median of what controllers tell
	waitReports    int                    // controllers that told of a wait
	peakThroughput float64                // answers a second that it gave while calls stood in time, at most
	capacity       float64                // answers a second that it gave while calls had to wait
	admittedRate   float64                // set-ups a second that it is to be sent; +Inf: nothing is held back
	headroomSince  Time                   // since when the budget has been more than what is offered; 0: it is not
	lastReportAt   Time                   // when any controller last told of it
}

// totalOffered is all calls a second that want to go there first.
func (s *serverAggregate) totalOffered() (all float64) {
	for _, x := range s.offered {
		all += x
	}
	return all
}

// A aggregator sums up what controllers tell it, and tells them what all of them together hold back. It is
// Sabourin's mechanism over the sum of those who report to it: the estimate is of what they offer, the
// ceiling of what was answered to them.
type aggregator struct {
	latencyThreshold  float64 // seconds
	reportLifetime    Time    // a report counts for so long
	heartbeatInterval Time
	members           []memberRecord
	servers           map[uint32]*serverAggregate
	overloadedAt      Time // evidence of pressure came last
	lastReportAt      Time // a report came last
	lastPollAt        Time // all were asked for reports last
	sequence          uint32
	aggregatedAt      Time // when the sums were last made
	peakMembers       int  // controllers there at once, of late
}

func newAggregator(peers int, late, beat, period Time) *aggregator {
	return &aggregator{reportLifetime: max(minReportLifetime, 5*period), latencyThreshold: late.Seconds(), heartbeatInterval: beat, members: make([]memberRecord, peers), servers: make(map[uint32]*serverAggregate)}
}

// acceptReport takes a report. It tells whether it was news.
func (t *aggregator) acceptReport(now Time, r *loadReport) bool {
	if r.sender >= len(t.members) {
		return false
	}
	if t.lastReportAt > 0 && now-t.lastReportAt > Time(suspectHeartbeats*float64(t.heartbeatInterval)) {
		clear(t.members) // another had the part in the meantime: who was silent here may have spoken there
	}
	if !t.members[r.sender].accept(now, r, t.heartbeatInterval) {
		return false
	}
	t.lastReportAt = now
	if r.overloaded {
		t.members[r.sender].overloadedAt = now
		if t.hasOverloadEvidence(now) {
			t.overloadedAt = now
		}
	}
	return true
}

// hasOverloadEvidence tells whether enough controllers have found a server slow of late: one in fifty. In calm there is
// always one of hundreds that meets a late answer, and all would be asked to report for it.
func (t *aggregator) hasOverloadEvidence(now Time) bool {
	hot, there := 0, 0
	for i := range t.members {
		p := &t.members[i]
		if p.status(now, t.heartbeatInterval) == Alive {
			there++
		}
		if p.overloadedAt > 0 && now-p.overloadedAt < overloadMemory {
			hot++
		}
	}
	return hot*50 >= there
}

// wantsFrequentReports tells whether reports are wanted often.
func (t *aggregator) wantsFrequentReports(now Time) bool {
	if t.overloadedAt > 0 && now-t.overloadedAt < overloadMemory {
		return true
	}
	for _, s := range t.servers {
		if !math.IsInf(s.admittedRate, 1) {
			return true
		}
	}
	return false
}

// clipWeights is by how much each controller's counts are made less: what one tells has the weight of heaviest
// median ones at most, so that a few that lie, or one that counts in a loop, cannot speak for all.
func (t *aggregator) clipWeights(now Time) []float64 {
	rates := make([]float64, len(t.members))
	var all []float64
	for i := range t.members {
		if r := t.freshReport(now, i); r != nil {
			n := 0
			for _, s := range r.samples {
				n += max(s.offered[0]+s.offered[1]+s.offered[2]+s.offered[3]+s.overflow, s.answered)
			}
			if rates[i] = float64(n) / r.seconds(); n > 0 {
				all = append(all, rates[i])
			}
		}
	}
	most := max(maxRelativeWeight*median(all), minClippedRate)
	for i, r := range rates {
		rates[i] = min(1, most/max(r, most))
	}
	return rates
}

// A weightedValue is a figure with its weight.
type weightedValue struct{ value, weight float64 }

// weightedMedian is the weighted median of some figures, which it sorts; 0 of none.
func weightedMedian(all []weightedValue) float64 {
	slices.SortFunc(all, func(a, b weightedValue) int { return cmp.Compare(a.value, b.value) })
	sum := 0.0
	for _, x := range all {
		sum += x.weight
	}
	for _, x := range all {
		if sum -= 2 * x.weight; sum <= 0 {
			return x.value
		}
	}
	return 0
}

// seconds is the span of a report; one of nothing counts as a short one.
func (r *loadReport) seconds() float64 { return max(float64(r.span)*timeUnit/1e9, 0.1) }

// freshReport is a controller's report if it still counts.
func (t *aggregator) freshReport(now Time, i int) *loadReport {
	p := &t.members[i]
	if p.lastReport == nil || now-p.lastReportAt > t.reportLifetime {
		p.lastReport = nil
		return nil
	}
	return p.lastReport
}

// aggregate makes the sums anew and settles the budgets.
func (t *aggregator) aggregate(now Time) {
	dt := min((now - t.aggregatedAt).Seconds(), 2)
	t.aggregatedAt = now
	weight := t.clipWeights(now)
	raw, waits := make(map[uint32]*serverAggregate), make(map[uint32][]weightedValue)
	for i := range t.members {
		r := t.freshReport(now, i)
		if r == nil {
			continue
		}
		for _, x := range r.samples {
			s := raw[x.key]
			if s == nil {
				if len(raw) >= 2*maxAggregates { // guards memory against keys that nobody has
					continue
				}
				s = &serverAggregate{}
				raw[x.key] = s
			}
			per := weight[i] / r.seconds()
			for k, n := range x.offered {
				s.offered[k] += per * float64(n)
			}
			s.overflow += per * float64(x.overflow)
			s.answered += per * float64(x.answered)
			if x.wait > 0 {
				// What a controller tells of a wait has the weight of what it does there, so that those that tell of
				// all servers all the time do not speak for those that do something there now and then.
				n := x.offered[0] + x.offered[1] + x.offered[2] + x.offered[3] + x.overflow + x.answered
				waits[x.key] = append(waits[x.key], weightedValue{float64(x.wait) * timeUnit / 1e9, per*float64(n) + minWaitWeight*weight[i]})
			}
		}
	}
	a := min(dt/smoothingSeconds, 1)
	for key, x := range raw {
		s := t.servers[key]
		if s == nil {
			s = &serverAggregate{key: key, admittedRate: math.Inf(1)}
			s.offered, s.overflow, s.answered = x.offered, x.overflow, x.answered
			t.servers[key] = s
		}
		s.lastReportAt = now
	}
	for key, s := range t.servers {
		x := cmp.Or(raw[key], &serverAggregate{})
		for k := range s.offered {
			s.offered[k] += a * (x.offered[k] - s.offered[k])
		}
		s.overflow += a * (x.overflow - s.overflow)
		s.answered += a * (x.answered - s.answered)
		s.waitReports = len(waits[key])
		if s.waitReports > 0 {
			s.wait += max(a, 0.5) * (weightedMedian(waits[key]) - s.wait)
		} else {
			s.wait -= a * s.wait // nobody waits that is known
		}
		t.settleAdmittedRate(s, now, dt)
		if now-s.lastReportAt > 30*second {
			delete(t.servers, key)
		}
	}
	t.prune()
}

// prune keeps the busiest servers.
func (t *aggregator) prune() {
	if len(t.servers) <= maxAggregates {
		return
	}
	all := t.sortedServers()
	slices.SortStableFunc(all, func(a, b *serverAggregate) int {
		return cmp.Compare(b.totalOffered()+b.answered, a.totalOffered()+a.answered)
	})
	for _, s := range all[maxAggregates:] {
		delete(t.servers, s.key)
	}
}

// sortedServers are the sums in an order that is the same everywhere.
func (t *aggregator) sortedServers() []*serverAggregate {
	all := make([]*serverAggregate, 0, len(t.servers))
	for _, s := range t.servers {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *serverAggregate) int { return cmp.Compare(a.key, b.key) })
	return all
}

// settleAdmittedRate is the ceiling of a server for all who report: what was answered, less what clears the wait,
// while calls wait for long; more by and by while they do not; none once it has bound nobody for a while.
func (t *aggregator) settleAdmittedRate(s *serverAggregate, now Time, dt float64) {
	limit := waitTarget * t.latencyThreshold
	// A server that answers nobody is silent, not slow: it hangs, or the way there is cut. Each goes by its own
	// evidence there, which knows dead connections; a budget of next to nothing would outlast the silence.
	silent := s.waitReports > 0 && s.answered < minAnswerRate
	pressed := s.waitReports > 0 && s.wait > limit && !silent
	if !pressed {
		s.peakThroughput = max(s.peakThroughput*(1-peakDecay*dt), s.answered)
	}
	switch {
	case silent:
		s.admittedRate, s.headroomSince, s.capacity, s.wait = math.Inf(1), 0, 0, 0
	case pressed:
		s.capacity = max(s.capacity*(1-capacityDecay*dt), s.answered) // it had enough to do: what it answered is what it can
		share := max(1-(s.wait-limit)/(waitClearance*t.latencyThreshold), minRateCut)
		s.admittedRate, s.headroomSince = max(s.answered*share, minAnswerRate), 0
	case math.IsInf(s.admittedRate, 1):
	default:
		// Back to nearly what it can at once, and on from there by the room that the wait leaves. What is
		// added follows what is offered as well as the budget, so that those of several tellers, each with a
		// part of the fleet, come to be the same part of what is offered to each.
		s.admittedRate = max(s.admittedRate, s.answered, resumeShare*s.capacity)
		s.admittedRate += recoveryRate * dt * max(1-s.wait/limit, 0) * math.Sqrt(s.admittedRate*max(s.admittedRate, s.totalOffered()+s.overflow))
		if s.admittedRate < headroomFactor*(s.totalOffered()+s.overflow) {
			s.headroomSince = 0
		} else if s.headroomSince == 0 {
			s.headroomSince = now
		} else if now-s.headroomSince > headroomTime {
			s.admittedRate, s.headroomSince = math.Inf(1), 0
		}
	}
}

// serverLimits are what is held back now. Where nothing is, there are none.
func (t *aggregator) serverLimits() (all []serverLimit) {
	held, spare := 0.0, 0.0
	type place struct {
		*serverAggregate
		serverLimit
		left float64
	}
	var places []place
	for _, s := range t.sortedServers() {
		p := place{serverAggregate: s, serverLimit: serverLimit{key: s.key, priority: 0, wait: min(int(s.wait*1e9/timeUnit), maxWait)}}
		if math.IsInf(s.admittedRate, 1) {
			// What it carried and does not carry now is room for others' calls; a little more finds out whether more is.
			p.left = max(1.05*s.peakThroughput-s.answered, 0.05*s.peakThroughput)
		} else {
			p.left = s.admittedRate
			for k := priorityCount - 1; k >= 0; k-- { // the dearest first; those that were cut are never held back
				pass := min(s.offered[k], p.left)
				p.left -= pass
				if k == priorityCount-1 || pass >= s.offered[k] {
					continue
				}
				held += s.offered[k] - pass
				if p.serverLimit.throttle == 0 { // the dearest tier that is held back
					p.serverLimit.priority, p.serverLimit.throttle = k, throttleByte(1-pass/s.offered[k])
				}
			}
		}
		spare += p.left
		places = append(places, p)
	}
	if held == 0 && !slices.ContainsFunc(places, func(p place) bool { return !math.IsInf(p.admittedRate, 1) }) {
		return nil
	}
	for _, p := range places {
		open := 1.0
		if held > 0 {
			open = min(p.left/held, 1)
		}
		// A call held back elsewhere asks all servers in turn: a chance left open at each without room would let one in
		// five in at a dozen of them.
		p.serverLimit.overflowThrottle = int((1-open)*255 + 0.5)
		if math.IsInf(p.admittedRate, 1) {
			continue // nothing is said of it
		}
		all = append(all, p.serverLimit)
	}
	// The most pressed first: the rest may not fit.
	slices.SortStableFunc(all, func(a, b serverLimit) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(b.throttle, a.throttle))
	})
	return all
}

// throttleByte is a share in 255ths.
func throttleByte(x float64) int { return min(int(x*255+0.5), maxThrottle) }
