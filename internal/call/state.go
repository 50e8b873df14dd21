package call

import "bytes"

// A callState is the state of a call.
type callState int

// The states of a call. A call starts in callRouting.
const (
	callRouting     callState = iota // its number is looked up; the Decider does not know the call
	callWaiting                      // the Decider knows the call; no attempt is in progress
	callAttempting                   // one attempt is in progress
	callEstablished                  // a backend has accepted the call
	callEnded                        // the Manager does not own the call any more
	callStateCount
)

// callTransitions lists the permitted transitions, by the state they start from.
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
	Request       // its Description is dropped once the call is answered
	client        Client
	frontend      Frontend
	offeredAt     Time
	route         Route
	state         callState
	attempt       attempt // the latest one
	mayHaveRun    bool    // an ended attempt may have run at its backend
	establishedAt Time
}

// An attempt is one setup of a call at a backend.
type attempt struct {
	server    string // "" before the first attempt
	number    int    // from 0; noAttempt before the first attempt
	startedAt Time
}

// noAttempt is the number of the attempt before the first.
const noAttempt = -1

func newCall(client Client, r *Request, now Time) *call {
	return &call{
		Request:   *r,
		client:    client,
		frontend:  client.Frontend(),
		offeredAt: now,
		attempt:   attempt{number: noAttempt},
	}
}

// transition changes the state of the call. It is the only place that does. A transition that
// callTransitions does not permit is a defect of this package: tests fail on it, but a running
// controller goes on with its other calls.
func (c *call) transition(to callState) {
	if !callTransitions[c.state][to] {
		reportInvalidTransition(c, to)
	}
	c.state = to
}

// reportInvalidTransition is called for a transition that is not permitted. Tests replace it.
var reportInvalidTransition = func(*call, callState) {}

// isOpen reports whether the final answer of the call is owed.
func (c *call) isOpen() bool { return c.state != callEstablished && c.state != callEnded }

// awaitsAttempt reports whether the call is open and has no attempt in progress.
func (c *call) awaitsAttempt() bool { return c.state == callRouting || c.state == callWaiting }

// isAttempting reports whether the given attempt of the call is in progress.
func (c *call) isAttempting(server string, attempt int) bool {
	return c.state == callAttempting && c.isLatestAttempt(server, attempt)
}

// isLatestAttempt reports whether the given attempt is the last one that was started.
func (c *call) isLatestAttempt(server string, attempt int) bool {
	return c.attempt.server == server && c.attempt.number == attempt
}

// matches reports whether a repeated offer asks for the same as the first one.
func (c *call) matches(r *Request) bool {
	return c.Class == r.Class &&
		c.Number == r.Number &&
		c.PreferredPool == r.PreferredPool &&
		c.Reestablish == r.Reestablish &&
		bytes.Equal(c.Description, r.Description)
}

// releaseRoute releases what the route of the call holds.
func (c *call) releaseRoute() {
	if c.route.Close != nil {
		c.route.Close()
		c.route.Close = nil
	}
}
