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

// isSuspect reports whether the exchange may be unreachable, or have restarted, while calls are established there.
func (c *Conn) isSuspect() bool {
	mayBeOver := c.detector.State() == reachability.Suspect || c.restart.IsSuspect()
	return mayBeOver && c.set.calls.EstablishedAt(c.id) > 0
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

// handleRefusal handles a refused connection. If the connection was lost before, the exchange's process may have ended
// and its calls with it. If the machine was unreachable before, that is taken for granted: the calls may be over for as
// long as the outage lasted, so nothing is left to wait for.
func (c *Conn) handleRefusal() {
	now := c.set.loop.Now()
	outage := c.detector.Outage()
	previous := c.detector.State()
	wasUnreachable := c.detector.RecordRefusal(now)
	switch {
	case wasUnreachable:
		c.logReachable(previous, outage, now)
		c.endCallsOnBothSides(lossRefused, now+1)
		c.Disconnect(call.ConnectionReset)
	case c.dialing.lostAt > 0:
		c.suspectRestart(c.dialing.lostAt)
	}
}

// suspectRestart records that the exchange's process may have ended at lostAt.
func (c *Conn) suspectRestart(lostAt time.Duration) {
	standing := c.set.calls.EstablishedAt(c.id)
	if c.restart.RecordRefusal(lostAt) && standing > 0 {
		silent := c.set.loop.Now() - lostAt
		c.set.loop.Log.Warnw("exchange_restart_suspect", "id", c.id, "silent", silent, "standing", standing)
	}
}

// recordRelease records that the exchange has released a call. If the call is from before its process was suspected to
// have ended, the process is the same and the other calls continue.
func (c *Conn) recordRelease(callID string) {
	establishedAt, ok := c.set.calls.EstablishedSince(c.id, callID)
	if ok && c.restart.RecordRelease(establishedAt) {
		c.set.loop.Log.Infow("exchange_restart_excluded", "id", c.id, "standing", c.set.calls.EstablishedAt(c.id))
	}
}

// checkRestart ends the calls at a process that counts as ended.
func (c *Conn) checkRestart(now time.Duration) {
	before, hasEnded := c.restart.CheckEnded(now)
	if hasEnded {
		c.endCallsOnBothSides(lossRefused, before)
		c.protocol.forgetProcess() // if it is another one
	}
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
	c.checkRestart(now)
	if c.isRemoved || c.set.calls.EstablishedAt(c.id) == 0 {
		return
	}
	if c.detector.CheckLost(now) {
		c.set.Counters.ExchangesLost++
		c.endCallsOnBothSides(lossUnreachable, now+1)
		c.Disconnect(call.Unresponsive)
		return
	}
	if c.detector.IsProbeDue(now) {
		c.startProbe(now)
	}
}
