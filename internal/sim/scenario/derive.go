package scenario

import (
	"math"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/sim/exchange"
)

// Settings of every simulated controller that no scenario changes.
const (
	controllerTopology    = "pools"
	controllerMaxAttempts = 4
	controllerRetryGuard  = 300 * time.Millisecond
)

// slowStartWindow is the window over which an exchange in slow start counts the set-ups that make it fail.
const slowStartWindow = time.Second

// minPeriod bounds the period of a wave from below, in seconds.
const minPeriod = 0.001

// Model returns the settings of the exchange emulator.
func (s *Scenario) Model() exchange.Settings {
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

// Settings returns the settings that the platform gives to each controller.
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

// Rate returns the planned load of all exchanges in calls a second.
func (s *Scenario) Rate() float64 {
	m := s.Model()
	return s.Exchange.Planned * m.Capacity() * float64(s.Fleet.Exchanges)
}

// Offered returns the offered load at a time of the run as a share of the planned load, without the effect of
// faults.
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
