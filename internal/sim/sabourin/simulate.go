package sabourin

import (
	"math/rand/v2"
	"time"

	"olivedale/internal/sim/exchange"
)

// acceptedCost is the processing time of an accepted call, all of which is spent on the set-up.
const acceptedCost = 10 * time.Millisecond

// Settings of the emulated exchange that the paper does not specify.
const (
	serviceTimeVariation = 0.3     // coefficient of variation
	unlimitedCircuits    = 1 << 30 // so that circuits are not a bottleneck
	callDuration         = time.Millisecond
)

// warmUpDivisor is the ratio of the length of a simulation to that of its warm-up, which is not measured.
const warmUpDivisor = 5

// Simulate simulates a processor with the mix for the given length of time and returns its load after the warm-up.
func (m Mix) Simulate(offered float64, length time.Duration, seed uint64) Load {
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
	offered  int // number of calls; also the attempt number of the next call
	accepted int

	// Values at the end of the warm-up; workAtStart is zero until then.
	workAtStart     time.Duration
	acceptedAtStart int
}

func newSimulation(m Mix, seed uint64) *simulation {
	rejectedCost := time.Duration(m.RejectCost * float64(acceptedCost))
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

// runProcessor processes the events of the exchange up to now and discards its answers.
func (s *simulation) runProcessor() {
	for due := s.processor.NextDeadline(); due <= s.now; due = s.processor.NextDeadline() {
		s.processor.Tick(due)
		s.processor.TakeMessages()
	}
}

// drawKind draws the kind of the next call according to the shares of the mix.
func (s *simulation) drawKind() kind {
	k, draw := outgoing, s.rng.Float64()
	for k < urgent && draw >= s.mix.Share[k] {
		draw -= s.mix.Share[k]
		k++
	}
	return k
}

// offer adds the work of a call to the processor, or of its rejection if the load control rejects its kind.
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
