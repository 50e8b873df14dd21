package gateway

import (
	"strings"

	"olivedale/internal/adminapi"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
)

// rootTermination is the name of the termination that stands for the controller itself. It is not case-sensitive.
const rootTermination = "ROOT"

func isRoot(termination string) bool { return strings.EqualFold(termination, rootTermination) }

// runActions executes commands that complete immediately and returns the actions of the reply.
func (g *Gateway) runActions(messageID string, actions []*h248.Action) []*h248.Action {
	return transaction.RunActions(actions, func(a *h248.Action, c *h248.Command) (*h248.Command, *h248.Error) {
		return g.runCommand(messageID, a, c)
	})
}

func (g *Gateway) runCommand(messageID string, a *h248.Action, c *h248.Command) (*h248.Command, *h248.Error) {
	reply := &h248.Command{Name: c.Name, Termination: c.Termination}
	var err *h248.Error
	switch c.Name {
	case "Subtract":
		err = g.frontend.runRelease(messageID, a, c, call.CauseNormal)
	case "Notify":
		cause, ok := transaction.ParseReleaseEvent(c)
		if !ok {
			return nil, &h248.Error{Code: h248.UnsupportedValue, Text: "no release is told"}
		}
		err = g.frontend.runRelease(messageID, a, c, cause)
	case "ServiceChange":
		err = g.changeService(messageID, c)
	case "Modify":
		reply.Descriptors, err = g.modify(c)
	case "AuditValue":
		reply.Descriptors, err = g.audit(c)
	default:
		err = &h248.Error{Code: h248.NotImplemented, Text: c.Name}
	}
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// changeService handles a state change of a gateway, or a request of the agent to shut down.
func (g *Gateway) changeService(messageID string, c *h248.Command) *h248.Error {
	f := g.frontend
	method := h248.Value(c.Descriptors, "Services", "Method")
	switch {
	case method == "":
		return &h248.Error{Code: h248.SyntaxInCommand, Text: "no method"}
	case g.isAdmin && strings.EqualFold(method, "Graceful"):
		f.host.Loop.Defer(f.admin.BeginShutdown)
	case strings.EqualFold(method, "Restart"), strings.EqualFold(method, "Forced"):
		f.releaseAllCalls(messageID)
	}
	return nil
}

// modify handles a command on the number table, or a clock exchange.
func (g *Gateway) modify(c *h248.Command) ([]*h248.Node, *h248.Error) {
	if g.isAdmin && c.Termination == adminapi.NumberingTermination {
		return g.frontend.admin.HandleNumberingCommand(c)
	}
	return g.exchangeClocks(c)
}

// exchangeClocks replies with this controller's time and records the timestamps of the agent's previous exchange. It is
// available on the admin address only, because other clients could forge records.
func (g *Gateway) exchangeClocks(c *h248.Command) ([]*h248.Node, *h248.Error) {
	loop := g.frontend.host.Loop
	receivedAt := loop.Now()
	if !g.isAdmin || !isRoot(c.Termination) {
		return nil, &h248.Error{Code: h248.NotImplemented, Text: "Modify of " + c.Termination}
	}
	peer, last, err := adminapi.ParseClock(c)
	if err != nil {
		return nil, &h248.Error{Code: h248.UnsupportedValue, Text: err.Error()}
	}
	isComplete := last[0] != 0 && last[3] != 0
	if peer != "" && isComplete {
		g.frontend.admin.RecordClock(peer, last)
	}
	stamps := adminapi.ClockStamps{1: int64(receivedAt), 2: int64(loop.Now())}
	return adminapi.ClockCommand("", stamps).Descriptors, nil
}

// audit returns the state of the controller or, on the admin address, of its number table or overload control.
func (g *Gateway) audit(c *h248.Command) ([]*h248.Node, *h248.Error) {
	admin := g.frontend.admin
	if g.isAdmin && c.Termination == adminapi.NumberingTermination {
		if nodes, ok := admin.AuditNumbering(); ok {
			return nodes, nil
		}
	}
	if g.isAdmin && c.Termination == adminapi.OverloadTermination {
		if nodes, ok := admin.AuditOverload(); ok {
			return nodes, nil
		}
	}
	if !isRoot(c.Termination) {
		return nil, &h248.Error{Code: h248.UnknownTermination, Text: "only ROOT can be audited"}
	}
	return admin.Audit(g.isAdmin), nil
}
