package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of aggregation.
const (
	maxAggregates       = 64               // servers that an aggregator tracks; the least busy are dropped first
	aggregateRetention  = 30 * time.Second // an aggregate without new reports is dropped after this time
	smoothingSeconds    = 1.0              // time constant of the exponential smoothing of rates
	maxSmoothingSeconds = 2                // upper bound of the time that one aggregation accounts for
	minWaitSmoothing    = 0.5              // minimum weight of a newly reported wait against the previous value
	minWaitWeight       = 0.2              // per second: weight of a wait that is reported without other events
)

// Parameters of the admitted rate. The wait parameters are multiples of the latency threshold. A limit is removed once
// the admitted rate has exceeded the demand by headroomFactor for headroomTime.
const (
	waitTarget       = 0.5  // a server where calls wait longer is overloaded
	waitClearance    = 10.0 // the rate is cut so that the wait is cleared in this time
	minAdmittedShare = 0.25 // of the answered rate: lower bound of a cut
	recoveryRate     = 0.6  // per second: relative growth of the rate while calls do not wait
	resumeShare      = 0.9  // of the capacity: where the rate restarts once the overload has ended
	peakDecay        = 0.02 // per second: relative decay of the peak throughput
	capacityDecay    = 0.10 // per second: relative decay of the capacity
	minAnswerRate    = 0.5  // answers per second: minimum of a responsive server and of the rate
	headroomFactor   = 1.02 // an admitted rate of this multiple of the demand throttles no calls
	headroomTime     = 2000 * time.Millisecond
)

// A demand holds what members request from a server and what it answers, as rates per second.
type demand struct {
	offered  [priorityCount]float64 // calls that have the server as their first choice
	overflow float64                // other set-ups
	answered float64
}

// totalOffered returns the rate of first-choice calls of all priorities.
func (d *demand) totalOffered() (total float64) {
	for _, rate := range d.offered {
		total += rate
	}
	return total
}

// add adds the counts of a sample, scaled by a factor.
func (d *demand) add(s *serverSample, factor float64) {
	for priority, n := range s.offered {
		d.offered[priority] += factor * float64(n)
	}
	d.overflow += factor * float64(s.overflow)
	d.answered += factor * float64(s.answered)
}

// smooth applies exponential smoothing: it moves each rate towards the latest one by a share of the difference.
func (d *demand) smooth(latest *demand, share float64) {
	for priority := range d.offered {
		d.offered[priority] += share * (latest.offered[priority] - d.offered[priority])
	}
	d.overflow += share * (latest.overflow - d.overflow)
	d.answered += share * (latest.answered - d.answered)
}

// A reportedLoad is the load of a server according to the reports that have not expired.
type reportedLoad struct {
	demand
	waits []weightedValue // seconds
}

// add adds a sample from a report that spans the given seconds, scaled by the weight of its sender. A wait is weighted
// by the number of events that the sender reports for the server, so that members that report every server all the
// time do not outweigh those that use it.
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

// A serverAggregate is the load of a server across all members, and the rate at which it is sent calls.
type serverAggregate struct {
	key uint32
	demand
	wait           float64 // seconds: smoothed weighted median of the reported waits
	waitReports    int     // members that reported a wait
	peakThroughput float64 // answers per second: decaying maximum while the server was not overloaded
	capacity       float64 // answers per second: decaying maximum while it was overloaded
	admittedRate   float64 // set-ups per second; +Inf: not limited
	headroomSince  Time    // when the admitted rate began to exceed the demand; 0: it does not
	lastReportAt   Time
}

// isLimited reports whether the server's admitted rate is finite.
func (s *serverAggregate) isLimited() bool { return !math.IsInf(s.admittedRate, 1) }

// wantedRate returns the rate of all set-ups that members want to send to the server.
func (s *serverAggregate) wantedRate() float64 { return s.totalOffered() + s.overflow }

// aggregate updates the aggregates and their admitted rates from the reports that have not expired.
func (a *aggregator) aggregate(now Time) {
	elapsed := min((now - a.aggregatedAt).Seconds(), maxSmoothingSeconds)
	a.aggregatedAt = now
	reported := a.sumReports(now)
	a.addServers(reported, now)
	share := min(elapsed/smoothingSeconds, 1)
	for key, s := range a.servers {
		s.update(cmp.Or(reported[key], &reportedLoad{}), share)
		s.updateAdmittedRate(now, elapsed, a.latencyThreshold)
		if now-s.lastReportAt > aggregateRetention {
			delete(a.servers, key)
		}
	}
	a.prune()
}

// sumReports sums the unexpired reports by server.
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
					continue // bounds memory if reports name servers that do not exist
				}
				sum = &reportedLoad{}
				sums[s.key] = sum
			}
			sum.add(s, weights[i], r.seconds())
		}
	}
	return sums
}

// addServers adds an aggregate for each newly reported server.
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

// update smooths the latest load into the aggregate; share is the smoothing factor, between 0 and 1. The wait decays
// if no member reports one.
func (s *serverAggregate) update(latest *reportedLoad, share float64) {
	s.smooth(&latest.demand, share)
	s.waitReports = len(latest.waits)
	if s.waitReports > 0 {
		s.wait += max(share, minWaitSmoothing) * (weightedMedian(latest.waits) - s.wait)
	} else {
		s.wait -= share * s.wait
	}
}

// updateAdmittedRate sets the admitted rate. While calls wait too long it is the answered rate less what is needed to
// clear the backlog; afterwards it grows; the limit is removed once it has throttled no calls for headroomTime.
// elapsed and latencyThreshold are in seconds.
func (s *serverAggregate) updateAdmittedRate(now Time, elapsed, latencyThreshold float64) {
	maxTargetWait := waitTarget * latencyThreshold
	isUnresponsive := s.waitReports > 0 && s.answered < minAnswerRate
	isOverloaded := s.waitReports > 0 && s.wait > maxTargetWait && !isUnresponsive
	if !isOverloaded {
		s.peakThroughput = max(s.peakThroughput*(1-peakDecay*elapsed), s.answered)
	}
	switch {
	case isUnresponsive:
		// Each member relies on its own measurements here, which include lost connections. A minimal admitted rate
		// would stay in force after the outage.
		s.removeLimit()
		s.capacity, s.wait = 0, 0
	case isOverloaded:
		s.cutRate(elapsed, maxTargetWait, waitClearance*latencyThreshold)
	case s.isLimited():
		s.recoverRate(now, elapsed, maxTargetWait)
	}
}

// removeLimit lets all calls pass.
func (s *serverAggregate) removeLimit() {
	s.admittedRate = math.Inf(1)
	s.headroomSince = 0
}

// cutRate reduces the admitted rate of an overloaded server. The server is saturated, so its answered rate is its
// capacity.
func (s *serverAggregate) cutRate(elapsed, maxTargetWait, clearance float64) {
	s.capacity = max(s.capacity*(1-capacityDecay*elapsed), s.answered)
	share := max(1-(s.wait-maxTargetWait)/clearance, minAdmittedShare)
	s.admittedRate = max(s.answered*share, minAnswerRate)
	s.headroomSince = 0
}

// recoverRate raises the admitted rate after an overload: at once to nearly the capacity, then in proportion to the
// margin between the wait and its target. Growth depends on the demand as well as on the rate, so that several
// aggregators, each with a part of the members, converge to the same ratio of admitted to offered calls.
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

// prune drops the least busy servers above maxAggregates.
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
