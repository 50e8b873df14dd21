package sabourin

import (
	"math/rand/v2"
	"time"

	"olivedale/internal/sim/exchange"
)

// acceptedCost is the processing time of an accepted call. All of it falls on the set-up.
const acceptedCost = 10 * time.Millisecond

// Settings of the emulated exchange that the paper does not state.
const (
	serviceTimeVariation = 0.3     // coefficient of variation
	unlimitedCircuits    = 1 << 30 // circuits are no bottleneck
	callDuration         = time.Millisecond
)

// warmUpDivisor is the part of a simulation, one in so many, that is left out of the measurement.
const warmUpDivisor = 5

// Run simulates a processor with the mix for a length of time and measures its load after a warm-up.
func (m Mix) Run(offered float64, length time.Duration, seed uint64) Load {
	s := newSimulation(m, seed)
	rate := offered / acceptedCost.Seconds()
	warmUp := length / warmUpDivisor
	for s.now < length {
		s.now += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
		s.control.advance(s.now)
		s.runProcessor()
		if s.now > warmUp && s.workAtStart == 0 {
			s.workAtStart = s.processor.Work
			s.acceptedAtStart = s.accepted
		}
		s.offer(s.drawKind())
	}
	measured := (s.now - warmUp).Seconds()
	return Load{
		Handled: float64(s.accepted-s.acceptedAtStart) * acceptedCost.Seconds() / measured,
		Total:   (s.processor.Work - s.workAtStart).Seconds() / measured,
	}
}

// simulation is the state of a Run.
type simulation struct {
	mix       Mix
	rng       *rand.Rand
	processor *exchange.Exchange
	control   *loadControl

	now      time.Duration
	offered  int // calls, of which each has its number
	accepted int

	// State at the end of the warm-up; workAtStart is zero until then.
	workAtStart     time.Duration
	acceptedAtStart int
}

func newSimulation(m Mix, seed uint64) *simulation {
	rejectedCost := time.Duration(m.Reject * float64(acceptedCost))
	settings := exchange.Settings{
		SetUp:           acceptedCost,
		Reject:          rejectedCost,
		Circuits:        unlimitedCircuits,
		WorkVariation:   serviceTimeVariation,
		MeanHoldingTime: map[string]time.Duration{"": callDuration},
	}
	return &simulation{
		mix:       m,
		rng:       rand.New(rand.NewPCG(seed, 2)),
		processor: exchange.New(settings, 0, false, rand.New(rand.NewPCG(seed, 1))),
		control:   newLoadControl(m, rejectedCost),
	}
}

// runProcessor has the exchange process its events up to now, and drops its answers.
func (s *simulation) runProcessor() {
	for due := s.processor.NextDeadline(); due <= s.now; due = s.processor.NextDeadline() {
		s.processor.Tick(due)
		s.processor.TakeMessages()
	}
}

// drawKind draws the kind of the next call by the shares of the mix.
func (s *simulation) drawKind() kind {
	k, draw := outgoing, s.rng.Float64()
	for k < urgent && draw >= s.mix.Share[k] {
		draw -= s.mix.Share[k]
		k++
	}
	return k
}

// offer sends a call to the processor if the control accepts its kind, and a rejection otherwise.
func (s *simulation) offer(k kind) {
	attempt := exchange.Attempt{Number: s.offered}
	s.offered++
	if !s.control.admit(k) {
		s.processor.RejectInvite(s.now, "", attempt)
		return
	}
	s.accepted++
	s.processor.Invite(s.now, "", attempt, "")
}
