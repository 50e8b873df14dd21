package cluster

import (
	"slices"
	"time"
)

// Patterns that match all components of a kind.
const (
	allControllers = "n*"
	allExchanges   = "x*"
)

// Names of partitions in schedules and results.
const (
	partitionZone      = "zone"
	partitionDiscovery = "directory"
	partitionAgent     = "agent"
	partitionHalf      = "half"
)

// drawZonePartition partitions the controllers of a zone from the exchanges of all other zones, or from all exchanges
// if the other zones have none.
func drawZonePartition(d *faultSampler, f *Fault) {
	f.Kind = FaultPartition
	f.Name = partitionZone
	f.From = []string{d.zone}
	for _, exchange := range d.topology.namesOfKind(kindExchange) {
		if zoneName(d.topology.zoneOf(exchange)) != d.zone {
			f.To = append(f.To, exchange)
		}
	}
	if len(f.To) == 0 {
		f.To = []string{allExchanges}
	}
}

func drawOneWayToExchange(d *faultSampler, f *Fault) {
	f.Kind = FaultOneWayPartition
	f.From = d.randomName(kindController)
	f.To = d.randomName(kindExchange)
}

func drawOneWayFromExchange(d *faultSampler, f *Fault) {
	f.Kind = FaultOneWayPartition
	f.From = d.randomName(kindExchange)
	f.To = []string{allControllers}
}

func drawZoneDelay(d *faultSampler, f *Fault) {
	f.Kind = FaultDelay
	f.From = []string{d.zone}
	f.To = []string{allExchanges}
	f.Latency = d.randomDuration(10*time.Millisecond, 400*time.Millisecond)
	f.Jitter = d.randomDuration(0, 50*time.Millisecond)
}

func drawExchangeReset(d *faultSampler, f *Fault) {
	f.Kind = FaultConnectionReset
	f.From = d.randomName(kindExchange)
	f.To = []string{allControllers}
	f.Duration = 0
}

func drawHalfOpenExchange(d *faultSampler, f *Fault) {
	f.Kind = FaultHalfOpen
	f.From = []string{allControllers}
	f.To = d.randomName(kindExchange)
}

func drawBandwidthLimit(d *faultSampler, f *Fault) {
	f.Kind = FaultBandwidthLimit
	f.From = d.randomName(kindController)
	f.To = []string{allExchanges}
	f.BytesPerSecond = 2000 + d.rng.IntN(20_000)
}

func drawDiscoveryLoss(d *faultSampler, f *Fault) {
	f.Kind = FaultDatagramLoss
	f.From = []string{allControllers}
	f.To = []string{discoveryName}
	f.Fraction = d.randomFraction(0.2, 0.7)
}

func drawDiscoveryReorder(d *faultSampler, f *Fault) {
	f.Kind = FaultReorder
	f.From = []string{allControllers}
	f.To = []string{discoveryName}
	f.Jitter = d.randomDuration(200*time.Millisecond, time.Second)
}

func drawDiscoveryPartition(d *faultSampler, f *Fault) {
	f.Kind = FaultPartition
	f.Name = partitionDiscovery
	f.From = []string{d.zone}
	f.To = []string{discoveryName}
}

// drawAgentPartition partitions an agent from the store, or from the controllers of its zone.
func drawAgentPartition(d *faultSampler, f *Fault) {
	f.Kind = FaultPartition
	f.Name = partitionAgent
	f.From = d.randomName(kindAgent)
	f.To = []string{storeName}
	if d.oneIn(2) {
		f.To = []string{zoneName(d.topology.zoneOf(f.From[0]))}
	}
}

func drawPause(d *faultSampler, f *Fault) {
	f.Kind = FaultPause
	f.From = d.randomName(kindController)
}

func drawKillOrTerminate(d *faultSampler, f *Fault) {
	f.Kind = FaultKill
	f.From = d.randomName(kindController)
	f.Duration = 0
	if d.oneIn(4) {
		f.Kind = FaultTerminate
	}
}

func drawSlowdown(d *faultSampler, f *Fault) {
	f.Kind = FaultSlowdown
	f.From = d.randomName(kindExchange)
	f.Factor = d.randomFraction(2, 4)
}

func drawHang(d *faultSampler, f *Fault) {
	f.Kind = FaultHang
	f.From = d.randomName(kindExchange)
}

func drawCrashOrReplace(d *faultSampler, f *Fault) {
	f.Kind = FaultCrash
	f.From = d.randomName(kindExchange)
	if d.oneIn(2) {
		f.Kind = FaultReplace
		f.Duration = d.randomDuration(2500*time.Millisecond, 4*time.Second)
	}
}

func drawDroppedCalls(d *faultSampler, f *Fault) {
	f.Kind = FaultDropCalls
	f.From = d.randomName(kindExchange)
	f.Fraction = d.randomFraction(0.2, 0.5)
	f.Duration = 0
}

func drawStoreFault(d *faultSampler, f *Fault) {
	f.Kind = storeFaults[d.rng.IntN(len(storeFaults))]
	f.From = []string{storeName}
	if slices.Contains(instantFaults, f.Kind) {
		f.Duration = 0
	}
}

func drawDiscoveryDuplication(d *faultSampler, f *Fault) {
	f.Kind = FaultDatagramDuplication
	f.From = []string{allControllers}
	f.To = []string{discoveryName}
	f.Fraction = d.randomFraction(0.3, 0.6)
}

func drawDiskFull(d *faultSampler, f *Fault) {
	f.Kind = FaultDiskFull
	f.From = d.randomName(kindController)
}

func drawPeerLoss(_ *faultSampler, f *Fault) {
	f.Kind = FaultDatagramLoss
	f.From = []string{allControllers}
	f.To = []string{allControllers}
	f.Fraction = 0.3
}

// drawPeerPartition partitions the controllers with even numbers from those with odd numbers.
func drawPeerPartition(d *faultSampler, f *Fault) {
	f.Kind = FaultPartition
	f.Name = partitionHalf
	for i, name := range d.topology.namesOfKind(kindController) {
		if i%2 == 0 {
			f.From = append(f.From, name)
		} else {
			f.To = append(f.To, name)
		}
	}
}

func drawPeerReorder(d *faultSampler, f *Fault) {
	f.Kind = FaultReorder
	f.From = []string{allControllers}
	f.To = []string{allControllers}
	f.Jitter = d.randomDuration(200*time.Millisecond, 2*time.Second)
}

func drawPeerOneWayPartition(d *faultSampler, f *Fault) {
	f.Kind = FaultOneWayPartition
	f.From = d.randomName(kindController)
	f.To = []string{allControllers}
}

func drawPeerDuplication(_ *faultSampler, f *Fault) {
	f.Kind = FaultDatagramDuplication
	f.From = []string{allControllers}
	f.To = []string{allControllers}
	f.Fraction = 0.5
}

func drawByzantinePeer(d *faultSampler, f *Fault) {
	f.Kind = FaultByzantinePeer
	f.From = d.randomName(kindController)
	f.Fraction = float64(d.rng.IntN(2))
}
