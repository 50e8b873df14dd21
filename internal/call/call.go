// Package call is the core of the call controller: requests, attempts and their
// outcomes. It knows no wire and no socket. One goroutine owns a Core; nothing
// in it blocks or locks.
package call

import (
	"bytes"
	"cmp"
	"container/heap"
	"errors"
	"slices"
	"time"

	"olivedale/internal/admission"
)

// A Time is a reading of the system's Unix clock.
type Time = admission.Time

// Causes of releases, of Q.850.
const (
	CauseNormal    = 16 // normal clearing
	CauseNoCircuit = 34 // refused: trying again is harmless
	CauseFailed    = 41 // temporary failure, or a call that was cut
)

// A Decider is the module: it says where calls go.
type Decider interface {
	Place(now Time, r admission.Request) admission.Decision
	Report(now Time, p admission.AttemptReport) admission.Decision
	Tick(now Time) []admission.Decision
	NextDeadline() Time
	UpdateServers(now Time, servers []admission.Server, full bool)
}

// A Client is the connection on which a set-up came; it gets the answer.
type Client interface {
	CallEstablished(id string, description []byte)
	CallRejected(id string, cause int, wait time.Duration)
	// CallForgotten tells that no answer is owed here any more: the caller has given the set-up up, or
	// waits for its answer on another connection.
	CallForgotten(id string)
	Frontend() Frontend
}

// A Frontend is one dialect towards callers. What ends a call that stands goes out
// on any of its connections, for no connection owns such a call; asker is the one
// that asked for the call, nil if it is not known.
type Frontend interface {
	NotifyRelease(asker Client, id string, cause int)
}

// A Setup is what an exchange is told of a call.
type Setup struct {
	ID, Class, Number string
	Attempt           int
	Timeout           time.Duration // from now
	Deadline          Time          // then nobody waits for it any more
	Description       []byte
}

// Backends carries set-ups and releases to the exchanges.
type Backends interface {
	// Invite sends a set-up or queues it until the link is up. Whatever becomes
	// of it comes back by Answered or Ended, never from within Invite.
	Invite(server string, s Setup)
	// Cancel gives a set-up up; unsent tells that it had not been written.
	Cancel(server, id string, attempt int) (unsent bool)
	// Release ends a call at an exchange that answered it.
	Release(server, id string, attempt, cause int)
	// ReleaseEverywhere ends a call that stands at an exchange nobody remembers.
	ReleaseEverywhere(id string, cause int)
}

// A Request is a set-up from a caller.
type Request struct {
	ID, Class, Number string
	PreferredPool     int
	Deadline          Time
	Reestablish       bool // it stood, was cut and comes again
	RepeatUnsafe      bool // its class's calls may not simply run twice
	Description       []byte
	Table             string // that it is routed by, set by the Core; "": none
}

// An Observer is told what happens to calls, in the order it happens. It must not block and
// must not call the Core.
type Observer interface {
	// CallOffered tells of a set-up that was taken; its answer follows in any case.
	CallOffered(now Time, r *Request)
	// Decided tells the module's word on a call.
	Decided(now Time, o *admission.Decision)
	// AttemptStarted tells that an attempt starts.
	AttemptStarted(now Time, server string, s *Setup)
	// AttemptEnded tells how the attempt that was out has ended, also where it had stood.
	AttemptEnded(now Time, server, id string, attempt int, e AttemptEnd, took time.Duration)
	// CallAnswered tells the one final answer.
	CallAnswered(now Time, a *Answer)
	// CallReleased tells that a call that stood is over.
	CallReleased(now Time, r *Release)
	// LimitReached tells that something was turned away or passed over that got no answer of its own.
	LimitReached(now Time, l Limit, id string)
}

// A Router says, by the number called, to which pools a call may go. Like the module it is
// asked on the loop and must not block.
type Router interface {
	// Route decides on a set-up. What it decides by stays the same for the call: it is held until
	// Release of the Routing.
	Route(now Time, r *Request) Route
}

// A Route is a Router's word on one call.
type Route struct {
	Pools   []int  // the preferred first
	Cause   int    // of Q.850: the call is refused at once; 0: it is not
	Table   string // what it was decided by, for the records
	Release func() // ends the hold; nil: there is none
	// Pending tells that the number is being looked up: Core.Routed brings the word. Release ends
	// that as well, if the call ends before.
	Pending    bool
	Emergency  bool          // an emergency: the module takes it before others
	RetryAfter time.Duration // of a refusal: the caller is asked to keep away for; 0: not
}

