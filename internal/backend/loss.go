package backend

import (
	"time"

	"olivedale/internal/call"
)

// A lossReason says why the calls established at an exchange are over although it has released none. Its values appear
// in logs.
type lossReason string

const (
	lossRemoved      lossReason = "removed"        // discovery does not list the exchange any more
	lossRestarted    lossReason = "restarted"      // discovery lists a later start
	lossRefused      lossReason = "refused"        // the connection broke, or the machine was away: nobody listens now
	lossUnreachable  lossReason = "unreachable"    // no sign of life for reachability.MaxSilence
	lossAddressTaken lossReason = "address_taken"  // another exchange listens at the address
	lossOutOfService lossReason = "out_of_service" // the exchange says so itself
	lossReset        lossReason = "reset"          // the exchange says that it has started
)

// maxLoggedCalls bounds the ids of one log line.
const maxLoggedCalls = 8

// lossLogInterval is the time between two log lines of lost connections to one exchange.
const lossLogInterval = time.Second

// logDisconnect logs how the connection ended, at most once in lossLogInterval.
func (c *Conn) logDisconnect(reason call.AttemptEnd) {
	now := c.set.loop.Now()
	if c.disconnectLoggedAt > 0 && now-c.disconnectLoggedAt < lossLogInterval {
		return
	}
	c.disconnectLoggedAt = now
	c.set.loop.Log.Infow("link_lost", "id", c.id, "reason", reason.String(), "waiting", len(c.openAttempts),
		"standing", c.set.calls.EstablishedAt(c.id), "silent", now-c.activity.receivedAt)
}

// dropCalls ends the calls that were established at the exchange before a time, whose process has ended since.
func (c *Conn) dropCalls(reason lossReason, before time.Duration) {
	c.logLoss(reason, c.set.calls.BackendRestarted(c.id, before))
}

// loseCalls ends all calls established at the exchange. They are released there too, because it may still run.
func (c *Conn) loseCalls(reason lossReason) {
	c.logLoss(reason, c.set.calls.BackendLost(c.id))
}

// logLoss logs and counts calls that are over without a release by the exchange.
func (c *Conn) logLoss(reason lossReason, calls []string) {
	if len(calls) == 0 {
		return
	}
	c.set.Counters.CallsLost += len(calls)
	c.set.loop.Log.Warnw("calls_lost", "id", c.id, "reason", reason, "count", len(calls),
		"calls", calls[:min(len(calls), maxLoggedCalls)], "connected", c.IsConnected(),
		"silent", c.set.loop.Now()-c.activity.receivedAt)
}
