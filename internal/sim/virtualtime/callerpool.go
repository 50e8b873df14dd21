package virtualtime

import (
	"math/rand/v2"
	"strconv"
	"time"

	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
)

const (
	arrivalWindow     = 100 * time.Millisecond // the peak call rate is computed once per window
	peakSamples       = 4                      // intervals of a window at whose ends the call rate is sampled
	numbersPerServer  = 200_000
	numberPrefix      = "5"
	popularNumber     = "5000" // dialed by the share HotNumberShare of the calls
	finalAnswerMargin = 5 * time.Second
)

// callerPool generates the callers and their calls. It is an open loop: calls arrive whether or not earlier ones are
// answered. Its random numbers come from a source of its own, so that runs with different decision modules see the
// same calls.
type callerPool struct {
	sim         *simulation
	rng         *rand.Rand // callerStream
	lastRequest int        // number of the request that was sent last
	requests    map[string]*request
	burstFactor float64 // multiplies the call rate
	popularPool int     // the pool that most calls prefer
	isClosed    bool    // no new calls and retries
}

// caller is the originator of one call. Its state covers all requests for this call.
type caller struct {
	class          *scenario.Class
	classIndex     int
	number         string
	preferredPool  int
	startedAt      Time
	requestCount   int
	patienceDraw   float64 // from 0 to 1, fixes the patience within the range of the scenario
	record         *result.Call
	homeController int
	isRedial       bool // an earlier call was established and dropped
}

func newCallerPool(s *simulation) *callerPool {
	p := &callerPool{
		sim:         s,
		rng:         rand.New(rand.NewPCG(s.seed, callerStream)),
		requests:    make(map[string]*request),
		burstFactor: 1,
	}
	p.startArrivalWindow()
	p.shiftPopularPool()
	return p
}

// maxCallDuration bounds the time from a call's first request to the end of its last one.
func (p *callerPool) maxCallDuration() time.Duration {
	var longest time.Duration
	for _, class := range p.sim.scenario.Class {
		longest = max(longest, class.Deadline.D())
	}
	return 2*longest + finalAnswerMargin
}

// rateAt returns the call rate at a time, in calls a second.
func (p *callerPool) rateAt(at Time) float64 {
	return p.sim.plannedRate * p.sim.scenario.Offered(at) * p.burstFactor
}

// burst multiplies the call rate while a fault lasts.
func (p *callerPool) burst(f scenario.Fault) {
	p.burstFactor *= f.Factor
	p.sim.afterFault(f, func() { p.burstFactor /= f.Factor })
}

// startArrivalWindow generates a Poisson process of changing rate by thinning: candidates arrive at the peak rate of
// the window, and each is accepted with the ratio of the rate at its time to the peak rate.
func (p *callerPool) startArrivalWindow() {
	peakRate := 0.0
	for d := time.Duration(0); d <= arrivalWindow; d += arrivalWindow / peakSamples {
		peakRate = max(peakRate, p.rateAt(p.sim.now+d))
	}
	p.scheduleCandidate(peakRate, p.sim.now+arrivalWindow)
}

// scheduleCandidate schedules the next candidate, or the next window if the candidate is not within this one.
func (p *callerPool) scheduleCandidate(peakRate float64, windowEnd Time) {
	if p.isClosed {
		return
	}
	gap := arrivalWindow
	if peakRate > 0 {
		gap = time.Duration(p.rng.ExpFloat64() / peakRate * float64(time.Second))
	}
	if p.sim.now+gap >= windowEnd {
		p.sim.queue.Push(windowEnd, p.startArrivalWindow)
		return
	}
	p.sim.after(gap, func() {
		isAccepted := p.rng.Float64()*peakRate < p.rateAt(p.sim.now)
		if isAccepted && !p.isClosed {
			p.startCall()
		}
		p.scheduleCandidate(peakRate, windowEnd)
	})
}

// shiftPopularPool draws the popular pool and schedules the next draw at a random interval.
func (p *callerPool) shiftPopularPool() {
	p.popularPool = p.rng.IntN(len(p.sim.exchangesByPool))
	interval := p.sim.scenario.Callers.PreferenceInterval
	if interval[1] <= 0 {
		return
	}
	p.sim.after(interval.Draw(p.rng), func() {
		if !p.isClosed {
			p.shiftPopularPool()
		}
	})
}

// startCall generates a caller and sends its first request.
func (p *callerPool) startCall() {
	sc := p.sim.scenario
	c := &caller{startedAt: p.sim.now, patienceDraw: p.rng.Float64()}
	c.classIndex = scenario.Pick(sc.Class, p.rng.Float64())
	c.class = &sc.Class[c.classIndex]
	c.number = numberPrefix + strconv.Itoa(p.rng.IntN(numbersPerServer*sc.Fleet.Exchanges))
	if p.rng.Float64() < sc.Callers.HotNumberShare {
		c.number = popularNumber
	}
	c.preferredPool = p.drawPool()
	c.homeController = p.drawController()
	p.sendFirstRequest(c)
}

// redial starts a new call for a caller whose established call was dropped.
func (p *callerPool) redial(dropped *caller) {
	c := &caller{
		class:          dropped.class,
		classIndex:     dropped.classIndex,
		number:         dropped.number,
		preferredPool:  dropped.preferredPool,
		startedAt:      p.sim.now,
		patienceDraw:   p.rng.Float64(),
		homeController: p.drawController(),
		isRedial:       true,
	}
	if !p.sim.scenario.Callers.RedialsAnywhere {
		c.homeController = dropped.homeController
	}
	p.sendFirstRequest(c)
}

func (p *callerPool) sendFirstRequest(c *caller) {
	c.record = p.sim.tally.Offered(p.sim.now, c.classIndex, c.homeController)
	p.sendRequest(c, c.homeController)
}

// drawPool draws a preferred pool: the popular pool has the weight PreferredWeight, each other pool has the weight 1.
func (p *callerPool) drawPool() int {
	popularWeight := p.sim.scenario.Callers.PreferredWeight
	pools := len(p.sim.exchangesByPool)
	x := p.rng.Float64() * (popularWeight + float64(pools-1))
	if x < popularWeight {
		return p.popularPool
	}
	pool := int(x - popularWeight)
	if pool >= p.popularPool {
		pool++
	}
	return min(pool, pools-1)
}

func (p *callerPool) drawController() int { return p.rng.IntN(len(p.sim.controllers)) }
