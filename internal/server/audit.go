package server

import (
	"strconv"

	"olivedale/internal/adminapi"
	"olivedale/internal/codec/h248"
	"olivedale/internal/frontend/gateway"
)

// An administrator implements the management requests that gateways and operators send to the server over H.248.
type administrator struct{ server *Server }

var _ gateway.Administrator = (*administrator)(nil)

// BeginShutdown implements gateway.Administrator.
func (a *administrator) BeginShutdown() { a.server.beginShutdown() }

// RecordClock implements gateway.Administrator.
func (a *administrator) RecordClock(peer string, stamps [4]int64) {
	a.server.recorder.recordClockStamps(peer, stamps)
}

// HandleNumberingCommand implements gateway.Administrator. The reply carries the job of the command; its result is
// reported by a later audit.
func (a *administrator) HandleNumberingCommand(c *h248.Command) ([]*h248.Node, *h248.Error) {
	router := a.server.numbering
	if router == nil {
		return nil, &h248.Error{Code: h248.UnknownTermination, Text: "no section [numbers]"}
	}
	order, err := adminapi.ParseNumberingCommand(c)
	if err == nil {
		err = router.beginCommand(order, nil)
	}
	if err != nil {
		return nil, &h248.Error{Code: h248.UnsupportedValue, Text: err.Error()}
	}
	return adminapi.NumberingNodes(nil, router.versions.Job()), nil
}

// AuditNumbering implements gateway.Administrator.
func (a *administrator) AuditNumbering() (nodes []*h248.Node, ok bool) {
	router := a.server.numbering
	if router == nil {
		return nil, false
	}
	return adminapi.NumberingNodes(router.versions.List(), router.versions.Job()), true
}

// AuditOverload implements gateway.Administrator.
func (a *administrator) AuditOverload() (nodes []*h248.Node, ok bool) {
	control := a.server.overload
	if control == nil {
		return nil, false
	}
	return adminapi.OverloadNodes(control.member.State(a.server.loop.Now())), true
}

// Audit implements gateway.Administrator. Classes and exchanges are reported on the admin address only, because
// gateways must not learn where calls are routed.
func (a *administrator) Audit(isAdmin bool) []*h248.Node {
	s := a.server
	serviceState := "InService"
	if s.lifecycle.state != stateRunning {
		serviceState = "OutOfService"
	}
	stats := &h248.Node{Name: "Statistics", Children: s.auditCounters()}
	if s.metrics != nil && isAdmin {
		stats.Children = append(stats.Children, s.metrics.audit()...)
		stats.Children = append(stats.Children, s.numbering.audit()...)
		stats.Children = append(stats.Children, s.overload.audit()...)
	}
	termination := &h248.Node{
		Name:     "TerminationState",
		Children: []*h248.Node{{Name: "ServiceStates", Value: serviceState}},
	}
	return []*h248.Node{{Name: "Media", Children: []*h248.Node{termination}}, stats}
}

// auditCounters returns the call and record counters as H.248 statistics.
func (s *Server) auditCounters() (nodes []*h248.Node) {
	add := func(name string, value int) {
		nodes = append(nodes, &h248.Node{Name: "oc/" + name, Value: strconv.Itoa(value)})
	}
	c := &s.calls.Counters
	add("requests", c.Requests)
	add("stood", c.Established)
	add("refused", c.Rejected)
	add("failed", c.Failed)
	add("givenup", c.Abandoned)
	add("attempts", c.Attempts)
	add("open", s.calls.OpenCalls())
	add("standing", s.calls.EstablishedCalls())
	add("malformed", s.malformed.count)
	if s.recorder != nil {
		add("recorded", int(s.recorder.log.Written()))
		add("recordslost", int(s.recorder.log.Lost()))
	}
	return nodes
}
