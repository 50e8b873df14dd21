// Package frontend contains the code shared by the frontends, which accept connections from callers: connection limits,
// the closing of overdue connections, the deadlines of set-ups and the counters. Each protocol is implemented by a
// package below this one. A frontend makes no decisions about calls and does not communicate with exchanges.
package frontend

import (
	"slices"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/config"
	"olivedale/internal/eventloop"
)

// AnswerMargin is how long before the timeout of the caller a set-up is answered at the latest.
const AnswerMargin = 5 * time.Millisecond

// MaxPendingReleasesShift limits the releases that wait for callers of a frontend to 1<<MaxPendingReleasesShift per MB
// of memory. That is as many as there are calls.
const MaxPendingReleasesShift = 8

// AnyPool is the value of the preferred pool in set-ups without a preference.
const AnyPool = -1

// Counters counts events on the connections of callers, over all frontends.
type Counters struct {
	Accepted             int // connections accepted
	RejectedFull         int // connections closed at once because the limit was reached
	ClosedIdle           int // idle connections closed to make room for new ones
	ClosedOverdue        int // connections closed because they sent nothing or only part of a message in time
	InvalidSetups        int // set-ups that were readable but could not be carried by any exchange
	LateSetups           int // set-ups that arrived after the connections to the exchanges were closed
	Echoes               int // liveness probes of a connection
	RepeatedTransactions int
	StrayReplies         int // replies that do not belong to the transaction whose id they have
	ReleasesSent         int
	ReleasesDiscarded    int // releases that could not be delivered in time or stored
}

// A Frontend serves callers in one protocol.
type Frontend interface {
	call.Frontend
	// CloseOverdue closes connections that have sent nothing or only part of a message for too long. It also retries or
	// drops the releases that are still pending.
	CloseOverdue(now time.Duration)
	// HasPendingWork reports whether there are messages for a caller that only this process can send.
	HasPendingWork() bool
	// PendingReleases returns the number of releases that wait for their callers.
	PendingReleases() int
	// Connections returns the open connections.
	Connections() []Connection
}

// A Connection is one connection from a caller. It is stored as the context of its socket.
type Connection interface {
	// Conn returns the buffered connection.
	Conn() *eventloop.Conn
	// HandleData handles received data.
	HandleData(data []byte)
	// HandleClose handles the close of the socket; err is gnet's error.
	HandleClose(err error)
	// HasOpenSetup reports whether a set-up received on the connection is unanswered.
	HasOpenSetup() bool
}

// A Host provides the dependencies and counters that all frontends of a process share.
type Host struct {
	Loop   *eventloop.Loop
	Calls  *call.Manager
	Config *config.Config
	// RandomID returns a random number for ids that must differ from those of earlier processes of this controller. It
	// does not depend on the configuration, whose seed may be the same again.
	RandomID func() uint32
	// ReportMalformed is called for input that cannot be parsed.
	ReportMalformed func(source string, err error)
	// ReportStray is called for replies that do not belong to the transaction whose id they have.
	ReportStray func(source string, err error)
	// IsShuttingDown reports whether the process may exit before a set-up that arrives now is answered.
	IsShuttingDown func() bool
	// IsDisconnected reports whether the connections to exchanges are permanently closed, so that releases can no
	// longer be forwarded.
	IsDisconnected func() bool

	Counters Counters
}

// Deadline returns the time by which a set-up must be answered whose caller waits for the given time. The wait is
// limited to the deadline of the class, because callers that claim to wait for days would fill the timer table.
func (h *Host) Deadline(class string, wait time.Duration) time.Duration {
	return h.Loop.Now() + min(wait, h.Config.Deadline(class)) - AnswerMargin
}

// IsPoolAllowed reports whether calls of a class may use a pool, which may be AnyPool. Unknown classes pass, because
// admission control rejects them.
func (h *Host) IsPoolAllowed(class string, pool int) bool {
	classes := h.Config.Settings.Classes
	i := slices.IndexFunc(classes, func(c admission.Class) bool { return c.Name == class })
	if i < 0 || pool == AnyPool {
		return true
	}
	return pool >= 0 && (classes[i].Pools == nil || slices.Contains(classes[i].Pools, pool))
}

// RejectShuttingDown rejects a set-up that could not be answered before the process exits.
func (h *Host) RejectShuttingDown(client call.Client, r call.Request) {
	if h.IsDisconnected() {
		h.Counters.LateSetups++
	}
	h.Calls.RejectShuttingDown(client, r)
}

// maxWait is the exclusive upper limit of the wait that a caller may state, in milliseconds.
const maxWait = 1e9

// IsValidWait reports whether a caller's stated wait in milliseconds is valid.
func IsValidWait(milliseconds float64) bool { return milliseconds >= 0 && milliseconds < maxWait }

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}
