package call

import (
	"time"

	"olivedale/internal/admission"
)

// A Decider chooses where calls go. The admission engine implements it.
type Decider interface {
	// Place asks for the first decision on a call.
	Place(now Time, r admission.Request) admission.Decision
	// Report reports progress of a call or the load of a server and returns the next decision on
	// the call. The decision is None if nothing is to be done now.
	Report(now Time, p admission.AttemptReport) admission.Decision
	// Tick returns the decisions that have become due by now.
	Tick(now Time) []admission.Decision
	// NextDeadline returns the time at which Tick is due next.
	NextDeadline() Time
	// UpdateServers takes the list of servers: the complete list if full, the changed ones otherwise.
	UpdateServers(now Time, servers []admission.Server, full bool)
}

// A Client is the connection on which a call was offered. It receives exactly one of the three
// callbacks for each call. Clients are compared with ==.
type Client interface {
	// CallEstablished answers a call that a backend has accepted, with the backend's session description.
	CallEstablished(id string, description []byte)
	// CallRejected answers a call that is not established. The cause is one of Q.850; the caller is
	// asked not to retry for retryAfter, 0 meaning no advice.
	CallRejected(id string, cause int, retryAfter time.Duration)
	// CallForgotten reports that no answer is owed on this connection any more, because the caller has
	// abandoned the call or has repeated the offer on another connection.
	CallForgotten(id string)
	// Frontend returns the frontend that the connection belongs to.
	Frontend() Frontend
}

// A Frontend is the set of client connections that speak one protocol.
type Frontend interface {
	// NotifyRelease notifies the caller of the end of an established call, on any connection of the
	// frontend. The client is the one that offered the call last, nil if it is not known.
	NotifyRelease(client Client, id string, cause int)
}

// Backends sends setups, cancellations and releases to the backend servers.
type Backends interface {
	// Invite sends a setup, or queues it until the connection is up. Its result arrives through
	// Manager.AttemptAnswered or Manager.AttemptEnded, never from within Invite.
	Invite(server string, s Setup)
	// Cancel ends an attempt that has not been answered. It reports whether the setup was still
	// unsent, which proves that the backend has not seen it.
	Cancel(server, id string, attempt int) (unsent bool)
	// Release ends a call at a backend that has answered it.
	Release(server, id string, attempt, cause int)
	// ReleaseEverywhere ends a call whose backend is not known.
	ReleaseEverywhere(id string, cause int)
}

// An Observer receives the events of all calls in the order in which they happen.
type Observer interface {
	// CallOffered reports an offered call. Its CallAnswered follows in every case.
	CallOffered(now Time, r *Request)
	// Decided reports a decision on a call, except None.
	Decided(now Time, d *admission.Decision)
	// AttemptStarted reports that an attempt starts, before its setup is sent.
	AttemptStarted(now Time, server string, s *Setup)
	// AttemptEnded reports how an attempt has ended and how long it lasted, also that of an
	// established call when it is released.
	AttemptEnded(now Time, server, id string, attempt int, e AttemptEnd, elapsed time.Duration)
	// CallAnswered reports the final answer to a call, also to one that was abandoned.
	CallAnswered(now Time, a *Answer)
	// CallReleased reports the end of an established call.
	CallReleased(now Time, r *ReleaseEvent)
	// LimitReached reports a message that was dropped or merged and has no answer of its own.
	LimitReached(now Time, l LimitEvent, id string)
}

// A Router chooses by the called number the pools that a call may go to.
type Router interface {
	// Route decides on an offered call. What the decision is based on stays the same for the call until
	// the Release function of the Route is called.
	Route(now Time, r *Request) Route
}
