package virtualtime

import (
	"time"

	"olivedale/internal/call"
	"olivedale/internal/sim/invariant"
)

// frontend is the callers' side of a controller. It implements call.Frontend.
type frontend struct{ sim *simulation }

// NotifyRelease implements call.Frontend.
func (f *frontend) NotifyRelease(_ call.Client, id string, cause int) {
	s := f.sim
	s.after(s.scenario.Network.Client.D(), func() { s.callers.onReleased(id, cause) })
}

// clientConn is a connection of callers to a controller. It implements call.Client.
type clientConn struct{ controller *controller }

// CallEstablished implements call.Client.
func (cc *clientConn) CallEstablished(id string, _ []byte) {
	s := cc.controller.sim
	cc.controller.record(invariant.Event{Kind: invariant.CallEstablished, Call: id})
	s.after(s.scenario.Network.Client.D(), func() { s.callers.onEstablished(id) })
}

// CallRejected implements call.Client.
func (cc *clientConn) CallRejected(id string, cause int, retryAfter time.Duration) {
	s := cc.controller.sim
	cc.controller.record(invariant.Event{Kind: invariant.CallRejected, Call: id})
	s.after(s.scenario.Network.Client.D(), func() { s.callers.onRejected(id, cause, retryAfter) })
}

// CallWithdrawn implements call.Client.
func (*clientConn) CallWithdrawn(string) {}

// Frontend implements call.Client.
func (cc *clientConn) Frontend() call.Frontend { return cc.controller.frontend }