// rejects tells whether the word is that the call is refused.
func (r *Route) rejects() bool { return r.Cause != 0 || len(r.Pools) == 0 }

// An Outcome is how a set-up came to its final answer.
type Outcome int

// Outcomes. Rejected and Failed as the module says. Those from RejectedOverLimit on are answered
// without it, and the module never hears of all but Stopped.
const (
	Established Outcome = iota
	Rejected
	Failed
	Abandoned            // by the caller: no answer is owed
	RejectedOverLimit    // past the Limits
	RejectedReusedID     // under the id of a call that is over
	RejectedInvalid      // to a pool the class may not go to, or too wide
	RejectedByPolicy     // by its number
	RejectedShuttingDown // still open at the end of an orderly stop
)

// An Answer is the end of a set-up.
type Answer struct {
	ID, Class  string
	Outcome    Outcome
	Cause      int
	RetryAfter time.Duration // the caller is asked to keep away for; 0: not
	Elapsed    time.Duration // since the set-up came
	Server     string        // where the call stands, or its last attempt was
	Attempts   int
}

// A Release is the end of a call that stood.
type Release struct {
	ID, Class, Server string
	Cause             int
	End               AttemptEnd // Completed, Cut, CallerLeft or ExchangeLost
	Duration          time.Duration
}

// A Limit is a reason to turn something away.
type Limit int

// Limits that were met.
const (
	LimitRepeatedSetup  Limit = iota // the set-up of an open call came again: it is not started twice
	LimitReusedID                    // the id is that of another call
	LimitUnknownRelease              // too many releases of calls that nobody knows
)

// Counters count what the core takes in, sends and answers.
type Counters struct {
	Requests, Established, Rejected, Failed, Abandoned, Repeated int
	ReusedIDs, OverLimit, ByPolicy, UnknownReleasesDropped       int
	Attempts, Cancels, LateAnswers                               int
	ReleasedByBackend, ReleasedByCaller, ReleasedUnknown         int
	Ends                                                         [attemptEndCount]int
}

type callState int

const (
	callWaiting     callState = iota // no attempt is out
	callAttempting                   // one attempt is out
	callEstablished                  // the call stands
	callRouting                      // its number is looked up; the module has not heard of it
)

// A call is open from its set-up until its final answer, or its release if it stood.
type call struct {
	Request
	client        Client
	frontend      Frontend
	offeredAt     Time
	route         Route
	state         callState
	server        string
	attempt       int
	sentAt        Time
	expires       Time // of the attempt that is out
	mayHaveRun    bool // an attempt may have run
	establishedAt Time
}

// completedCallRetention is how long the ids of calls that are over are remembered. It covers
// releases that cross each other or come twice.
const completedCallRetention = 30 * time.Second

// maxUnknownReleasesPerSecond bounds the releases of unknown calls that go to the exchanges. After a
// restart in the middle of a mass cut all of a node's calls may be released at once.
const maxUnknownReleasesPerSecond = 256

// A Manager decides nothing about routes; it keeps the rules of one final answer
// and of one attempt at a time whatever the two sides do.
type Manager struct {
	decider          Decider
	observer         Observer // nil: none
	router           Router   // nil: calls go by their pool of first choice
	backends         Backends
	now              func() Time
	calls            map[string]*call
	timers           deadlineHeap
	completedCalls   *expiringIDs // calls that are over
	unknownReleases  *expiringIDs // calls that were released and never known here
	limits           Limits
	openCalls        int // calls whose final answer is owed
	descriptionBytes int // of their descriptions

	unknownReleaseCount  int // releases of unknown calls since aliensAt
	unknownReleaseWindow Time
	Counters
}

// Limits bound what a Core holds, whatever callers send.
type Limits struct {
	OpenCalls        int // calls whose final answer is owed
	DescriptionBytes int // of their descriptions
	CompletedIDs     int // ids of calls that are over
}

