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

// worstWindow is the length in seconds of the period that Result.Worst looks for.
const worstWindow = 10

// A Call is one call of a caller with all its redials. The Tally owns its fields.
type Call struct {
	class      int
	controller int
	second     int // of the first offer
	earned     float64
}

// A Tally counts the events of a run and computes its Result. It is not safe for concurrent use.
type Tally struct {
	scenario    *scenario.Scenario
	seconds     []service // by the second in which a call was offered first
	controllers []service
	classes     []Class
	setUpTimes  *hdrhistogram.Histogram
	recoveries  []Recovery
	result      Result
	// outsidePreferredPool counts established calls outside of the pool that the caller preferred.
	outsidePreferredPool float64
}

// NewTally returns a tally for a run of the scenario.
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

// secondOf returns the index of the second of a time, and has the tally hold that second.
func (t *Tally) secondOf(at Time) int {
	i := int(at / time.Second)
	for len(t.seconds) <= i {
		t.seconds = append(t.seconds, service{})
	}
	return i
}

// Offered counts a new call of a class, whose first offer goes to a controller.
func (t *Tally) Offered(at Time, class, controller int) *Call {
	c := &Call{class: class, controller: controller, second: t.secondOf(at)}
	weight := t.scenario.Class[class].Weight
	t.result.Offered++
	t.classes[class].Offered++
	t.seconds[c.second].offered += weight
	t.controllers[controller].offered += weight
	return c
}

// Try counts an offer of a call to a controller, the first one or a redial.
func (t *Tally) Try() { t.result.Tries++ }

// Datagram counts a datagram of a controller to another.
func (t *Tally) Datagram(bytes int) {
	t.result.Datagrams++
	t.result.DatagramBytes += bytes
}

// Sent counts an attempt: a set-up that a controller sent to an exchange.
func (t *Tally) Sent() { t.result.Sends++ }

// Rejected counts a final answer that a call was rejected, or that it failed.
func (t *Tally) Rejected(isRejected bool) {
	if isRejected {
		t.result.Rejected++
	} else {
		t.result.Failed++
	}
}

// Abandoned counts an offer that its caller abandoned.
func (t *Tally) Abandoned() { t.result.Abandoned++ }

// Established counts an established call with the time since its caller dialled first. isOutsidePreferredPool says
// that it is established in another pool than the preferred one.
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

// Dropped counts an established call as dropped: it loses what it has earned.
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

// Fault notes a fault, whose recovery the Result describes.
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
		r.Second = t.outsidePreferredPool / float64(r.Established)
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

// computeClasses sets the service of each class and that of the worst.
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
