package cluster

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// A Topology is the number of parts of each kind. Controllers are n0, n1 and so on, exchanges x0, agents a0, zones
// z0; "names" is discovery and "etcd" the store, of which there is one for all. Part i of a kind is in zone i modulo
// the number of zones, and a controller's agent is that of its zone.
type Topology struct {
	Controllers, Exchanges, Zones int
	// Share has the controllers take part in overload control, with a path between any two of them.
	Share bool `json:",omitempty"`
}

// componentKind is the kind of a part: the first letter of its name.
type componentKind byte

const (
	kindController componentKind = 'n'
	kindExchange   componentKind = 'x'
	kindAgent      componentKind = 'a'
	kindStore      componentKind = 'e'
)

// Names of the parts of which there is one.
const (
	discoveryName = "names"
	storeName     = "etcd"
)

// Bounds of what one machine can run.
const (
	maxControllers = 40
	maxExchanges   = 32
)

// Check returns why the topology cannot be run.
func (t *Topology) Check() error {
	switch {
	case t.Controllers < 1 || t.Controllers > maxControllers:
		return fmt.Errorf("cluster: %d controllers, 1 to %d can be run", t.Controllers, maxControllers)
	case t.Exchanges < 1 || t.Exchanges > maxExchanges:
		return fmt.Errorf("cluster: %d exchanges, 1 to %d can be run", t.Exchanges, maxExchanges)
	case t.Zones < 1 || t.Zones > t.Controllers:
		return fmt.Errorf("cluster: %d zones, 1 to %d (one agent a zone, a controller each)", t.Zones, t.Controllers)
	}
	return nil
}

// kindOf returns the kind of a part other than discovery.
func kindOf(name string) componentKind { return componentKind(name[0]) }

// zoneName returns the name of a zone.
func zoneName(zone int) string { return fmt.Sprint("z", zone) }

// zoneOf returns the zone of a part, or -1 for a part without a zone.
func (t *Topology) zoneOf(name string) int {
	i, err := strconv.Atoi(name[1:])
	if err != nil || !strings.Contains("nxa", name[:1]) {
		return -1
	}
	return i % t.Zones
}

// namesOfKind returns the names of the parts of a kind.
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

// allNames returns the names of all parts.
func (t *Topology) allNames() []string {
	return slices.Concat(
		t.namesOfKind(kindController),
		t.namesOfKind(kindExchange),
		t.namesOfKind(kindAgent),
		[]string{discoveryName, storeName},
	)
}

// Match returns the sorted names of the parts that the patterns name. A pattern is a name, a zone, "n*" for all parts
// of a kind, or "*" for all parts. A pattern that names nothing is an error.
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
			return nil, fmt.Errorf("%q names nothing here", pattern)
		}
	}
	if len(names) == 0 {
		return nil, errors.New("nothing is named")
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}

// matches reports whether a pattern names a part.
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

// hasPath reports whether there is a network path between any two parts of two groups.
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

// connects reports whether part a sends requests to part b.
func (t *Topology) connects(a, b string) bool {
	if a == discoveryName {
		return false
	}
	if b == discoveryName {
		return kindOf(a) == kindController
	}
	switch kindOf(a) {
	case kindController:
		isPeer := kindOf(b) == kindController && t.Share && a != b
		return isPeer || kindOf(b) == kindExchange
	case kindAgent:
		isOwnController := kindOf(b) == kindController && t.zoneOf(a) == t.zoneOf(b)
		return isOwnController || kindOf(b) == kindStore
	default:
		return false
	}
}