// NewManager makes a Core that takes the time from now.
func NewManager(desk Decider, out Backends, now func() Time, limits Limits) *Manager {
	return &Manager{decider: desk, backends: out, now: now, limits: limits, calls: make(map[string]*call),
		completedCalls: newExpiringIDs(limits.CompletedIDs), unknownReleases: newExpiringIDs(limits.CompletedIDs)}
}

// SetObserver has o told of everything from now on; nil ends it.
func (c *Manager) SetObserver(o Observer) { c.observer = o }

// SetRouter has calls routed by their numbers from now on; nil ends it.
func (c *Manager) SetRouter(r Router) { c.router = r }

// OpenCalls counts the calls whose final answer is still owed.
func (c *Manager) OpenCalls() int { return c.openCalls }

// Contains tells whether a call is open or stands.
func (c *Manager) Contains(id string) bool { return c.calls[id] != nil }

// EstablishedCalls counts the calls that stand.
func (c *Manager) EstablishedCalls() int { return len(c.calls) - c.OpenCalls() }

// ErrReused tells of a set-up under the id of another call.
var ErrReused = errors.New("the id is that of another call")

// Offer takes a call from a caller. It fails if the id belongs to another call, which
// goes on as if nothing had come.
func (c *Manager) Offer(client Client, r Request) error {
	c.Requests++
	if k := c.calls[r.ID]; k != nil {
		if k.state == callEstablished || k.client == client || !k.matches(&r) {
			// Guards against a caller who would get the answer to another's call.
			c.ReusedIDs++
			c.notifyLimit(LimitReusedID, r.ID)
			return ErrReused
		}
		// A set-up that crossed the close of its connection is sent once more: it
		// is answered on the new connection and not started a second time.
		c.Repeated++
		c.notifyLimit(LimitRepeatedSetup, r.ID)
		k.client.CallForgotten(r.ID)
		k.client = client
		return nil
	}
	if c.completedCalls.has(r.ID) {
		// Every set-up has a new id. This one may have run already, and an attempt of it may
		// have been given up just now: it is neither sent again nor shown to the module.
		c.ReusedIDs++
		c.rejectUnplaced(client, &r, RejectedReusedID, CauseFailed)
		return nil
	}
	if c.unknownReleases.has(r.ID) {
		// It has been given up already: that came on another connection, and was read first.
		c.Abandoned++
		c.rejectUnplaced(client, &r, Abandoned, CauseFailed)
		return nil
	}
	if c.openCalls >= c.limits.OpenCalls || c.descriptionBytes+len(r.Description) > c.limits.DescriptionBytes {
		c.OverLimit++ // guards memory against callers who ask at full speed
		c.rejectUnplaced(client, &r, RejectedOverLimit, CauseNoCircuit)
		return nil
	}
	now := c.now()
	k := &call{Request: r, client: client, frontend: client.Frontend(), attempt: -1, offeredAt: now}
	if c.router != nil {
		if k.route = c.router.Route(now, &r); !k.route.Pending && k.route.rejects() {
			k.releaseRoute()
			c.ByPolicy++
			c.rejectUnplaced(client, &r, RejectedByPolicy, cmp.Or(k.route.Cause, CauseFailed))
			return nil
		}
		r.Table = k.route.Table
	}
	c.calls[r.ID] = k
	c.openCalls++
	c.descriptionBytes += len(r.Description)
	if c.observer != nil {
		c.observer.CallOffered(now, &r)
	}
	if k.route.Pending {
		k.state = callRouting
		c.scheduleDeadline(k)
		return nil
	}
	c.place(k)
	return nil
}

// place asks the module for a call.
func (c *Manager) place(k *call) {
	first := k.PreferredPool
	if len(k.route.Pools) > 0 {
		first = k.route.Pools[0]
	}
	c.apply(k, c.decider.Place(c.now(), admission.Request{CallID: k.ID, Class: k.Class, Number: k.Number,
		PreferredPool: first, Pools: k.route.Pools, Deadline: k.Deadline, Reestablish: k.Reestablish, Emergency: k.route.Emergency}))
}

