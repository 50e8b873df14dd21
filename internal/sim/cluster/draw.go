package cluster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"olivedale/internal/sim/scenario"
)

// scheduleStream is the stream number of the random generator that schedules are drawn from.
const scheduleStream = 16

// DrawSchedule draws a schedule of count random faults from a seed. All faults end within the first four fifths of
// length, so that the last fifth is left for recovery.
func DrawSchedule(t *Topology, count int, length time.Duration, seed uint64) *Schedule {
	d := &faultSampler{topology: t, length: length, rng: rand.New(rand.NewPCG(seed, scheduleStream))}
	s := &Schedule{Seed: seed}
	for range count {
		s.Faults = append(s.Faults, d.randomFault())
	}
	slices.SortFunc(s.Faults, func(a, b *Fault) int { return cmp.Compare(a.At, b.At) })
	return s
}

// A faultSampler draws random faults. The number and order of its draws determine the schedule of a seed, so changing
// them changes the schedules of all seeds.
type faultSampler struct {
	topology *Topology
	length   time.Duration
	rng      *rand.Rand
	zone     string // drawn for the current fault
}

// A drawFunc sets the kind and the parameters of a fault whose times have been drawn.
type drawFunc func(d *faultSampler, f *Fault)

// drawFuncs has a function for each kind of fault to draw. One is picked by a random index: the order matters.
var drawFuncs = []drawFunc{
	drawZonePartition,
	drawOneWayToExchange,
	drawOneWayFromExchange,
	drawZoneDelay,
	drawExchangeReset,
	drawHalfOpenExchange,
	drawBandwidthLimit,
	drawDiscoveryLoss,
	drawDiscoveryReorder,
	drawDiscoveryPartition,
	drawAgentPartition,
	drawPause,
	drawKillOrTerminate,
	drawSlowdown,
	drawHang,
	drawCrashOrReplace,
	drawDroppedCalls,
	drawStoreFault,
	drawDiscoveryDuplication,
	drawDiskFull,
}

// peerDrawFuncs has functions for faults between controllers, which are appended to drawFuncs if there are such paths.
var peerDrawFuncs = []drawFunc{
	drawPeerLoss,
	drawPeerPartition,
	drawPeerReorder,
	drawPeerOneWayPartition,
	drawPeerDuplication,
	drawByzantinePeer,
}

// randomFault draws a fault.
func (d *faultSampler) randomFault() *Fault {
	f := &Fault{At: d.randomDuration(0, d.length*3/5), Duration: d.randomDuration(d.length/20, d.length/5)}
	d.zone = zoneName(d.rng.IntN(d.topology.Zones))
	draws := drawFuncs
	if d.topology.OverloadControl && d.topology.Controllers > 1 {
		draws = slices.Concat(drawFuncs, peerDrawFuncs)
	}
	draws[d.rng.IntN(len(draws))](d, f)
	return f
}

// randomDuration draws a duration between low and high, rounded to milliseconds.
func (d *faultSampler) randomDuration(low, high time.Duration) scenario.Duration {
	drawn := low + time.Duration(d.rng.Float64()*float64(high-low))
	return scenario.Duration(drawn.Round(time.Millisecond))
}

// randomFraction draws a number in [low, low+width).
func (d *faultSampler) randomFraction(low, width float64) float64 { return low + width*d.rng.Float64() }

// randomName draws a component of a kind and returns its name as the only element.
func (d *faultSampler) randomName(kind componentKind) []string {
	names := d.topology.namesOfKind(kind)
	return []string{names[d.rng.IntN(len(names))]}
}

// oneIn draws true with probability 1/n.
func (d *faultSampler) oneIn(n int) bool { return d.rng.IntN(n) == 0 }
