package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of aggregation.
const (
	maxAggregates       = 64               // servers that an aggregator keeps; the least busy are removed first
	aggregateRetention  = 30 * time.Second // an aggregate without reports is removed after this time
	smoothingSeconds    = 1.0              // time constant of the smoothing of rates
	maxSmoothingSeconds = 2                // a longer gap between two aggregations counts as this long
	minWaitSmoothing    = 0.5              // weight of a new wait against the old one, at least
	minWaitWeight       = 0.2              // a second: weight of a wait reported for a server without other events
)

// Parameters of the admitted rate. Thresholds are multiples of the latency threshold.
const (
	waitTarget     = 0.5  // a server where calls wait for longer is overloaded
	waitClearance  = 10.0 // the time in which the rate is set to clear the wait
	minRateCut     = 0.25 // of the answered rate: the admitted rate is never cut below this share
	recoveryRate   = 0.6  // a second: growth of the admitted rate while calls do not wait
	resumeShare    = 0.9  // of the capacity: where the admitted rate restarts once the overload has ended
	peakDecay      = 0.02 // a second: decay of the peak throughput
	capacityDecay  = 0.10 // a second: decay of the capacity
	minAnswerRate  = 0.5  // answers a second: a server with fewer is unresponsive; also the lowest admitted rate
	headroomFactor = 1.02 // an admitted rate that is this many times the demand throttles nobody
	headroomTime   = 2000 * time.Millisecond
)

// A demand is what members want from a server, as rates a second.
type demand struct {
	offered  [priorityCount]float64 // calls whose first choice it is
	overflow float64                // other set-ups
	answered float64
}

// totalOffered is the rate of the calls of all priorities whose first choice the server is.
func (d *demand) totalOffered() (total float64) {
	for _, rate := range d.offered {
		total += rate
	}
	return total
}

// add adds the counts of a sample, each multiplied by a factor.
func (d *demand) add(s *serverSample, factor float64) {
	for priority, n := range s.offered {
		d.offered[priority] += factor * float64(n)
	}
	d.overflow += factor * float64(s.overflow)
	d.answered += factor * float64(s.answered)
}

// smooth moves the rates towards others by a share of the difference.
func (d *demand) smooth(latest *demand, share float64) {
	for priority := range d.offered {
		d.offered[priority] += share * (latest.offered[priority] - d.offered[priority])
	}
	d.overflow += share * (latest.overflow - d.overflow)
	d.answered += share * (latest.answered - d.answered)
}

// A reportedLoad is what the fresh reports say of a server.
type reportedLoad struct {
	demand
	waits []weightedValue // seconds
}

// add adds a sample of a report with a span in seconds and the weight of its sender. A wait has the weight of the
// events that the sender reports for the server, so that members that report all servers all the time do not
// outweigh those that use it.
func (l *reportedLoad) add(s *serverSample, weight, seconds float64) {
	factor := weight / seconds
	l.demand.add(s, factor)
	if s.wait <= 0 {
		return
	}
	events := s.setUps() + s.answered
	l.waits = append(l.waits, weightedValue{
		value:  secondsOf(s.wait),
		weight: factor*float64(events) + minWaitWeight*weight,
	})
}

// A serverAggregate is the load of a server by the reports of all members, and the rate admitted there.
type serverAggregate struct {
	key uint32
	demand
	wait           float64 // seconds: weighted median of the reported waits, smoothed
	waitReports    int     // members that reported a wait
	peakThroughput float64 // answers a second: the most while the server was not overloaded, decaying
	capacity       float64 // answers a second: the most while it was overloaded, decaying
	admittedRate   float64 // set-ups a second; +Inf: not limited
	headroomSince  Time    // since when the admitted rate has exceeded the demand; 0: it does not
	lastReportAt   Time
}

// isLimited says whether the server's admitted rate is finite.
func (s *serverAggregate) isLimited() bool { return !math.IsInf(s.admittedRate, 1) }

// wantedRate is the rate of all set-ups that members want to send to the server.
func (s *serverAggregate) wantedRate() float64 { return s.totalOffered() + s.overflow }

// aggregate updates the aggregates from the fresh reports and settles the admitted rates.
func (a *aggregator) aggregate(now Time) {
	elapsed := min((now - a.aggregatedAt).Seconds(), maxSmoothingSeconds)
	a.aggregatedAt = now
	reported := a.sumReports(now)
	a.addServers(reported, now)
	share := min(elapsed/smoothingSeconds, 1)
	for key, s := range a.servers {
		s.update(cmp.Or(reported[key], &reportedLoad{}), share)
		s.settleAdmittedRate(now, elapsed, a.latencyThreshold)
		if now-s.lastReportAt > aggregateRetention {
			delete(a.servers, key)
		}
	}
	a.prune()
}