// RouteResolved brings the word on a call whose number was looked up. Of a call that has ended meanwhile
// it changes nothing. What the call holds stays; the word's own Release does not count.
func (c *Manager) RouteResolved(id string, r Route) {
	k := c.calls[id]
	if k == nil || k.state != callRouting {
		return
	}
	k.state = callWaiting
	k.route.Pools, k.route.Cause, k.route.Emergency, k.route.Pending = r.Pools, r.Cause, r.Emergency, false
	if r.rejects() {
		c.ByPolicy++
		c.rejectCall(k, RejectedByPolicy, Canceled, cmp.Or(r.Cause, CauseFailed), r.RetryAfter)
		return
	}
	c.place(k)
}

// unplaced tells whether no attempt of an open call is out.
func (k *call) unplaced() bool { return k.state == callWaiting || k.state == callRouting }

// releaseRoute lets go of what the call is routed by.
func (k *call) releaseRoute() {
	if k.route.Release != nil {
		k.route.Release()
		k.route.Release = nil
	}
}

// RejectInvalid answers a set-up that can be read and makes no sense; no exchange is troubled with it.
func (c *Manager) RejectInvalid(client Client, r Request) {
	c.rejectUnplaced(client, &r, RejectedInvalid, CauseFailed)
}

// RejectShuttingDown answers a set-up that comes as the call controller ends.
func (c *Manager) RejectShuttingDown(client Client, r Request) {
	c.rejectUnplaced(client, &r, RejectedShuttingDown, CauseNoCircuit)
}

// rejectUnplaced answers a set-up that the module never hears of.
func (c *Manager) rejectUnplaced(client Client, r *Request, o Outcome, cause int) {
	if c.observer != nil {
		now := c.now()
		c.observer.CallOffered(now, r)
		c.observer.CallAnswered(now, &Answer{ID: r.ID, Class: r.Class, Outcome: o, Cause: cause})
	}
	client.CallRejected(r.ID, cause, 0)
}

// rejectCall gives the final answer to a call that does not stand.
func (c *Manager) rejectCall(k *call, o Outcome, e AttemptEnd, cause int, wait time.Duration) {
	c.endOpenCall(k, e)
	c.notifyAnswered(k, o, cause, wait)
	k.client.CallRejected(k.ID, cause, wait)
}

// notifyAnswered tells the observer of a call's final answer.
func (c *Manager) notifyAnswered(k *call, o Outcome, cause int, wait time.Duration) {
	if c.observer != nil {
		now := c.now()
		c.observer.CallAnswered(now, &Answer{ID: k.ID, Class: k.Class, Outcome: o, Cause: cause, RetryAfter: wait,
			Elapsed: now - k.offeredAt, Server: k.server, Attempts: k.attempt + 1})
	}
}

func (c *Manager) notifyLimit(l Limit, id string) {
	if c.observer != nil {
		c.observer.LimitReached(c.now(), l, id)
	}
}

// matches tells whether a set-up says what the call's own said.
func (k *call) matches(r *Request) bool {
	return k.Class == r.Class && k.Number == r.Number && k.PreferredPool == r.PreferredPool && k.Reestablish == r.Reestablish &&
		bytes.Equal(k.Description, r.Description)
}

// settleAnswer takes a call off those whose final answer is owed.
func (c *Manager) settleAnswer(k *call) {
	c.openCalls--
	c.descriptionBytes -= len(k.Description)
	k.Description = nil
}

// apply carries out the module's word on a call.
func (c *Manager) apply(k *call, o admission.Decision) {
	if c.observer != nil && o.Kind != admission.None {
		c.observer.Decided(c.now(), &o)
	}
	switch o.Kind {
	case admission.Send:
		c.startAttempt(k, o)
	case admission.Reject:
		if c.answerable(k) {
			c.Rejected++
			c.rejectCall(k, Rejected, Canceled, CauseNoCircuit, o.Wait)
		}
	case admission.Fail:
		if c.answerable(k) {
			c.Failed++
			c.rejectCall(k, Failed, TimedOut, CauseFailed, o.Wait)
		}
	case admission.Cancel:
		if k.state == callAttempting && o.Attempt == k.attempt {
			c.cancelAttempt(k, Canceled)
		}
	}
	if k.state == callWaiting && c.calls[k.ID] == k {
		c.scheduleDeadline(k)
	}
}

// scheduleDeadline has a call without an attempt looked at when its caller's time is over. It guards against a
// look-up of which nothing is heard any more, and a module that forgets a call.
func (c *Manager) scheduleDeadline(k *call) {
	heap.Push(&c.timers, deadline{at: k.Deadline, call: k, attempt: k.attempt})
}

