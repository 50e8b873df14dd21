package backend

import (
	"errors"
	"time"

	"olivedale/internal/call"
)

// PartialMessageTimeout is how long part of a message from an exchange may wait for the rest.
const PartialMessageTimeout = 150 * time.Millisecond

const (
	// minBusySetups is the number of waiting set-ups from which a short silence already counts.
	minBusySetups = 3
	// responseFactor is how many times the longest recent gap a connection may be silent.
	responseFactor = 4
	// gapDecay: with each piece of input the longest gap shrinks by one part in gapDecay.
	gapDecay = 16
)

var errStalledMidMessage = errors.New("a message stopped half way")

// An activity is what is known of how fast an exchange responds on the current connection.
type activity struct {
	receivedAt    time.Duration // when the connection last brought something
	waitingSetups int           // set-ups that have waited since then, or were written since
	waitingSince  time.Duration // when the first of them began to wait
	longestGap    time.Duration // the longest time of late that set-ups waited for the next input; decays
}

// recordSetup notes that a set-up was written.
func (a *activity) recordSetup(now time.Duration) {
	a.waitingSetups++
	if a.waitingSetups == 1 {
		a.waitingSince = now
	}
}

// recordInput notes that the connection has brought something while so many attempts are open.
func (a *activity) recordInput(now time.Duration, openAttempts int) {
	a.longestGap -= a.longestGap / gapDecay
	if a.waitingSetups > 0 {
		a.longestGap = max(a.longestGap, now-a.waitingSince)
	}
	a.receivedAt = now
	a.waitingSetups = openAttempts
	a.waitingSince = now
}

// responseTimeout is how long the connection may bring nothing while set-ups wait: several times as long as it has
// kept others waiting of late, bounded by multiples of the time that a new connection takes at most. Where few
// set-ups wait, the silence must last for longer.
func (a *activity) responseTimeout(dialTimeout time.Duration) time.Duration {
	longest := 4 * dialTimeout
	if a.waitingSetups < minBusySetups {
		return longest
	}
	return min(max(responseFactor*a.longestGap, dialTimeout/2), longest)
}

// ResponseTimeout returns how long the connection may bring nothing while set-ups wait.
func (c *Conn) ResponseTimeout() time.Duration { return c.activity.responseTimeout(c.set.dialTimeout) }

// isUnresponsive reports whether set-ups wait on a connection that has brought nothing for too long.
func (c *Conn) isUnresponsive(now time.Duration) bool {
	return c.activity.waitingSetups > 0 && now-c.activity.waitingSince > c.ResponseTimeout()
}

// isStalledMidMessage reports whether the connection has stopped within a message.
func (c *Conn) isStalledMidMessage(now time.Duration) bool {
	return c.conn.IsStalledMidMessage(now, PartialMessageTimeout)
}

// CheckResponsiveness ends a connection that has become useless and stays open. One that stopped within a message
// brings nothing more that could be read; one that brings nothing at all while set-ups wait leads to a process that
// hangs, or to nobody: all calls to that exchange would fail and its releases would not arrive. The check can end a
// good connection only at an exchange that is slow and hardly used. Where this process itself was stopped, what
// arrived meanwhile is read first: answers in the socket must not be lost because this side is late.
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
