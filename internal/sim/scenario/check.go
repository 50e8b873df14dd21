package scenario

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Limits of a scenario, so that a mistyped value does not cause a run of days.
const (
	maxControllers = 2000
	maxExchanges   = 5000
	maxLength      = 24 * time.Hour
	maxLoad        = 20
	// shareTolerance is how far the sum of the classes' shares may differ from 1.
	shareTolerance = 0.001
)

// Check returns an error that names the first key with an invalid value.
func (s *Scenario) Check() error {
	if s.Length.D() <= 0 || s.Length.D() > maxLength {
		return fmt.Errorf("length: %v is not between 0 and %v", s.Length.D(), maxLength)
	}
	if err := s.Fleet.check(); err != nil {
		return err
	}
	if s.Network.PeerLoss < 0 || s.Network.PeerLoss > 1 {
		return fmt.Errorf("wire.peer_lose: %v is not between 0 and 1", s.Network.PeerLoss)
	}
	if s.Exchange.Planned <= 0 || s.Exchange.Planned > 1 {
		return fmt.Errorf("exchange.planned: %v is not between 0 and 1", s.Exchange.Planned)
	}
	if err := s.Callers.check(); err != nil {
		return err
	}
	if err := checkClasses(s.Class); err != nil {
		return err
	}
	for i := range s.Fault {
		if err := s.Fault[i].check(); err != nil {
			return fmt.Errorf("fault %d (%s): %w", i+1, s.Fault[i].Kind, err)
		}
	}
	model := s.ExchangeSettings()
	return model.Check()
}

func (f *Fleet) check() error {
	switch {
	case f.Controllers < 1 || f.Controllers > maxControllers:
		return fmt.Errorf("fleet.controllers: %d is not between 1 and %d", f.Controllers, maxControllers)
	case f.Exchanges < 1 || f.Exchanges > maxExchanges:
		return fmt.Errorf("fleet.exchanges: %d is not between 1 and %d", f.Exchanges, maxExchanges)
	case f.Zones < 1 || f.Clients < 1:
		return errors.New("fleet: zones and clients must be at least 1")
	}
	isShare := f.ByzantineShare >= 0 && f.ByzantineShare <= 1
	isReportKnown := f.ByzantineReport == ReportNoOverload || f.ByzantineReport == ReportOverload
	if !isShare || f.ByzantineShare > 0 && !isReportKnown {
		return errors.New("fleet: liars must be between 0 and 1, lie must be \"well\" or \"pressed\"")
	}
	return nil
}

func (c *Callers) check() error {
	switch {
	case c.Load < 0 || c.Load > maxLoad:
		return fmt.Errorf("callers.load: %v is not between 0 and %d", c.Load, maxLoad)
	case !slices.Contains([]string{shapePoisson, shapeWave, shapeRamp}, c.Shape):
		return fmt.Errorf("callers.shape: %q is not one of poisson, wave, ramp", c.Shape)
	case c.Shape == shapeWave && (c.Swing < 0 || c.Swing > 1):
		return fmt.Errorf("callers.swing: %v is not between 0 and 1, as a wave requires", c.Swing)
	case c.AbandonShare < 0 || c.AbandonShare > 1:
		return fmt.Errorf("callers.leave: %v is not between 0 and 1", c.AbandonShare)
	case c.PreferredWeight < 0 || c.HotNumberShare < 0 || c.HotNumberShare > 1:
		return errors.New("callers: lean must not be negative, hot must be between 0 and 1")
	}
	return nil
}

func checkClasses(classes []Class) error {
	if len(classes) == 0 {
		return errors.New("class: at least one is required")
	}
	sum := 0.0
	for _, c := range classes {
		sum += c.Share
		if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.Holding <= 0 || c.Share < 0 {
			return fmt.Errorf("class %q: aim, give_up and holding must be positive, give_up at least aim", c.Name)
		}
	}
	if math.Abs(sum-1) > shareTolerance {
		return fmt.Errorf("class: the shares add up to %v, not 1", sum)
	}
	return nil
}

func (f *Fault) check() error {
	switch {
	case !slices.Contains(Kinds, f.Kind):
		return errors.New("kind is not one of " + strings.Join(Kinds, ", "))
	case f.At < 0 || f.For < 0:
		return errors.New("at and for must not be negative")
	case f.Share < 0 || f.Share > 1 || f.Keep < 0 || f.Keep > 1:
		return errors.New("share and keep must be between 0 and 1")
	case (f.Kind == Slow || f.Kind == Burst) && f.Factor <= 0:
		return errors.New("factor is missing or not positive")
	}
	return nil
}
