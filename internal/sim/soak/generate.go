package soak

import "math/rand/v2"

// combinationDiscovery is the combination with faults of discovery.
const combinationDiscovery = "discovery"

// combinations are the kinds of plans of the acceptance test, in the order in which consecutive seeds select them.
var combinations = []struct {
	name     string
	generate func(d *generator)
}{
	{"shutdowns", (*generator).shutdowns},
	{combinationDiscovery, (*generator).discovery},
	{"bad clients", (*generator).badClients},
	{"network", (*generator).network},
	{"pieces", (*generator).pieces},
}

// planStream selects the stream of the random generator that plans are generated from.
const planStream = 41

// brokenReloadStream selects the stream that broken reloads are drawn from, apart from the other faults.
const brokenReloadStream = 42

// brokenReloadShare is the share of plans of the combination discovery that have a broken reload.
const brokenReloadShare = 0.5

// fullStream selects the stream that full exchanges are drawn from, apart from the other faults, and fullShare is the
// share of plans with one.
const (
	fullStream = 43
	fullShare  = 0.5
)

// surgeShare is the share of plans with a load surge.
const surgeShare = 0.4

// A generator generates one plan.
type generator struct {
	rng  *rand.Rand
	plan *Plan
}

// GeneratePlan generates the plan of a seed. Consecutive seeds select the combinations in turn.
func GeneratePlan(seed uint64) *Plan {
	d := &generator{rng: rand.New(rand.NewPCG(seed, planStream)), plan: &Plan{Seed: seed, CallTime: seconds(10)}}
	combination := combinations[seed%uint64(len(combinations))]
	d.plan.Combination = combination.name
	d.deployment()
	combination.generate(d)
	if combination.name == combinationDiscovery {
		drawn := &generator{rng: rand.New(rand.NewPCG(seed, brokenReloadStream)), plan: d.plan}
		drawn.brokenReload()
	}
	drawn := &generator{rng: rand.New(rand.NewPCG(seed, fullStream)), plan: d.plan}
	drawn.fullExchange()
	if d.rng.Float64() < surgeShare {
		d.add(FaultLoadSurge, d.randomBetween(1, 7), 0, d.randomBetween(0.5, 2))
	}
	return d.plan
}

func (d *generator) deployment() {
	deadlines := []float64{0.8, 1.2, 2, 3, 6, 9}
	memories := []int{32, 64, 192}
	sockets := []int{256, 512, 1024}
	d.plan.Deployment = Deployment{
		Controllers: 2 + d.rng.IntN(3),
		Exchanges:   3 + d.rng.IntN(4),
		Classes:     []string{"voice", "urgent"}[:1+d.rng.IntN(2)],
		Deadline:    seconds(deadlines[d.rng.IntN(len(deadlines))]),
		MeanHold:    seconds(d.randomBetween(2, 9)),
		Rate:        d.randomBetween(8, 25),
		MemoryMB:    memories[d.rng.IntN(len(memories))],
		Sockets:     sockets[d.rng.IntN(len(sockets))],
	}
	d.plan.Callers = CallerBehavior{SlowWriters: 0.03, EarlyAbandons: 0.03, ClosesAtOnce: 0.02}
}

// randomBetween returns a random number in a range.
func (d *generator) randomBetween(low, high float64) float64 { return low + d.rng.Float64()*(high-low) }

func (d *generator) add(kind FaultKind, at float64, target int, duration float64) {
	f := Fault{At: seconds(at), Kind: kind, Target: target, Duration: seconds(duration)}
	d.plan.Faults = append(d.plan.Faults, f)
}

func (d *generator) randomExchange() int   { return d.rng.IntN(d.plan.Deployment.Exchanges) }
func (d *generator) randomController() int { return d.rng.IntN(d.plan.Deployment.Controllers) }

// addExchangeFault adds a fault of one of the kinds at a random exchange.
func (d *generator) addExchangeFault(at float64, kinds ...FaultKind) {
	kind := kinds[d.rng.IntN(len(kinds))]
	duration := d.randomBetween(0.3, 6)
	switch kind {
	case FaultVanish:
		duration = 0
	case FaultLateConnections:
		duration = d.randomBetween(0.2, 1)
	case FaultReplace:
		duration = d.randomBetween(1, 4)
	default: // the duration stays
	}
	d.add(kind, at, d.randomExchange(), duration)
}

