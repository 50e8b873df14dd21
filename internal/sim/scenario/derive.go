package scenario

import (
	"math"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/sim/exchange"
)

// Controller settings that are the same in all scenarios.
const (
	controllerTopology    = "pools"
	controllerMaxAttempts = 4
	controllerRetryGuard  = 300 * time.Millisecond
)

// slowStartWindow is the window in which the set-ups to an exchange in slow start are counted for SlowStartFailure.
const slowStartWindow = time.Second

// minPeriod is the minimum period of a wave in seconds; it prevents a division by zero.
const minPeriod = 0.001

// ExchangeSettings returns the settings of the emulated exchanges.
func (s *Scenario) ExchangeSettings() exchange.Settings {
	e := &s.Exchange
	m := exchange.Settings{
		SetUp:                  e.SetUp.D(),
		Answer:                 e.Answer.D(),
		Release:                e.Release.D(),
		Reject:                 e.Reject.D(),
		Retransmission:         e.Repeat.D(),
		WorkVariation:          e.Variation,
		MaxQueueingDelay:       e.RejectDelay.D(),
		RetransmissionInterval: e.RetransmitInterval.D(),
		MeanRingTime:           e.Ring.D(),
		Circuits:               e.Circuits,
		SlowStartShare:         e.SlowStartShare,
		SlowStartPeriod:        e.SlowStartPeriod.D(),
		CrashFactor:            e.SlowStartFailure,
		CrashWindow:            slowStartWindow,
		MeanHoldingTime:        make(map[string]time.Duration),
	}
	for _, c := range s.Class {
		m.MeanHoldingTime[c.Name] = c.Holding.D()
	}
	return m
}

// Settings returns the settings of each controller.
func (s *Scenario) Settings() admission.Settings {
	settings := admission.Settings{
		ControllerCount: s.Fleet.Controllers,
		Topology:        controllerTopology,
		MaxAttempts:     controllerMaxAttempts,
		CanCancel:       true,
		ResendInterval:  s.Exchange.RetransmitInterval.D(),
		RetryGuard:      controllerRetryGuard,
		SlowStartPeriod: s.Exchange.SlowStartPeriod.D(),
		SlowStartShare:  s.Exchange.SlowStartShare,
	}
	for _, c := range s.Class {
		settings.Classes = append(settings.Classes, admission.Class{
			Name:             c.Name,
			LatencyObjective: c.LatencyObjective.D(),
			Deadline:         c.Deadline.D(),
			Weight:           c.Weight,
			LateWeightFactor: c.LateShare,
		})
	}
	return settings
}

// Rate returns the planned load of all exchanges together in calls per second.
func (s *Scenario) Rate() float64 {
	m := s.ExchangeSettings()
	return s.Exchange.Planned * m.Capacity() * float64(s.Fleet.Exchanges)
}

// Offered returns the load that is offered at a time of the run, as a multiple of the planned load and without the
// effect of faults.
func (s *Scenario) Offered(at time.Duration) float64 {
	c := &s.Callers
	switch c.Shape {
	case shapeWave:
		return c.Load * (1 + c.Swing*math.Sin(2*math.Pi*at.Seconds()/max(c.Period.D().Seconds(), minPeriod)))
	case shapeRamp:
		progress := min(at.Seconds()/s.Length.D().Seconds(), 1)
		return c.Load * (1 + (c.Swing-1)*progress)
	}
	return c.Load
}
