package sabourin

import "time"

// Parameters of the load measurement in the paper (section 4.2).
const (
	period        = 100 * time.Millisecond
	windowPeriods = 30 // 3 s
)

// loadControl estimates the processor load at the end of each period from the calls in a sliding window, and rejects
// the kinds of calls whose threshold the estimate exceeds.
type loadControl struct {
	thresholds   [urgent]float64 // by kind
	acceptedCost float64         // seconds
	rejectedCost float64         // seconds

	window    [windowPeriods]callCount // ring buffer
	current   int                      // index in the window of the current period
	periodEnd time.Duration
	admitted  kind // first kind that is not rejected
}

// callCount holds the numbers of calls in a period.
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

// advance processes the end of all periods up to now.
func (c *loadControl) advance(now time.Duration) {
	for ; c.periodEnd <= now; c.periodEnd += period {
		c.admitted = c.firstAdmitted(c.estimate())
		c.current = (c.current + 1) % windowPeriods
		c.window[c.current] = callCount{}
	}
}

// estimate returns the load over the window as a share of the processor capacity.
func (c *loadControl) estimate() float64 {
	var sum callCount
	for _, count := range c.window {
		sum.offered += count.offered
		sum.accepted += count.accepted
	}
	work := sum.offered*c.rejectedCost + sum.accepted*(c.acceptedCost-c.rejectedCost)
	return work / (windowPeriods * period.Seconds())
}

// firstAdmitted returns the first kind of call that is accepted at a load.
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