// shutdowns ends one controller after another while exchanges hang, are replaced or become unreachable.
func (d *generator) shutdowns() {
	at := d.randomBetween(1, 3)
	for i := range d.plan.Deployment.Controllers {
		kind := FaultTerminate
		if d.rng.IntN(3) == 0 {
			kind = FaultTerminateInReload
		}
		d.add(kind, at, i, 0)
		d.addExchangeFault(max(at+d.randomBetween(-1.5, 1), 0.2), FaultHang, FaultReplace, FaultPartition, FaultVanish)
		at += d.randomBetween(0.2, 3)
	}
}

// discovery makes discovery silent for seconds, with a drain close to the end of the silence, configuration reloads in
// quick succession, and exchanges that vanish meanwhile.
func (d *generator) discovery() {
	at := d.randomBetween(0.5, 2)
	silence := d.randomBetween(3, 8)
	d.add(FaultSilentDiscovery, at, 0, silence)
	d.add(FaultReplace, at+silence+d.randomBetween(-0.3, 0.1), d.randomExchange(), d.randomBetween(1, 3))
	d.add(FaultReload, d.randomBetween(1, 6), d.randomController(), 0)
	d.addExchangeFault(at+d.randomBetween(0, silence), FaultVanish)
	d.addExchangeFault(at+d.randomBetween(0, silence), FaultVanish, FaultPartition, FaultHang, FaultCrash)
	if d.rng.IntN(2) == 0 {
		d.add(FaultTerminateInReload, at+d.randomBetween(0, silence), d.randomController(), 0)
	}
}

// brokenReload lets a controller reload a broken configuration before an exchange drains. The drain lasts, and calls go
// on, until a controller that has missed it breaks its time limit.
func (d *generator) brokenReload() {
	if d.rng.Float64() >= brokenReloadShare {
		return
	}
	d.add(FaultBrokenReload, d.randomBetween(0.2, 0.8), d.randomController(), d.randomBetween(2.2, 3))
	const drainAt, drainTime = 3.5, 10.5
	d.add(FaultReplace, drainAt, d.randomExchange(), drainTime)
	d.plan.CallTime = seconds(drainAt + drainTime)
}

// fullExchange makes an exchange full for a time that may be too short or too long for its calls.
func (d *generator) fullExchange() {
	if d.rng.Float64() < fullShare {
		d.add(FaultFull, d.randomBetween(1, 7), d.randomExchange(), d.randomBetween(0.3, 9))
	}
}

// badClients adds bad clients, malformed answers and callers that abandon their calls early.
func (d *generator) badClients() {
	d.plan.Callers = CallerBehavior{SlowWriters: 0.1, EarlyAbandons: 0.25, ClosesAtOnce: 0.1, HasBadClients: true}
	for range 2 {
		d.add(FaultMalformedAnswers, d.randomBetween(0.5, 5), d.randomExchange(), d.randomBetween(1, 4))
	}
	d.addExchangeFault(d.randomBetween(1, 6), FaultReset, FaultHang, FaultVanish)
	d.add(FaultTerminate, d.randomBetween(2, 6), d.randomController(), 0)
}

// network adds partitions, exchanges that vanish or hang with calls in progress, resets and late connections.
func (d *generator) network() {
	d.addExchangeFault(d.randomBetween(0.5, 4), FaultPartition)
	d.addExchangeFault(d.randomBetween(0.5, 5), FaultVanish)
	for range 5 {
		d.addExchangeFault(d.randomBetween(0.5, 8), FaultHang, FaultReset, FaultReset, FaultLateConnections, FaultCrash)
	}
	if d.rng.IntN(2) == 0 {
		d.add(FaultSilentDiscovery, d.randomBetween(0.5, 3), 0, d.randomBetween(2, 7))
	}
}

// pieces adds messages in chunks, slow writers, and input that arrives while a connection is being closed.
func (d *generator) pieces() {
	d.plan.Callers = CallerBehavior{SlowWriters: 0.5, EarlyAbandons: 0.1, ClosesAtOnce: 0.2}
	for range 4 {
		d.addExchangeFault(d.randomBetween(0.5, 8), FaultReset, FaultMalformedAnswers, FaultLateConnections)
	}
	d.addExchangeFault(d.randomBetween(1, 6), FaultVanish, FaultPartition)
	d.add(FaultTerminate, d.randomBetween(2, 6), d.randomController(), 0)
	d.add(FaultKill, d.randomBetween(2, 7), d.randomController(), 0)
}