// failExpired answers a call whose caller's time is over.
func (c *Manager) failExpired(k *call) {
	c.Failed++
	c.rejectCall(k, Failed, TimedOut, CauseFailed, 0)
}

// answerable guards against a second final answer.
func (c *Manager) answerable(k *call) bool { return c.calls[k.ID] == k && k.state != callEstablished }

func (c *Manager) startAttempt(k *call, o admission.Decision) {
	if k.state != callWaiting || c.calls[k.ID] != k {
		return // guards against a second attempt while one is out or the call is over
	}
	now := c.now()
	if now >= k.Deadline { // guards against a module that would try for ever: the attempt would end as it begins
		c.failExpired(k)
		return
	}
	k.state, k.server, k.sentAt = callAttempting, o.Server, now
	k.attempt++
	k.expires = min(now+o.Wait, k.Deadline)
	c.Attempts++
	heap.Push(&c.timers, deadline{at: k.expires, call: k, attempt: k.attempt})
	s := Setup{ID: k.ID, Class: k.Class, Number: k.Number, Attempt: k.attempt,
		Timeout: k.expires - now, Deadline: k.expires, Description: k.Description}
	if c.observer != nil {
		c.observer.AttemptStarted(now, k.server, &s)
	}
	c.backends.Invite(k.server, s)
}

// cancelAttempt ends the attempt that is out from this side and tells the module.
func (c *Manager) cancelAttempt(k *call, e AttemptEnd) {
	c.Cancels++
	if c.backends.Cancel(k.server, k.ID, k.attempt) {
		e = NotSent
	}
	c.endAttempt(k, e, false)
}

// endAttempt tells the module that the attempt that is out has ended, and goes on with the call.
func (c *Manager) endAttempt(k *call, e AttemptEnd, final bool) {
	c.Ends[e]++
	k.state = callWaiting
	code, cause := e.admissionResult()
	k.mayHaveRun = k.mayHaveRun || code.MayHaveRun()
	now := c.now()
	if c.observer != nil {
		c.observer.AttemptEnded(now, k.server, k.ID, k.attempt, e, now-k.sentAt)
	}
	o := c.decider.Report(now, admission.AttemptReport{CallID: k.ID, Server: k.server, Attempt: k.attempt,
		Kind: admission.ReportEnded, Result: code, Cause: cause, Elapsed: now - k.sentAt, Final: final})
	if !final {
		c.apply(k, o)
	}
}

// endOpenCall ends a call that does not stand. An attempt that is still out is given up.
func (c *Manager) endOpenCall(k *call, e AttemptEnd) {
	delete(c.calls, k.ID)
	k.releaseRoute()
	c.completedCalls.add(k.ID, c.now()+completedCallRetention)
	c.settleAnswer(k)
	if k.state == callAttempting {
		c.Cancels++
		if c.backends.Cancel(k.server, k.ID, k.attempt) {
			e = NotSent
		}
		c.endAttempt(k, e, true)
	}
}

// ReleaseByCaller takes a caller's release, also of a set-up that is open and on whatever
// connection it comes. It tells whether the call was known to stand.
func (c *Manager) ReleaseByCaller(id string, cause int) (stood bool) {
	k := c.calls[id]
	switch {
	case k == nil:
		if c.completedCalls.has(id) || c.unknownReleases.has(id) {
			return false // it crossed our release, or comes twice
		}
		// After a restart nothing is known of calls that stand; the exchange must hear of it.
		// So many a second at the most: exchanges must not pay for callers who make up ids.
		if now := c.now(); now-c.unknownReleaseWindow > time.Second {
			c.unknownReleaseWindow, c.unknownReleaseCount = now, 0
		}
		if c.unknownReleaseCount++; c.unknownReleaseCount > maxUnknownReleasesPerSecond {
			c.UnknownReleasesDropped++
			c.notifyLimit(LimitUnknownRelease, id)
			return true
		}
		c.ReleasedUnknown++
		c.unknownReleases.add(id, c.now()+completedCallRetention)
		c.backends.ReleaseEverywhere(id, cause)
		return true
	case k.state == callEstablished:
		c.ReleasedByCaller++
		c.backends.Release(k.server, id, k.attempt, cause)
		c.endEstablished(k, CallerReleased, cause)
		return true
	}
	c.abandonCall(k)
	return false
}

