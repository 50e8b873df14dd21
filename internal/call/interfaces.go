package call

import (
	"time"

	"olivedale/internal/admission"
)

// A Decider chooses where calls go. The admission engine implements it.
type Decider interface {
	// Place asks for the first decision on a call.
	Place(now Time, r admission.Request) admission.Decision
	// Report reports the progress of a call or the load of a server and returns the next decision on
	// the call. The decision is DecisionNone if no action is due now.
	Report(now Time, p admission.AttemptReport) admission.Decision
	// Tick returns the decisions that are due by now.
	Tick(now Time) []admission.Decision
	// NextDeadline returns the time at which Tick is due next.
	NextDeadline() Time
	// UpdateServers passes the complete list of servers if full is set, the changed servers otherwise.
	UpdateServers(now Time, servers []admission.Server, full bool)
}

// A Client is the connection on which a call was offered. It receives exactly one of the three
// callbacks for each call. Clients are compared with ==.
type Client interface {
	// CallEstablished answers a call that a backend has accepted, with the backend's session description.
	CallEstablished(id string, description []byte)
	// CallRejected answers a call that is not established, with a Q.850 cause. The caller is asked to
	// wait for retryAfter before it retries; 0 means no advice.
	CallRejected(id string, cause int, retryAfter time.Duration)
	// CallWithdrawn reports that no answer will follow on this connection, because the caller abandoned
	// the call or repeated the offer on another connection.
	CallWithdrawn(id string)
	// Frontend returns the frontend of the connection.
	Frontend() Frontend
}

// A Frontend manages the client connections of one protocol.
type Frontend interface {
	// NotifyRelease notifies the caller, on any connection of the frontend, that an established call has
	// ended. The client is the one that offered the call last, or nil if it is unknown.
	NotifyRelease(client Client, id string, cause int)
}

// Backends sends setups, cancellations and releases to the backend servers.
type Backends interface {
	// Invite sends a setup, or queues it until the connection is established. The result is passed to
	// Manager.AttemptAnswered or Manager.AttemptEnded after Invite has returned.
	Invite(server string, s Setup)
	// Cancel ends an attempt that has not been answered. It reports whether the setup was still
	// unsent, which proves that the backend has not received it.
	Cancel(server, id string, attempt int) (unsent bool)
	// Release releases a call at a backend that has answered it.
	Release(server, id string, attempt, cause int)
	// ReleaseEverywhere releases a call at all backends, because its own is unknown.
	ReleaseEverywhere(id string, cause int)
}

// An Observer receives the events of all calls in the order in which they happen.
type Observer interface {
	// CallOffered reports an offered call. CallAnswered always follows.
	CallOffered(now Time, r *Request)
	// Decided reports a decision on a call, except DecisionNone.
	Decided(now Time, d *admission.Decision)
	// AttemptStarted reports the start of an attempt, before its setup is sent.
	AttemptStarted(now Time, server string, s *Setup)
	// AttemptEnded reports how an attempt ended and how long it lasted. The successful attempt of an
	// established call ends when the call is released.
	AttemptEnded(now Time, server, id string, attempt int, e AttemptEnd, elapsed time.Duration)
	// CallAnswered reports the final answer to a call, or that the call was abandoned.
	CallAnswered(now Time, a *Answer)
	// CallReleased reports the end of an established call.
	CallReleased(now Time, r *ReleaseEvent)
	// LimitReached reports a message that was dropped or merged and gets no answer of its own.
	LimitReached(now Time, l LimitEvent, id string)
}

// A Router chooses the permitted pools of a call by its called number.
type Router interface {
	// Route decides on an offered call. The routing data behind the decision stay unchanged for the call
	// until the Close function of the Route is called.
	Route(now Time, r *Request) Route
}
