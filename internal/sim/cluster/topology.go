package cluster

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// A Topology gives the number of components of each kind. Controllers are named n0, n1 and so on, exchanges x0, x1,
// agents a0, a1 and zones z0, z1. "names" is discovery and "etcd" is the store; there is one of each. Component i of a
// kind is in zone i modulo the number of zones. The agent of a zone runs the controllers of the zone.
type Topology struct {
	Controllers, Exchanges, Zones int
	// OverloadControl enables overload control between the controllers, with a network path between any two of them.
	OverloadControl bool `json:"Share,omitempty"`
}

// componentKind is the kind of a component: the first letter of its name.
type componentKind byte

const (
	kindController componentKind = 'n'
	kindExchange   componentKind = 'x'
	kindAgent      componentKind = 'a'
	kindStore      componentKind = 'e'
)

// Names of the components of which there is only one.
const (
	discoveryName = "names"
	storeName     = "etcd"
)

// Limits of what one machine can run.
const (
	maxControllers = 40
	maxExchanges   = 32
)

// Check returns an error if the topology cannot be run.
func (t *Topology) Check() error {
	switch {
	case t.Controllers < 1 || t.Controllers > maxControllers:
		return fmt.Errorf("cluster: %d controllers, must be 1 to %d", t.Controllers, maxControllers)
	case t.Exchanges < 1 || t.Exchanges > maxExchanges:
		return fmt.Errorf("cluster: %d exchanges, must be 1 to %d", t.Exchanges, maxExchanges)
	case t.Zones < 1 || t.Zones > t.Controllers:
		return fmt.Errorf("cluster: %d zones, must be 1 to %d (each with a controller)", t.Zones, t.Controllers)
	}
	return nil
}

// kindOf returns the kind of a component other than discovery.
func kindOf(name string) componentKind { return componentKind(name[0]) }

// zoneName returns the name of the zone with the given number.
func zoneName(zone int) string { return fmt.Sprint("z", zone) }

// zoneOf returns the number of a component's zone, or -1 for a component without a zone.
func (t *Topology) zoneOf(name string) int {
	i, err := strconv.Atoi(name[1:])
	if err != nil || !strings.Contains("nxa", name[:1]) {
		return -1
	}
	return i % t.Zones
}

// namesOfKind returns the names of all components of a kind.
func (t *Topology) namesOfKind(kind componentKind) []string {
	count := 0
	switch kind {
	case kindController:
		count = t.Controllers
	case kindExchange:
		count = t.Exchanges
	case kindAgent:
		count = t.Zones
	case kindStore:
		return []string{storeName}
	}
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("%c%d", kind, i))
	}
	return names
}

// allNames returns the names of all components.
func (t *Topology) allNames() []string {
	return slices.Concat(
		t.namesOfKind(kindController),
		t.namesOfKind(kindExchange),
		t.namesOfKind(kindAgent),
		[]string{discoveryName, storeName},
	)
}

// Match returns the sorted names of the components that match any of the patterns. A pattern is the name of a component
// or a zone, "n*" for all components of a kind (here controllers), or "*" for all components. A pattern without a match
// is an error.
func (t *Topology) Match(patterns []string) ([]string, error) {
	all := t.allNames()
	var names []string
	for _, pattern := range patterns {
		count := len(names)
		for _, name := range all {
			if t.matches(pattern, name) {
				names = append(names, name)
			}
		}
		if len(names) == count {
			return nil, fmt.Errorf("%q matches no component", pattern)
		}
	}
	if len(names) == 0 {
		return nil, errors.New("no pattern is given")
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}

// matches reports whether a pattern matches a component.
func (t *Topology) matches(pattern, name string) bool {
	switch {
	case pattern == name, pattern == "*":
		return true
	case strings.HasPrefix(pattern, "z"):
		return pattern == zoneName(t.zoneOf(name))
	case len(pattern) == 2 && pattern[1] == '*':
		return name[0] == pattern[0] && t.zoneOf(name) >= 0
	}
	return false
}

// hasPath reports whether there is a network path between a component of one group and a component of the other.
func (t *Topology) hasPath(from, to []string) bool {
	for _, a := range from {
		for _, b := range to {
			if t.connects(a, b) || t.connects(b, a) {
				return true
			}
		}
	}
	return false
}

// connects reports whether component a sends requests to component b.
func (t *Topology) connects(a, b string) bool {
	if a == discoveryName {
		return false
	}
	if b == discoveryName {
		return kindOf(a) == kindController
	}
	switch kindOf(a) {
	case kindController:
		isPeer := kindOf(b) == kindController && t.OverloadControl && a != b
		return isPeer || kindOf(b) == kindExchange
	case kindAgent:
		isOwnController := kindOf(b) == kindController && t.zoneOf(a) == t.zoneOf(b)
		return isOwnController || kindOf(b) == kindStore
	default:
		return false
	}
}
