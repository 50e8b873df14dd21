package overload

import (
	"cmp"
	"slices"
)

// maxThrottle is the highest throttle that an aggregator sets, of 255. It is below 255 so that no server is cut off
// entirely.
const maxThrottle = 250

// Parameters of the headroom for overflow of a server without a limit, as shares of its peak throughput: the throughput
// that the server is assumed to reach, and the lower bound of the headroom.
const (
	peakMargin  = 1.05
	minHeadroom = 0.05
)

// An allocation is the distribution of a server's admitted rate across the priorities.
type allocation struct {
	server   *serverAggregate
	limit    serverLimit
	headroom float64 // set-ups per second that are left for overflow
}

// A throttlePlan is the distribution of all admitted rates.
type throttlePlan struct {
	allocations []allocation
	throttled   float64 // calls per second that are throttled at their first choice
}

// serverLimits returns the limits of the servers with a finite admitted rate, the most throttled first, as a message
// may not have room for all.
func (a *aggregator) serverLimits() []serverLimit {
	var plan throttlePlan
	for _, s := range a.sortedServers() {
		plan.add(s)
	}
	limits := plan.limits()
	slices.SortStableFunc(limits, func(x, y serverLimit) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(y.throttle, x.throttle))
	})
	return limits
}

// add allocates a server's admitted rate.
func (p *throttlePlan) add(s *serverAggregate) {
	a := allocation{
		server: s,
		limit:  serverLimit{key: s.key, wait: min(unitsOfSeconds(s.wait), maxWait)},
	}
	if s.isLimited() {
		a.headroom = s.admittedRate
		p.admitByPriority(&a)
	} else {
		// The difference between peak and present throughput is free for overflow. The margin above the peak probes
		// whether the server can take more.
		a.headroom = max(peakMargin*s.peakThroughput-s.answered, minHeadroom*s.peakThroughput)
	}
	p.allocations = append(p.allocations, a)
}

// admitByPriority allocates the rate to the highest priorities first. The highest one is never throttled.
func (p *throttlePlan) admitByPriority(a *allocation) {
	for priority := priorityCount - 1; priority >= 0; priority-- {
		offered := a.server.offered[priority]
		admitted := min(offered, a.headroom)
		a.headroom -= admitted
		if priority == priorityCount-1 || admitted >= offered {
			continue
		}
		p.throttled += offered - admitted
		isHighestThrottled := a.limit.throttle == 0
		if isHighestThrottled {
			a.limit.priority = priority
			a.limit.throttle = throttleByte(1 - admitted/offered)
		}
	}
}

// limits returns the limits of the servers with a finite admitted rate.
func (p *throttlePlan) limits() []serverLimit {
	var limits []serverLimit
	for _, a := range p.allocations {
		if !a.server.isLimited() {
			continue
		}
		// A throttled call tries all servers in turn. Overflow must not exceed the headroom, as even a small
		// probability of admission at each server without headroom would add up.
		admitted := 1.0
		if p.throttled > 0 {
			admitted = min(a.headroom/p.throttled, 1)
		}
		a.limit.overflowThrottle = roundToInt((1 - admitted) * maxShare)
		limits = append(limits, a.limit)
	}
	return limits
}

// throttleByte converts a share to its encoding as a throttle in a message.
func throttleByte(share float64) int { return min(roundToInt(share*maxShare), maxThrottle) }