// sumReports sums the fresh reports by server.
func (a *aggregator) sumReports(now Time) map[uint32]*reportedLoad {
	weights := a.clipWeights(now)
	sums := make(map[uint32]*reportedLoad)
	for i := range a.members {
		r := a.freshReport(now, i)
		if r == nil {
			continue
		}
		for k := range r.samples {
			s := &r.samples[k]
			sum := sums[s.key]
			if sum == nil {
				if len(sums) >= 2*maxAggregates {
					continue // bounds memory against keys of servers that do not exist
				}
				sum = &reportedLoad{}
				sums[s.key] = sum
			}
			sum.add(s, weights[i], r.seconds())
		}
	}
	return sums
}

// addServers adds an aggregate for each server that was reported for the first time.
func (a *aggregator) addServers(reported map[uint32]*reportedLoad, now Time) {
	for key, load := range reported {
		s := a.servers[key]
		if s == nil {
			s = &serverAggregate{key: key, demand: load.demand, admittedRate: math.Inf(1)}
			a.servers[key] = s
		}
		s.lastReportAt = now
	}
}

// update smooths the latest load into the aggregate, with a share between 0 and 1. Where no member reports a wait
// it decays.
func (s *serverAggregate) update(latest *reportedLoad, share float64) {
	s.smooth(&latest.demand, share)
	s.waitReports = len(latest.waits)
	if s.waitReports > 0 {
		s.wait += max(share, minWaitSmoothing) * (weightedMedian(latest.waits) - s.wait)
	} else {
		s.wait -= share * s.wait
	}
}

// settleAdmittedRate settles the admitted rate: while calls wait for too long, the answered rate less what clears
// the wait; afterwards a growing rate; none once it has limited nobody for headroomTime. elapsed and
// latencyThreshold are in seconds.
func (s *serverAggregate) settleAdmittedRate(now Time, elapsed, latencyThreshold float64) {
	maxTargetWait := waitTarget * latencyThreshold
	isUnresponsive := s.waitReports > 0 && s.answered < minAnswerRate
	isOverloaded := s.waitReports > 0 && s.wait > maxTargetWait && !isUnresponsive
	if !isOverloaded {
		s.peakThroughput = max(s.peakThroughput*(1-peakDecay*elapsed), s.answered)
	}
	switch {
	case isUnresponsive:
		// Each member relies on its own evidence there, which includes lost connections; a minimal admitted rate
		// would outlast the outage.
		s.removeLimit()
		s.capacity, s.wait = 0, 0
	case isOverloaded:
		s.cutRate(elapsed, maxTargetWait, waitClearance*latencyThreshold)
	case s.isLimited():
		s.recoverRate(now, elapsed, maxTargetWait)
	}
}

// removeLimit admits all calls.
func (s *serverAggregate) removeLimit() {
	s.admittedRate = math.Inf(1)
	s.headroomSince = 0
}

// cutRate sets the admitted rate of an overloaded server. As it is saturated, what it answers is its capacity.
func (s *serverAggregate) cutRate(elapsed, maxTargetWait, clearance float64) {
	s.capacity = max(s.capacity*(1-capacityDecay*elapsed), s.answered)
	share := max(1-(s.wait-maxTargetWait)/clearance, minRateCut)
	s.admittedRate = max(s.answered*share, minAnswerRate)
	s.headroomSince = 0
}

// recoverRate raises the admitted rate after an overload: at once to nearly the capacity, then by the margin that
// the wait leaves. Growth follows the demand as well as the rate, so that the rates of several aggregators, each with
// a part of the members, converge to the same share of what is offered to each.
func (s *serverAggregate) recoverRate(now Time, elapsed, maxTargetWait float64) {
	s.admittedRate = max(s.admittedRate, s.answered, resumeShare*s.capacity)
	scale := math.Sqrt(s.admittedRate * max(s.admittedRate, s.wantedRate()))
	s.admittedRate += recoveryRate * elapsed * max(1-s.wait/maxTargetWait, 0) * scale
	switch {
	case s.admittedRate < headroomFactor*s.wantedRate():
		s.headroomSince = 0
	case s.headroomSince == 0:
		s.headroomSince = now
	case now-s.headroomSince > headroomTime:
		s.removeLimit()
	}
}

// prune removes the least busy servers beyond maxAggregates.
func (a *aggregator) prune() {
	if len(a.servers) <= maxAggregates {
		return
	}
	byLoad := a.sortedServers()
	slices.SortStableFunc(byLoad, func(x, y *serverAggregate) int {
		return cmp.Compare(y.totalOffered()+y.answered, x.totalOffered()+x.answered)
	})
	for _, s := range byLoad[maxAggregates:] {
		delete(a.servers, s.key)
	}
}

// sortedServers returns the aggregates sorted by key.
func (a *aggregator) sortedServers() []*serverAggregate {
	servers := make([]*serverAggregate, 0, len(a.servers))
	for _, s := range a.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(x, y *serverAggregate) int { return cmp.Compare(x.key, y.key) })
	return servers
}
