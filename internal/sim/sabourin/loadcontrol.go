package sabourin

import "time"

// Parameters of the paper's counting procedure (section 4.2).
const (
	period        = 100 * time.Millisecond
	windowPeriods = 30 // 3 s
)

// loadControl estimates the load of the processor from the calls of a sliding window, at the end of each period,
// and rejects kinds of calls while the estimate exceeds their threshold.
type loadControl struct {
	thresholds   [urgent]float64 // by kind
	acceptedCost float64         // seconds
	rejectedCost float64         // seconds

	window    [windowPeriods]callCount // ring buffer
	current   int                      // index in the window of the current period
	periodEnd time.Duration
	admitted  kind // the first kind that is not rejected
}

// callCount counts the calls of a period.
type callCount struct{ offered, accepted float64 }

func newLoadControl(m Mix, rejectedCost time.Duration) *loadControl {
	return &loadControl{
		thresholds:   [urgent]float64{m.S1, m.S2},
		acceptedCost: acceptedCost.Seconds(),
		rejectedCost: rejectedCost.Seconds(),
		periodEnd:    period,
		admitted:     outgoing,
	}
}

// advance ends the periods that end by a time.
func (c *loadControl) advance(now time.Duration) {
	for ; c.periodEnd <= now; c.periodEnd += period {
		c.admitted = c.firstAdmitted(c.estimate())
		c.current = (c.current + 1) % windowPeriods
		c.window[c.current] = callCount{}
	}
}

// estimate returns the load of the window, as a share of the processor's capacity.
func (c *loadControl) estimate() float64 {
	var sum callCount
	for _, count := range c.window {
		sum.offered += count.offered
		sum.accepted += count.accepted
	}
	work := sum.offered*c.rejectedCost + sum.accepted*(c.acceptedCost-c.rejectedCost)
	return work / (windowPeriods * period.Seconds())
}

// firstAdmitted returns the first kind of calls that is accepted at a load.
func (c *loadControl) firstAdmitted(load float64) kind {
	switch {
	case load > c.thresholds[incoming]:
		return urgent
	case load > c.thresholds[outgoing]:
		return incoming
	default:
		return outgoing
	}
}

// admit counts a call and reports whether it is accepted.
func (c *loadControl) admit(k kind) bool {
	count := &c.window[c.current]
	count.offered++
	if k < c.admitted {
		return false
	}
	count.accepted++
	return true
}
