package backend

import (
	"errors"
	"net"
	"syscall"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/reachability"
)

// This file carries out what package reachability decides: it reports signs of life and failed connections to the
// exchange's detector, probes exchanges that are quiet while calls are established there, and ends calls that are over.

// isSuspect reports whether calls are established at an exchange that may have vanished.
func (c *Conn) isSuspect() bool {
	return c.reach.State() == reachability.Suspect && c.set.calls.EstablishedAt(c.id) > 0
}

// recordSign notes a sign of life.
func (c *Conn) recordSign() {
	now := c.set.loop.Now()
	previous, outage := c.reach.RecordActivity(now)
	if previous != reachability.Reachable {
		c.logReachable(previous, outage, now)
	}
}

func (c *Conn) logReachable(previous reachability.State, outage reachability.Outage, now time.Duration) {
	c.set.loop.Log.Infow("exchange_reachable", "id", c.id, "was", previous.String(), "outage", now-outage.Began,
		"probes_failed", outage.FailedProbes, "standing", c.set.calls.EstablishedAt(c.id))
}

// recordFailedConnection notes that a connection which was asked for at a time did not come up within its timeout.
func (c *Conn) recordFailedConnection(startedAt, timeout time.Duration, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		c.handleRefusal()
	case isOutage(err):
		now := c.set.loop.Now()
		if c.reach.RecordFailure(now, startedAt, timeout) {
			c.set.loop.Log.Warnw("exchange_suspect", "id", c.id, "silent", now-c.reach.Outage().Began,
				"connected", c.IsConnected(), "standing", c.set.calls.EstablishedAt(c.id), "err", err)
		}
	}
}

// handleRefusal ends the calls of a process that has died. If the connection broke and nobody listens any more, or if
// the machine could not be reached and nobody listens now, the process is dead and its calls with it. It will not
// release them, so the callers are notified from here.
func (c *Conn) handleRefusal() {
	now := c.set.loop.Now()
	outage := c.reach.Outage()
	previous := c.reach.State()
	hasReturned := c.reach.RecordRefusal(now)
	if hasReturned {
		c.logReachable(previous, outage, now)
	}
	if !hasReturned && !c.dialing.lostConnection {
		return
	}
	c.dialing.lostConnection = false
	c.dropCalls(lossRefused, now+1)
	c.Disconnect(call.ConnectionReset)
}

// isOutage reports whether an error of a dial shows that the exchange cannot be reached. Errors of this machine, such
// as a lack of descriptors, show nothing.
func isOutage(err error) bool {
	var netErr net.Error
	isTimeout := errors.As(err, &netErr) && netErr.Timeout()
	return isTimeout || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// checkReachability ends the calls of an exchange that has shown no life for too long, probes one that is quiet, and
// closes probes that have done their work.
func (c *Conn) checkReachability(now time.Duration) {
	c.expireProbes(now)
	if c.isRemoved || c.set.calls.EstablishedAt(c.id) == 0 {
		return
	}
	if c.reach.CheckLost(now) {
		c.set.Counters.ExchangesLost++
		c.loseCalls(lossUnreachable)
		c.Disconnect(call.Unresponsive)
		return
	}
	if c.reach.IsProbeDue(now) {
		c.startProbe(now)
	}
}
