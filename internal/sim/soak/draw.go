package soak

import "math/rand/v2"

// combinations are the kinds of trials that acceptance plays, in the order in which seeds draw them.
var combinations = []struct {
	name string
	draw func(d *drawer)
}{
	{"shutdowns", (*drawer).shutdowns},
	{"discovery", (*drawer).discovery},
	{"bad clients", (*drawer).badClients},
	{"network", (*drawer).network},
	{"pieces", (*drawer).pieces},
}

// storyStream is the stream of the random generator that draws stories.
const storyStream = 41

// crowdShare is the share of stories with a crowd.
const crowdShare = 0.4

// A drawer draws one story.
type drawer struct {
	rng   *rand.Rand
	story *Story
}

// DrawStory draws the story of a seed. Seeds that follow each other draw the combinations in turn.
func DrawStory(seed uint64) *Story {
	d := &drawer{rng: rand.New(rand.NewPCG(seed, storyStream)), story: &Story{Seed: seed, CallTime: seconds(10)}}
	combination := combinations[seed%uint64(len(combinations))]
	d.story.Combination = combination.name
	d.deployment()
	combination.draw(d)
	if d.rng.Float64() < crowdShare {
		d.add(FaultCrowd, d.between(1, 7), 0, d.between(0.5, 2))
	}
	return d.story
}

func (d *drawer) deployment() {
	deadlines := []float64{0.8, 1.2, 2, 3, 6, 9}
	memories := []int{32, 64, 192}
	sockets := []int{256, 512, 1024}
	d.story.Deployment = Deployment{
		Controllers: 2 + d.rng.IntN(3),
		Exchanges:   3 + d.rng.IntN(4),
		Classes:     []string{"voice", "urgent"}[:1+d.rng.IntN(2)],
		Deadline:    seconds(deadlines[d.rng.IntN(len(deadlines))]),
		MeanHold:    seconds(d.between(2, 9)),
		Rate:        d.between(8, 25),
		MemoryMB:    memories[d.rng.IntN(len(memories))],
		Sockets:     sockets[d.rng.IntN(len(sockets))],
	}
	d.story.Callers = CallerHabits{SlowWriters: 0.03, EarlyLeavers: 0.03, ClosesAtOnce: 0.02}
}

// between draws a number.
func (d *drawer) between(low, high float64) float64 { return low + d.rng.Float64()*(high-low) }

func (d *drawer) add(kind FaultKind, at float64, target int, duration float64) {
	f := Fault{At: seconds(at), Kind: kind, Target: target, Duration: seconds(duration)}
	d.story.Faults = append(d.story.Faults, f)
}

func (d *drawer) anyExchange() int   { return d.rng.IntN(d.story.Deployment.Exchanges) }
func (d *drawer) anyController() int { return d.rng.IntN(d.story.Deployment.Controllers) }

// addExchangeFault adds one of the kinds at an exchange.
func (d *drawer) addExchangeFault(at float64, kinds ...FaultKind) {
	kind := kinds[d.rng.IntN(len(kinds))]
	duration := d.between(0.3, 6)
	switch kind {
	case FaultVanish:
		duration = 0
	case FaultLateConnections:
		duration = d.between(0.2, 1)
	case FaultReplace:
		duration = d.between(1, 4)
	default: // as drawn
	}
	d.add(kind, at, d.anyExchange(), duration)
}

// shutdowns: one controller after another ends, while servers hang, are replaced or fall silent.
func (d *drawer) shutdowns() {
	at := d.between(1, 3)
	for i := range d.story.Deployment.Controllers {
		kind := FaultTerminate
		if d.rng.IntN(3) == 0 {
			kind = FaultTerminateInReload
		}
		d.add(kind, at, i, 0)
		d.addExchangeFault(max(at+d.between(-1.5, 1), 0.2), FaultHang, FaultReplace, FaultPartition, FaultVanish)
		at += d.between(0.2, 3)
	}
}

// discovery: silent for seconds, with drains close to its return, new configurations in quick succession, and servers
// that vanish meanwhile.
func (d *drawer) discovery() {
	at := d.between(0.5, 2)
	silence := d.between(3, 8)
	d.add(FaultSilentDiscovery, at, 0, silence)
	d.add(FaultReplace, at+silence+d.between(-0.3, 0.1), d.anyExchange(), d.between(1, 3))
	d.add(FaultReload, d.between(1, 6), d.anyController(), 0)
	d.addExchangeFault(at+d.between(0, silence), FaultVanish)
	d.addExchangeFault(at+d.between(0, silence), FaultVanish, FaultPartition, FaultHang, FaultCrash)
	if d.rng.IntN(2) == 0 {
		d.add(FaultTerminateInReload, at+d.between(0, silence), d.anyController(), 0)
	}
}

// badClients: bad clients and spoilt answers, clients that give up early.
func (d *drawer) badClients() {
	d.story.Callers = CallerHabits{SlowWriters: 0.1, EarlyLeavers: 0.25, ClosesAtOnce: 0.1, AreBad: true}
	for range 2 {
		d.add(FaultSpoil, d.between(0.5, 5), d.anyExchange(), d.between(1, 4))
	}
	d.addExchangeFault(d.between(1, 6), FaultReset, FaultHang, FaultVanish)
	d.add(FaultTerminate, d.between(2, 6), d.anyController(), 0)
}

// network: partitions, servers that vanish or hang in the middle of their work, resets, late connections.
func (d *drawer) network() {
	d.addExchangeFault(d.between(0.5, 4), FaultPartition)
	d.addExchangeFault(d.between(0.5, 5), FaultVanish)
	for range 5 {
		d.addExchangeFault(d.between(0.5, 8), FaultHang, FaultReset, FaultReset, FaultLateConnections, FaultCrash)
	}
	if d.rng.IntN(2) == 0 {
		d.add(FaultSilentDiscovery, d.between(0.5, 3), 0, d.between(2, 7))
	}
}

// pieces: messages in pieces, slow writers, and bytes that arrive as a connection is closed.
func (d *drawer) pieces() {
	d.story.Callers = CallerHabits{SlowWriters: 0.5, EarlyLeavers: 0.1, ClosesAtOnce: 0.2}
	for range 4 {
		d.addExchangeFault(d.between(0.5, 8), FaultReset, FaultSpoil, FaultLateConnections)
	}
	d.addExchangeFault(d.between(1, 6), FaultVanish, FaultPartition)
	d.add(FaultTerminate, d.between(2, 6), d.anyController(), 0)
	d.add(FaultKill, d.between(2, 7), d.anyController(), 0)
}
