// Package frontend holds what the frontends, which accept the connections of callers, have in common: the bounds on
// connections, the closing of idle ones, the deadlines of set-ups and the counters. Each protocol has a package of its
// own below this one. A frontend never decides on a call and never speaks to exchanges.
package frontend

import (
	"math/rand/v2"
	"slices"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/config"
	"olivedale/internal/eventloop"
)

// AnswerMargin is how long before the caller gives up the last answer is sent.
const AnswerMargin = 5 * time.Millisecond

// AnyPool is the preferred pool of a set-up without a preference.
const AnyPool = -1

// Counters count what the connections of callers bring, on all frontends.
type Counters struct {
	Accepted             int // connections
	RejectedFull         int // connections closed at once since there were too many
	ClosedIdle           int // idle connections closed for new ones
	ClosedOverdue        int // connections closed because they were silent, or stopped within a message
	InvalidSetups        int // set-ups that no exchange could carry
	LateSetups           int // set-ups that came when the connections to exchanges were closed
	Echoes               int // tests of a connection
	RepeatedTransactions int
	ReleasesSent         int
	ReleasesDiscarded    int // releases that no connection could take in time
}

// A Frontend is one protocol towards callers.
type Frontend interface {
	call.Frontend
	// CloseOverdue closes connections that are silent or have stopped within a message, and retries what waits.
	CloseOverdue(now time.Duration)
	// HasPendingWork reports whether a caller waits for something that this process alone can send.
	HasPendingWork() bool
	// Connections returns the connections that are open.
	Connections() []Connection
}

// A Connection is one connection of a caller. It is the context of its socket.
type Connection interface {
	// Conn returns the buffered connection.
	Conn() *eventloop.Conn
	// HandleData handles what has been received.
	HandleData(data []byte)
	// HandleClose handles the end of the socket, with gnet's error.
	HandleClose(err error)
	// HasOpenSetup reports whether a set-up on the connection waits for its answer.
	HasOpenSetup() bool
}

// A Host is what the frontends of one process share.
type Host struct {
	Loop   *eventloop.Loop
	Calls  *call.Manager
	Config *config.Config
	Random *rand.Rand
	// ReportMalformed is called for input that cannot be read.
	ReportMalformed func(source string, err error)
	// IsShuttingDown reports whether a set-up that arrives now would be open when the process ends.
	IsShuttingDown func() bool
	// IsDisconnected reports whether the connections to exchanges are closed for good: no release can be passed on.
	IsDisconnected func() bool

	Counters Counters
}

// Deadline returns when a caller of a class that waits for so long gives up. Nobody waits for longer than the class's
// own deadline: callers that claim to wait for days would fill the table of timers.
func (h *Host) Deadline(class string, wait time.Duration) time.Duration {
	return h.Loop.Now() + min(wait, h.Config.Deadline(class)) - AnswerMargin
}

// IsPoolAllowed reports whether calls of a class may go to a pool, which may be AnyPool. Classes that do not exist are
// left to the admission control.
func (h *Host) IsPoolAllowed(class string, pool int) bool {
	classes := h.Config.Settings.Classes
	i := slices.IndexFunc(classes, func(c admission.Class) bool { return c.Name == class })
	if i < 0 || pool == AnyPool {
		return true
	}
	return pool >= 0 && (classes[i].Pools == nil || slices.Contains(classes[i].Pools, pool))
}

// RejectShuttingDown rejects a set-up that would be open when the process ends.
func (h *Host) RejectShuttingDown(client call.Client, r call.Request) {
	if h.IsDisconnected() {
		h.Counters.LateSetups++
	}
	h.Calls.RejectShuttingDown(client, r)
}

// maxWait bounds the milliseconds that a caller may say it waits.
const maxWait = 1e9

// IsValidWait reports whether a caller may say that it waits for so many milliseconds.
func IsValidWait(milliseconds float64) bool { return milliseconds >= 0 && milliseconds < maxWait }

// Milliseconds converts to a duration.
func Milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}
