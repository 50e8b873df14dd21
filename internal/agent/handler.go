package agent

import (
	"maps"
	"slices"
	"strings"

	"olivedale/internal/codec/h248"
)

// instancePrefix starts the names of terminations that represent instances.
const instancePrefix = "instance/"

// Handle executes an admin request: AuditValue of ROOT lists the instances, AuditValue of instance/NAME reports one
// instance, and a graceful ServiceChange of instance/NAME drains it.
func (a *Agent) Handle(c *h248.Command) ([]*h248.Node, *h248.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	name, isInstance := strings.CutPrefix(c.Termination, instancePrefix)
	if isInstance {
		return a.handleInstance(c, a.instances[name])
	}
	if !strings.EqualFold(c.Termination, "ROOT") {
		return nil, unknownTermination(c)
	}
	if c.Name != h248.CommandAuditValue {
		return nil, notImplemented(c)
	}
	return []*h248.Node{a.listNode()}, nil
}

// handleInstance executes a request for an instance; i is nil if there is no instance of that name. The caller holds
// a.mu.
func (a *Agent) handleInstance(c *h248.Command, i *instance) ([]*h248.Node, *h248.Error) {
	if i == nil {
		return nil, unknownTermination(c)
	}
	if c.Name == h248.CommandAuditValue {
		return []*h248.Node{i.node()}, nil
	}
	isGraceful := strings.EqualFold(h248.Value(c.Descriptors, h248.DescriptorServices, "Method"), "Graceful")
	if c.Name != h248.CommandServiceChange || !isGraceful {
		return nil, notImplemented(c)
	}
	if i.currentStatus().state != Invalid {
		a.requestDrain(i, "admin request")
	}
	return nil, nil
}

// listNode returns the node that reports all instances, sorted by name. The caller holds a.mu.
func (a *Agent) listNode() *h248.Node {
	statistics := &h248.Node{Name: h248.DescriptorStatistics}
	for _, name := range slices.Sorted(maps.Keys(a.instances)) {
		statistics.Children = append(statistics.Children, a.instances[name].node())
	}
	return statistics
}

func unknownTermination(c *h248.Command) *h248.Error {
	return &h248.Error{Code: h248.UnknownTermination, Text: c.Termination}
}

func notImplemented(c *h248.Command) *h248.Error {
	return &h248.Error{Code: h248.NotImplemented, Text: c.Name}
}
