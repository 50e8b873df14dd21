package cluster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"olivedale/internal/sim/scenario"
)

// scheduleStream is the stream of the random generator that schedules are drawn from.
const scheduleStream = 16

// DrawSchedule draws a schedule of count faults from a seed. All faults end within the first four fifths of length,
// so that the last fifth is free for recovery.
func DrawSchedule(t *Topology, count int, length time.Duration, seed uint64) *Schedule {
	d := &faultSampler{topology: t, length: length, rng: rand.New(rand.NewPCG(seed, scheduleStream))}
	s := &Schedule{Seed: seed}
	for range count {
		s.Faults = append(s.Faults, d.randomFault())
	}
	slices.SortFunc(s.Faults, func(a, b *Fault) int { return cmp.Compare(a.At, b.At) })
	return s
}

// A faultSampler draws faults. The number and the order of its draws decide which schedule a seed gives.
type faultSampler struct {
	topology *Topology
	length   time.Duration
	rng      *rand.Rand
	zone     string // a zone that was drawn for the current fault
}

// A drawFunc completes a fault that has its times.
type drawFunc func(d *faultSampler, f *Fault)

// drawFuncs are the kinds of faults to pick from; the random generator picks by index.
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

// peerDrawFuncs are the faults between controllers, which come after drawFuncs if there are such paths.
var peerDrawFuncs = []drawFunc{
	drawPeerLoss,
	drawPeerPartition,
	drawPeerReorder,
	drawPeerOneWayPartition,
	drawPeerDuplication,
	drawByzantinePeer,
}

// fault draws one fault.
func (d *faultSampler) randomFault() *Fault {
	f := &Fault{At: d.randomDuration(0, d.length*3/5), Duration: d.randomDuration(d.length/20, d.length/5)}
	d.zone = zoneName(d.rng.IntN(d.topology.Zones))
	draws := drawFuncs
	if d.topology.Share && d.topology.Controllers > 1 {
		draws = slices.Concat(drawFuncs, peerDrawFuncs)
	}
	draws[d.rng.IntN(len(draws))](d, f)
	return f
}

// between draws a duration, in whole milliseconds.
func (d *faultSampler) randomDuration(low, high time.Duration) scenario.Duration {
	drawn := low + time.Duration(d.rng.Float64()*float64(high-low))
	return scenario.Duration(drawn.Round(time.Millisecond))
}

// fraction draws a number from low up to low+width.
func (d *faultSampler) randomFraction(low, width float64) float64 { return low + width*d.rng.Float64() }

// one draws a part of a kind.
func (d *faultSampler) randomName(kind componentKind) []string {
	names := d.topology.namesOfKind(kind)
	return []string{names[d.rng.IntN(len(names))]}
}

// chance is true once in n draws.
func (d *faultSampler) oneIn(n int) bool { return d.rng.IntN(n) == 0 }
