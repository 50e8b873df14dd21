package console

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// instanceKey identifies an instance among those of all agents.
type instanceKey struct {
	agent string
	name  string
}

func (i *Instance) key() instanceKey { return instanceKey{agent: i.Agent, name: i.Name} }

// A rateCalculator computes the rates of a snapshot from the counts of the previous one.
type rateCalculator struct {
	previous map[instanceKey]Instance
}

// apply sets the rates of a snapshot and sorts its instances.
func (r *rateCalculator) apply(s *Snapshot) {
	next := make(map[instanceKey]Instance, len(s.Instances))
	for i := range s.Instances {
		instance := &s.Instances[i]
		next[instance.key()] = r.applyToInstance(instance)
	}
	r.previous = next
	slices.SortStableFunc(s.Instances, func(a, b Instance) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Agent, b.Agent))
	})
}

// applyToInstance sets the rates of an instance and returns the data with which the next snapshot is compared.
func (r *rateCalculator) applyToInstance(i *Instance) Instance {
	earlier, isKnown := r.previous[i.key()]
	elapsed := i.Seen.Sub(earlier.Seen)
	if isKnown && elapsed <= 0 { // no new data: the rates stay, and their age is shown
		i.Rates = earlier.Rates
		copy(i.Classes, earlier.Classes)
		copy(i.Servers, earlier.Servers)
		return earlier
	}
	isComparable := isKnown && !i.HasGap && earlier.Starts == i.Starts
	if !isComparable {
		i.clearRates()
		return *i
	}
	i.Rates = ratesBetween(earlier.Total, i.Total, elapsed)
	applyToClasses(i.Classes, earlier.Classes, elapsed)
	applyToServers(i.Servers, earlier.Servers, elapsed)
	return *i
}

func (i *Instance) clearRates() {
	i.Rates = unknownRates()
	for k := range i.Classes {
		i.Classes[k].Rates = unknownRates()
	}
	for k := range i.Servers {
		i.Servers[k].AttemptRate = math.NaN()
	}
}

// applyToClasses sets the rates of classes. A class without earlier counts started at 0.
func applyToClasses(classes, earlier []Class, elapsed time.Duration) {
	for i := range classes {
		class := &classes[i]
		var before Counts
		hasName := func(c Class) bool { return c.Name == class.Name }
		if k := slices.IndexFunc(earlier, hasName); k >= 0 {
			before = earlier[k].Counts
		}
		class.Rates = ratesBetween(before, class.Counts, elapsed)
	}
}

// applyToServers sets the rates of servers. A server without earlier counts started at 0.
func applyToServers(servers, earlier []Server, elapsed time.Duration) {
	for i := range servers {
		server := &servers[i]
		server.AttemptRate = math.NaN()
		before := uint64(0)
		hasName := func(s Server) bool { return s.Name == server.Name }
		if k := slices.IndexFunc(earlier, hasName); k >= 0 {
			before = earlier[k].Attempts
		}
		if server.Attempts >= before {
			server.AttemptRate = float64(server.Attempts-before) / elapsed.Seconds()
		}
	}
}
