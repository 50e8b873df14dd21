package backend

import (
	"time"

	"olivedale/internal/call"
)

// A lossReason is the reason why calls established at an exchange ended without a release by the exchange. Its values
// appear in logs.
type lossReason string

const (
	lossRemoved      lossReason = "removed"        // the discovery service no longer lists the exchange
	lossRestarted    lossReason = "restarted"      // the discovery service lists a later start time
	lossRefused      lossReason = "refused"        // refused after a lost connection or an outage, and no release since
	lossUnreachable  lossReason = "unreachable"    // no sign of life for reachability.MaxSilence
	lossAddressTaken lossReason = "address_taken"  // another exchange uses the address
	lossOutOfService lossReason = "out_of_service" // reported by the exchange itself
	lossReset        lossReason = "reset"          // the exchange reported a restart
)

// maxLoggedCalls is the maximum number of call ids in one log line.
const maxLoggedCalls = 8

// disconnectLogInterval is the minimum time between log lines about lost connections to one exchange.
const disconnectLogInterval = time.Second

// logDisconnect logs why the connection ended, at most once per disconnectLogInterval.
func (c *Conn) logDisconnect(reason call.AttemptEnd) {
	now := c.set.loop.Now()
	if c.disconnectLoggedAt > 0 && now-c.disconnectLoggedAt < disconnectLogInterval {
		return
	}
	c.disconnectLoggedAt = now
	c.set.loop.Log.Infow("link_lost", "id", c.id, "reason", reason.String(), "waiting", len(c.openAttempts),
		"standing", c.set.calls.EstablishedAt(c.id), "silent", now-c.activity.receivedAt)
}

// endCallsBefore ends the calls that were established before the given time. It is known that the process of the
// exchange that held them has ended since.
func (c *Conn) endCallsBefore(reason lossReason, before time.Duration) {
	c.logLoss(reason, c.set.calls.BackendRestarted(c.id, before))
}

// endCallsOnBothSides ends the calls that were established before the given time and also releases them at the
// exchange, because its process may still be running.
func (c *Conn) endCallsOnBothSides(reason lossReason, before time.Duration) {
	c.logLoss(reason, c.set.calls.BackendLost(c.id, before))
}

// logLoss counts and logs calls that ended without a release by the exchange.
func (c *Conn) logLoss(reason lossReason, calls []string) {
	if len(calls) == 0 {
		return
	}
	c.set.Counters.CallsLost += len(calls)
	c.set.loop.Log.Warnw("calls_lost", "id", c.id, "reason", reason, "count", len(calls),
		"calls", calls[:min(len(calls), maxLoggedCalls)], "connected", c.IsConnected(),
		"silent", c.set.loop.Now()-c.activity.receivedAt)
}
