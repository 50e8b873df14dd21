package result

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"olivedale/internal/sim/scenario"
)

// Bounds of the histogram of set-up times, in microseconds.
const (
	minSetUpTime = 10
	maxSetUpTime = 100_000_000
	// setUpTimeDigits is the precision of the histogram in significant decimal digits.
	setUpTimeDigits = 3
)

// worstWindow is the length in seconds of the window of Result.Worst.
const worstWindow = 10

// A Call is a call with all its redials. Only Tally changes its fields.
type Call struct {
	class      int
	controller int
	second     int // in which it was first offered
	earned     float64
}

// A Tally counts the events of a run and computes its Result. It is not safe for concurrent use.
type Tally struct {
	scenario    *scenario.Scenario
	seconds     []service // by the second in which calls were first offered
	controllers []service
	classes     []Class
	setUpTimes  *hdrhistogram.Histogram
	recoveries  []Recovery
	result      Result
	// outsidePreferredPool counts the calls established in another pool than the one that the caller preferred.
	outsidePreferredPool float64
}

// NewTally returns an empty tally for a run of the scenario.
func NewTally(sc *scenario.Scenario) *Tally {
	t := &Tally{
		scenario:    sc,
		controllers: make([]service, sc.Fleet.Controllers),
		setUpTimes:  hdrhistogram.New(minSetUpTime, maxSetUpTime, setUpTimeDigits),
	}
	for _, class := range sc.Class {
		t.classes = append(t.classes, Class{Name: class.Name})
	}
	return t
}

// secondOf returns the index in seconds of a time, and extends seconds up to it.
func (t *Tally) secondOf(at Time) int {
	i := int(at / time.Second)
	for len(t.seconds) <= i {
		t.seconds = append(t.seconds, service{})
	}
	return i
}

// Offered counts a new call of a class that is first offered to the given controller.
func (t *Tally) Offered(at Time, class, controller int) *Call {
	c := &Call{class: class, controller: controller, second: t.secondOf(at)}
	weight := t.scenario.Class[class].Weight
	t.result.Offered++
	t.classes[class].Offered++
	t.seconds[c.second].offered += weight
	t.controllers[controller].offered += weight
	return c
}

// Try counts an offer of a call to a controller, whether the first or a redial.
func (t *Tally) Try() { t.result.Tries++ }

// Datagram counts a datagram from one controller to another.
func (t *Tally) Datagram(bytes int) {
	t.result.Datagrams++
	t.result.DatagramBytes += bytes
}

// Sent counts an attempt: a set-up that a controller sends to an exchange.
func (t *Tally) Sent() { t.result.Attempts++ }

// Rejected counts a call as rejected or, if isRejected is false, as failed.
func (t *Tally) Rejected(isRejected bool) {
	if isRejected {
		t.result.Rejected++
	} else {
		t.result.Failed++
	}
}

// Abandoned counts an offer that the caller abandoned.
func (t *Tally) Abandoned() { t.result.Abandoned++ }

// Established counts an established call. setUpTime is the time since the caller first dialled;
// isOutsidePreferredPool says that the call is established in another pool than the preferred one.
func (t *Tally) Established(c *Call, setUpTime time.Duration, isOutsidePreferredPool bool) {
	class := &t.scenario.Class[c.class]
	t.result.Established++
	_ = t.setUpTimes.RecordValue(max(setUpTime.Microseconds(), 1))
	if isOutsidePreferredPool {
		t.outsidePreferredPool++
	}
	c.earned = class.Weight
	if setUpTime <= class.LatencyObjective.D() {
		t.classes[c.class].InTime++
	} else {
		c.earned *= class.LateShare
		t.classes[c.class].Late++
	}
	t.seconds[c.second].earned += c.earned
	t.controllers[c.controller].earned += c.earned
}

// Dropped counts an established call as dropped and takes back the weight that it earned.
func (t *Tally) Dropped(c *Call) {
	t.result.Dropped++
	t.classes[c.class].Dropped++
	t.seconds[c.second].earned -= c.earned
	t.controllers[c.controller].earned -= c.earned
	if c.earned == t.scenario.Class[c.class].Weight {
		t.classes[c.class].InTime--
	} else {
		t.classes[c.class].Late--
	}
	c.earned = 0
}

// Fault records a fault; the Result describes the recovery from it.
func (t *Tally) Fault(at Time, f scenario.Fault) {
	t.recoveries = append(t.recoveries, Recovery{Fault: f.String(), At: at.Seconds()})
}

// Result computes the result of a run of the given length. The tally must not be used afterwards.
func (t *Tally) Result(length Time) *Result {
	r := &t.result
	r.Length = length.Seconds()
	for _, s := range t.seconds {
		if s.offered > 0 {
			r.Seconds = append(r.Seconds, s.ratio())
		} else {
			r.Seconds = append(r.Seconds, noService)
		}
	}
	r.Service = sum(t.seconds).ratio()
	r.Worst = worst(t.seconds, worstWindow)
	t.computeClasses()
	if r.Established > 0 {
		r.NonPreferredShare = t.outsidePreferredPool / float64(r.Established)
	}
	r.Fairness = fairness(t.controllers)
	r.P50 = t.setUpQuantile(50)
	r.P95 = t.setUpQuantile(95)
	r.P99 = t.setUpQuantile(99)
	for i := range t.recoveries {
		t.recoveries[i].measure(t.seconds)
	}
	r.Recoveries = t.recoveries
	return r
}

// computeClasses computes the service of each class and the lowest of them.
func (t *Tally) computeClasses() {
	t.result.WorstClass = 1
	for i := range t.classes {
		class := &t.classes[i]
		earned := float64(class.InTime) + t.scenario.Class[i].LateShare*float64(class.Late)
		class.Service = service{offered: float64(class.Offered), earned: earned}.ratio()
		t.result.WorstClass = min(t.result.WorstClass, class.Service)
	}
	t.result.Classes = t.classes
}

// setUpQuantile returns a quantile of the set-up times in milliseconds.
func (t *Tally) setUpQuantile(percent float64) float64 {
	return float64(t.setUpTimes.ValueAtQuantile(percent)) / 1000
}
