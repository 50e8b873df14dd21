package call

import "bytes"

// A callState is the state of a call.
type callState int

// The states of a call. A call starts in callRouting.
const (
	callRouting     callState = iota // the number is being looked up; the call has not been passed to the Decider
	callWaiting                      // the call was passed to the Decider; no attempt is in progress
	callAttempting                   // one attempt is in progress
	callEstablished                  // a backend has accepted the call
	callEnded                        // the Manager no longer owns the call
	callStateCount
)

// callTransitions lists the permitted transitions by their initial state.
var callTransitions = [callStateCount][callStateCount]bool{
	callRouting:     {callWaiting: true, callEnded: true},
	callWaiting:     {callAttempting: true, callEnded: true},
	callAttempting:  {callWaiting: true, callEstablished: true, callEnded: true},
	callEstablished: {callEnded: true},
	callEnded:       {},
}

var callStateNames = [callStateCount]string{
	callRouting:     "routing",
	callWaiting:     "waiting",
	callAttempting:  "attempting",
	callEstablished: "established",
	callEnded:       "ended",
}

// String returns the name of the state.
func (s callState) String() string {
	if s < 0 || s >= callStateCount {
		return "unknown"
	}
	return callStateNames[s]
}

// A call is owned by the Manager from its offer until it ends.
type call struct {
	Request       // the Description is cleared when the call is answered
	client        Client
	frontend      Frontend
	offeredAt     Time
	route         Route
	state         callState
	attempt       attempt // the latest attempt
	mayHaveRun    bool    // one of the ended attempts may have run at its backend
	deadline      deadline
	establishedAt Time
}

// An attempt is one setup of a call at a backend.
type attempt struct {
	server    string // "" before the first attempt
	number    int    // starts at 0; noAttempt before the first attempt
	startedAt Time
}

// noAttempt is the attempt number of a call without attempts.
const noAttempt = -1

func newCall(client Client, r *Request, now Time) *call {
	return &call{
		Request:   *r,
		client:    client,
		frontend:  client.Frontend(),
		offeredAt: now,
		attempt:   attempt{number: noAttempt},
		deadline:  deadline{index: notScheduled},
	}
}

// transition changes the state of the call; all state changes go through it. A transition that
// callTransitions does not permit is a bug in this package: tests fail on it, but a controller in
// production continues to serve its other calls.
func (c *call) transition(to callState) {
	if !callTransitions[c.state][to] {
		reportInvalidTransition(c, to)
	}
	c.state = to
}

// reportInvalidTransition is called for a transition that is not permitted. Tests override it.
var reportInvalidTransition = func(*call, callState) {}

// isOpen reports whether the call has no final answer yet.
func (c *call) isOpen() bool { return c.state != callEstablished && c.state != callEnded }

// awaitsAttempt reports whether the call is open without an attempt in progress.
func (c *call) awaitsAttempt() bool { return c.state == callRouting || c.state == callWaiting }

// isAttempting reports whether the given attempt of the call is in progress.
func (c *call) isAttempting(server string, attempt int) bool {
	return c.state == callAttempting && c.isLatestAttempt(server, attempt)
}

// isLatestAttempt reports whether the given attempt is the latest one.
func (c *call) isLatestAttempt(server string, attempt int) bool {
	return c.attempt.server == server && c.attempt.number == attempt
}

// matches reports whether an offer with the id of the call has the same content as its first offer.
func (c *call) matches(r *Request) bool {
	return c.Class == r.Class &&
		c.Number == r.Number &&
		c.PreferredPool == r.PreferredPool &&
		c.Reestablish == r.Reestablish &&
		bytes.Equal(c.Description, r.Description)
}

// releaseRoute closes the route of the call, at most once.
func (c *call) releaseRoute() {
	if c.route.Close != nil {
		c.route.Close()
		c.route.Close = nil
	}
}
