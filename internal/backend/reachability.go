package backend

import (
	"errors"
	"net"
	"syscall"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/reachability"
)

// This file connects package reachability to the connections: it reports signs of life and failed connections to the
// exchange's detector, probes silent exchanges that have established calls, and ends the calls at lost exchanges.

// isSuspect reports whether the exchange may be unreachable while calls are established there.
func (c *Conn) isSuspect() bool {
	return c.detector.State() == reachability.Suspect && c.set.calls.EstablishedAt(c.id) > 0
}

// recordSignOfLife records a sign of life from the exchange.
func (c *Conn) recordSignOfLife() {
	now := c.set.loop.Now()
	previous, outage := c.detector.RecordActivity(now)
	if previous != reachability.Reachable {
		c.logReachable(previous, outage, now)
	}
}

func (c *Conn) logReachable(previous reachability.State, outage reachability.Outage, now time.Duration) {
	c.set.loop.Log.Infow("exchange_reachable", "id", c.id, "was", previous.String(), "outage", now-outage.Began,
		"probes_failed", outage.FailedProbes, "standing", c.set.calls.EstablishedAt(c.id))
}

// recordFailedConnection records that a connection attempt started at startedAt failed or timed out.
func (c *Conn) recordFailedConnection(startedAt, timeout time.Duration, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		c.handleRefusal()
	case isOutage(err):
		now := c.set.loop.Now()
		if c.detector.RecordFailure(now, startedAt, timeout) {
			c.set.loop.Log.Warnw("exchange_suspect", "id", c.id, "silent", now-c.detector.Outage().Began,
				"connected", c.IsConnected(), "standing", c.set.calls.EstablishedAt(c.id), "err", err)
		}
	}
}

// handleRefusal handles a refused connection. If the connection was lost before, or if the machine was unreachable
// before, nothing listening there now means that the exchange's process has died and its calls with it. The process
// cannot release them, so the callers are notified from here.
func (c *Conn) handleRefusal() {
	now := c.set.loop.Now()
	outage := c.detector.Outage()
	previous := c.detector.State()
	processEnded := c.detector.RecordRefusal(now)
	if processEnded {
		c.logReachable(previous, outage, now)
	}
	if !processEnded && !c.dialing.lostConnection {
		return
	}
	c.dialing.lostConnection = false
	c.endCallsBefore(lossRefused, now+1)
	c.Disconnect(call.ConnectionReset)
}

// isOutage reports whether a dial error shows that the exchange cannot be reached. Local errors, such as running out of
// file descriptors, say nothing about the exchange.
func isOutage(err error) bool {
	var netErr net.Error
	isTimeout := errors.As(err, &netErr) && netErr.Timeout()
	return isTimeout || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// checkReachability ends the calls of an exchange that has been silent for too long, probes a silent exchange and
// closes finished probes.
func (c *Conn) checkReachability(now time.Duration) {
	c.expireProbes(now)
	if c.isRemoved || c.set.calls.EstablishedAt(c.id) == 0 {
		return
	}
	if c.detector.CheckLost(now) {
		c.set.Counters.ExchangesLost++
		c.endAllCalls(lossUnreachable)
		c.Disconnect(call.Unresponsive)
		return
	}
	if c.detector.IsProbeDue(now) {
		c.startProbe(now)
	}
}
