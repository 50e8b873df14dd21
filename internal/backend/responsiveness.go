package backend

import (
	"errors"
	"time"

	"olivedale/internal/call"
)

// PartialMessageTimeout is how long an exchange may take to complete a message that it has begun to send.
const PartialMessageTimeout = 150 * time.Millisecond

const (
	// minBusySetups is the number of waiting set-ups from which the shorter, adaptive timeout applies.
	minBusySetups = 3
	// responseFactor is the allowed silence as a multiple of the longest recent gap.
	responseFactor = 4
	// gapDecay is the decay of the longest gap: each received piece of data shrinks it by 1/gapDecay.
	gapDecay = 16
)

var errStalledMidMessage = errors.New("timed out waiting for the rest of a message")

// An activity tracks how fast an exchange responds on the current connection.
type activity struct {
	receivedAt    time.Duration // when data was last received
	waitingSetups int           // set-ups that were open at that time or have been written since
	waitingSince  time.Duration // when the first of them started waiting
	longestGap    time.Duration // the longest recent time that set-ups waited for the next input; decays
}

// recordSetup records that a set-up was written.
func (a *activity) recordSetup(now time.Duration) {
	a.waitingSetups++
	if a.waitingSetups == 1 {
		a.waitingSince = now
	}
}

// recordInput records that data was received while openAttempts attempts are open.
func (a *activity) recordInput(now time.Duration, openAttempts int) {
	a.longestGap -= a.longestGap / gapDecay
	if a.waitingSetups > 0 {
		a.longestGap = max(a.longestGap, now-a.waitingSince)
	}
	a.receivedAt = now
	a.waitingSetups = openAttempts
	a.waitingSince = now
}

// responseTimeout returns how long the connection may be silent while set-ups wait: a multiple of the longest recent
// gap, within bounds derived from the dial timeout. If only a few set-ups wait, the upper bound applies.
func (a *activity) responseTimeout(dialTimeout time.Duration) time.Duration {
	longest := 4 * dialTimeout
	if a.waitingSetups < minBusySetups {
		return longest
	}
	return min(max(responseFactor*a.longestGap, dialTimeout/2), longest)
}

// ResponseTimeout returns how long the connection may be silent while set-ups wait.
func (c *Conn) ResponseTimeout() time.Duration { return c.activity.responseTimeout(c.set.dialTimeout) }

// isUnresponsive reports whether set-ups are waiting on a connection that has been silent for too long.
func (c *Conn) isUnresponsive(now time.Duration) bool {
	return c.activity.waitingSetups > 0 && now-c.activity.waitingSince > c.ResponseTimeout()
}

// isStalledMidMessage reports whether the rest of a partly received message is overdue.
func (c *Conn) isStalledMidMessage(now time.Duration) bool {
	return c.conn.IsStalledMidMessage(now, PartialMessageTimeout)
}

// CheckResponsiveness closes a connection that is open but no longer usable. One that stalled in the middle of a
// message cannot deliver further messages. One that is silent while set-ups wait leads to a hung process or to no
// process at all: all calls to the exchange would fail and its releases would not arrive. The check can close a working
// connection only if the exchange is slow and rarely used. Data already received is processed first, so that no answers
// are lost if this process itself was suspended.
func (c *Conn) CheckResponsiveness(now time.Duration) {
	if c.conn == nil || !c.isStalledMidMessage(now) && !c.isUnresponsive(now) {
		return
	}
	c.conn.ReadPending(c.HandleData)
	switch {
	case c.conn == nil:
	case c.isStalledMidMessage(now):
		c.set.reportMalformed("exchange "+c.id, errStalledMidMessage)
		c.Disconnect(call.Unresponsive)
	case c.isUnresponsive(now):
		a := &c.activity
		c.set.loop.Log.Warnw("mute", "id", c.id, "asked", a.waitingSetups, "waiting", len(c.openAttempts),
			"silent", now-a.receivedAt, "gap", a.longestGap)
		c.Disconnect(call.Unresponsive)
	}
}