// reportAbandoned tells the module that a call's caller waits no more, if it has heard of the call.
func (c *Manager) reportAbandoned(k *call) {
	if k.state != callRouting {
		c.decider.Report(c.now(), admission.AttemptReport{CallID: k.ID, Kind: admission.ReportAbandoned})
	}
}

// abandonCall ends a set-up whose caller no longer waits; no answer is owed.
func (c *Manager) abandonCall(k *call) {
	c.Abandoned++
	c.reportAbandoned(k)
	c.endOpenCall(k, CallerReleased)
	k.client.CallForgotten(k.ID)
	c.notifyAnswered(k, Abandoned, 0, 0)
}

// CallerDisconnected gives up the set-ups that are open on a caller's connection. Calls that
// stand belong to no connection.
func (c *Manager) CallerDisconnected(client Client) {
	for _, k := range c.callsWhere(func(k *call) bool { return k.client == client && k.state != callEstablished }) {
		c.abandonCall(k)
	}
}

// callsWhere lists calls in the order in which they came, so that what is done to them does not hang on
// the order of a map: a run in virtual time repeats to the byte.
func (c *Manager) callsWhere(is func(*call) bool) (all []*call) {
	for _, k := range c.calls {
		if is(k) {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, func(a, b *call) int { return cmp.Or(cmp.Compare(a.offeredAt, b.offeredAt), cmp.Compare(a.ID, b.ID)) })
	return all
}

// AttemptAnswered takes an exchange's answer to a set-up.
func (c *Manager) AttemptAnswered(server, id string, attempt int, description []byte) {
	k := c.calls[id]
	if k == nil || k.state != callAttempting || k.server != server || k.attempt != attempt {
		if k != nil && k.state == callEstablished && k.server == server && k.attempt == attempt {
			return // repeated
		}
		// It crossed our CANCEL: the exchange must not hold the line, and the
		// caller must not get a second answer.
		c.LateAnswers++
		c.backends.Release(server, id, attempt, CauseNormal)
		return
	}
	now := c.now()
	k.state, k.establishedAt = callEstablished, now
	c.decider.Report(now, admission.AttemptReport{CallID: id, Server: server, Attempt: attempt,
		Kind: admission.ReportEstablished, Elapsed: now - k.sentAt})
	c.Established++
	c.notifyAnswered(k, Established, 0, 0)
	k.client.CallEstablished(id, description)
	c.settleAnswer(k)
}

// AttemptEnded takes the end of a set-up that did not come to stand.
func (c *Manager) AttemptEnded(server, id string, attempt int, e AttemptEnd) {
	k := c.calls[id]
	if k == nil || k.state != callAttempting || k.server != server || k.attempt != attempt {
		return // it was given up before
	}
	c.endAttempt(k, e, false)
}

// BackendReleased takes an exchange's release of a call that stands, or of one that
// this call controller has forgotten by a restart.
func (c *Manager) BackendReleased(server, id string, cause int, fronts ...Frontend) {
	k := c.calls[id]
	switch {
	case k == nil:
		if c.completedCalls.has(id) || c.unknownReleases.has(id) {
			return // it comes again on the next connection that is opened
		}
		c.ReleasedUnknown++
		c.unknownReleases.add(id, c.now()+completedCallRetention)
		for _, f := range fronts {
			f.NotifyRelease(nil, id, cause)
		}
	case k.server != server:
		return // an earlier attempt's, given up since
	case k.state == callEstablished:
		c.ReleasedByBackend++
		e := Completed
		if cause != CauseNormal {
			e = EndedByFault
		}
		c.endEstablished(k, e, cause)
		k.frontend.NotifyRelease(k.client, id, cause)
	case k.state == callAttempting:
		// Released before it was answered. It may be the release of an earlier attempt there, whose
		// answer was lost: the one that is out is given up, or the next would be a second one.
		c.Cancels++
		c.backends.Cancel(server, id, k.attempt)
		c.endAttempt(k, FailedInTransit, false)
	}
}

func (c *Manager) endEstablished(k *call, e AttemptEnd, cause int) {
	if c.observer != nil {
		now := c.now()
		c.observer.CallReleased(now, &Release{ID: k.ID, Class: k.Class, Server: k.server, Cause: cause, End: e, Duration: now - k.establishedAt})
	}
	delete(c.calls, k.ID)
	k.releaseRoute()
	c.completedCalls.add(k.ID, c.now()+completedCallRetention)
	c.endAttempt(k, e, true)
}

// BackendOf tells at which exchange a call stands, "" if it does not.
func (c *Manager) BackendOf(id string) string {
	if k := c.calls[id]; k != nil && k.state == callEstablished {
		return k.server
	}
	return ""
}

// BackendRestarted cuts the calls that have stood at an exchange since before a time: its
// process is known to have ended since, and no release will come from it.
func (c *Manager) BackendRestarted(server string, before Time) {
	c.dropEstablished(server, before, false)
}

// BackendRemoved cuts the calls that stand at an exchange that is not to be used any more. It may live on
// all the same, and must not hold their lines then.
func (c *Manager) BackendRemoved(server string) { c.dropEstablished(server, c.now()+1, true) }

func (c *Manager) dropEstablished(server string, before Time, alive bool) {
	for _, k := range c.callsWhere(func(k *call) bool {
		return k.server == server && k.state == callEstablished && k.establishedAt < before
	}) {
		if alive {
			c.backends.Release(server, k.ID, k.attempt, CauseFailed)
		}
		c.endEstablished(k, BackendLost, CauseFailed)
		k.frontend.NotifyRelease(k.client, k.ID, CauseFailed)
	}
}

// UpdateServers tells the module of the exchanges.
func (c *Manager) UpdateServers(servers []admission.Server, full bool) {
	c.decider.UpdateServers(c.now(), servers, full)
}

// LoadReported passes on what an exchange says of its lines.
func (c *Manager) LoadReported(server string, load admission.LoadReport) {
	c.decider.Report(c.now(), admission.AttemptReport{Server: server, Kind: admission.ReportLoad, Load: load})
}

// Tick does what is due.
func (c *Manager) Tick() {
	now := c.now()
	var held []*call // by the module or a look-up, past their time
	for len(c.timers) > 0 && c.timers[0].at <= now {
		t := heap.Pop(&c.timers).(deadline)
		switch k := t.call; {
		case c.calls[k.ID] != k:
		case k.state == callAttempting && k.attempt == t.attempt:
			c.cancelAttempt(k, TimedOut)
		case k.unplaced() && now >= k.Deadline:
			held = append(held, k)
		}
	}
	for _, o := range c.decider.Tick(now) {
		if k := c.calls[o.CallID]; k != nil {
			c.apply(k, o)
		}
	}
	for _, k := range held { // the module's word, which may ask the caller to wait, comes first
		if k.unplaced() && c.calls[k.ID] == k {
			c.reportAbandoned(k)
			c.failExpired(k)
		}
	}
	c.completedCalls.sweep(now)
	c.unknownReleases.sweep(now)
}

// NextDeadline is when Tick is due.
func (c *Manager) NextDeadline() Time {
	if len(c.timers) > 0 {
		return min(c.timers[0].at, c.decider.NextDeadline())
	}
	return c.decider.NextDeadline()
}

// RejectOpenCalls answers whatever is still open, at the end of an orderly stop.
func (c *Manager) RejectOpenCalls() {
	for _, k := range c.callsWhere(func(k *call) bool { return k.state != callEstablished }) {
		c.Rejected++
		cause := CauseNoCircuit
		if c.endOpenCall(k, ShuttingDown); k.mayHaveRun && k.RepeatUnsafe { // against a caller who is told that trying again is harmless
			cause = CauseFailed
		}
		c.notifyAnswered(k, RejectedShuttingDown, cause, 0)
		k.client.CallRejected(k.ID, cause, 0)
	}
}

// A deadline ends an attempt.
type deadline struct {
	at      Time
	call    *call
	attempt int
}

type deadlineHeap []deadline

func (t deadlineHeap) Len() int           { return len(t) }
func (t deadlineHeap) Less(i, j int) bool { return t[i].at < t[j].at }
func (t deadlineHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *deadlineHeap) Push(x any)        { *t = append(*t, x.(deadline)) }
func (t *deadlineHeap) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = deadline{}
	*t = old[:len(old)-1]
	return x
}
