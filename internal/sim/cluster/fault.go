package cluster

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"olivedale/internal/sim/scenario"
)

// A Fault is one step of a schedule. Its times count from the moment when all controllers serve and calls begin, so
// that a schedule means the same on a slow machine.
type Fault struct {
	At       scenario.Duration `toml:"at" json:"at"`
	Duration scenario.Duration `toml:"for" json:"for,omitempty"`
	Kind     FaultKind         `toml:"kind" json:"kind"`
	// Name describes in results what a partition separates: a zone, the directory, an agent or half of the controllers.
	Name string `toml:"name,omitempty" json:"name,omitempty"`
	// From and To are patterns as in Topology.Match. To is used by faults of network paths only.
	From    []string          `toml:"from" json:"from"`
	To      []string          `toml:"to,omitempty" json:"to,omitempty"`
	Latency scenario.Duration `toml:"by,omitempty" json:"by,omitempty"`
	Jitter  scenario.Duration `toml:"spread,omitempty" json:"spread,omitempty"`
	// Fraction is the fraction of datagrams or calls that the fault affects, from 0 to 1.
	Fraction       float64 `toml:"share,omitempty" json:"share,omitempty"`
	Factor         float64 `toml:"factor,omitempty" json:"factor,omitempty"`
	BytesPerSecond int     `toml:"rate,omitempty" json:"rate,omitempty"`
}

// String implements fmt.Stringer.
func (f *Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v %s", f.At.D(), f.Kind)
	if f.Name != "" {
		fmt.Fprintf(&b, " (%s)", f.Name)
	}
	fmt.Fprintf(&b, " %s", strings.Join(f.From, ","))
	if len(f.To) > 0 {
		fmt.Fprintf(&b, " - %s", strings.Join(f.To, ","))
	}
	if f.Duration > 0 {
		fmt.Fprintf(&b, " for %v", f.Duration.D())
	}
	return b.String()
}

// check returns an error if the fault cannot be injected into a topology.
func (f *Fault) check(t *Topology) error {
	from, err := t.Match(f.From)
	if err != nil {
		return fmt.Errorf("from: %w", err)
	}
	if err := f.checkParameters(t); err != nil {
		return err
	}
	if f.Kind.isOnPath() {
		return f.checkPath(t, from)
	}
	for _, name := range from {
		if !slices.Contains(faultsOf(name), f.Kind) {
			return fmt.Errorf("%s does not support the fault %s", name, f.Kind)
		}
	}
	return nil
}

// checkParameters returns an error if the kind is unknown, or a parameter is missing or out of range.
func (f *Fault) checkParameters(t *Topology) error {
	if _, ok := faultKeys[f.Kind]; !ok {
		return fmt.Errorf("kind must be one of %s", allFaultKeys())
	}
	hasNegative := f.At < 0 || f.Duration < 0 || f.Latency < 0 || f.Jitter < 0 || f.BytesPerSecond < 0
	switch {
	case hasNegative:
		return errors.New("times and rate must not be negative")
	case f.Fraction < 0 || f.Fraction > 1:
		return errors.New("share must be between 0 and 1")
	case f.Kind.needsFraction() && f.Fraction == 0:
		return errors.New("share is missing")
	case f.Kind == FaultBandwidthLimit && f.BytesPerSecond == 0:
		return errors.New("rate is missing")
	case f.Kind == FaultSlowdown && f.Factor <= 0:
		return errors.New("factor is missing")
	case f.Duration == 0 && !f.Kind.isInstant():
		return errors.New("for is missing: the fault needs a duration")
	case f.Kind == FaultByzantinePeer && !t.OverloadControl:
		return errors.New("overload control between the controllers is off")
	}
	return nil
}

// checkPath returns an error if the topology has no network path for the fault.
func (f *Fault) checkPath(t *Topology, from []string) error {
	to, err := t.Match(f.To)
	if err != nil {
		return fmt.Errorf("to: %w", err)
	}
	if !t.hasPath(from, to) {
		return fmt.Errorf("no network path between %s and %s", strings.Join(f.From, ","), strings.Join(f.To, ","))
	}
	return nil
}

// faultsOf returns the kinds of faults that can be injected into a component, as opposed to its network paths.
func faultsOf(name string) []FaultKind {
	if name == discoveryName {
		return nil
	}
	switch kindOf(name) {
	case kindStore:
		return storeFaults
	case kindExchange:
		return exchangeFaults
	case kindAgent:
		return agentFaults
	default:
		return controllerFaults
	}
}
