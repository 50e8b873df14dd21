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

// refuses tells whether the word is that the call is refused.
func (r *Route) refuses() bool { return r.Cause != 0 || len(r.Pools) == 0 }

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
	Ends                                                         [ends]int
}

type state int

const (
	waiting  state = iota // no attempt is out
	trying                // one attempt is out
	standing              // the call stands
	routing               // its number is looked up; the module has not heard of it
)

// A call is open from its set-up until its final answer, or its release if it stood.
type call struct {
	Request
	client  Client
	front   Frontend
	asked   Time
	route   Route
	state   state
	server  string
	attempt int
	sent    Time
	expires Time // of the attempt that is out
	ran     bool // an attempt may have run
	stood   Time
}

// memory is how long the ids of calls that are over are remembered. It covers
// releases that cross each other or come twice.
const memory = 30 * time.Second

// aliensASecond bounds the releases of unknown calls that go to the exchanges. After a
// restart in the middle of a mass cut all of a node's calls may be released at once.
const aliensASecond = 256

// A Manager decides nothing about routes; it keeps the rules of one final answer
// and of one attempt at a time whatever the two sides do.
type Manager struct {
	desk   Decider
	watch  Observer // nil: none
	router Router   // nil: calls go by their pool of first choice
	out    Backends
	now    func() Time
	calls  map[string]*call
	timers timers
	over   *recent // calls that are over
	alien  *recent // calls that were released and never known here
	limits Limits
	open   int // calls whose final answer is owed
	bytes  int // of their descriptions

	aliens   int // releases of unknown calls since aliensAt
	aliensAt Time
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
	return &Manager{desk: desk, out: out, now: now, limits: limits, calls: make(map[string]*call),
		over: newRecent(limits.CompletedIDs), alien: newRecent(limits.CompletedIDs)}
}

// SetObserver has o told of everything from now on; nil ends it.
func (c *Manager) SetObserver(o Observer) { c.watch = o }

// SetRouter has calls routed by their numbers from now on; nil ends it.
func (c *Manager) SetRouter(r Router) { c.router = r }

// OpenCalls counts the calls whose final answer is still owed.
func (c *Manager) OpenCalls() int { return c.open }

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
		if k.state == standing || k.client == client || !k.same(&r) {
			// Guards against a caller who would get the answer to another's call.
			c.ReusedIDs++
			c.limited(LimitReusedID, r.ID)
			return ErrReused
		}
		// A set-up that crossed the close of its connection is sent once more: it
		// is answered on the new connection and not started a second time.
		c.Repeated++
		c.limited(LimitRepeatedSetup, r.ID)
		k.client.CallForgotten(r.ID)
		k.client = client
		return nil
	}
	if c.over.has(r.ID) {
		// Every set-up has a new id. This one may have run already, and an attempt of it may
		// have been given up just now: it is neither sent again nor shown to the module.
		c.ReusedIDs++
		c.turnAway(client, &r, RejectedReusedID, CauseFailed)
		return nil
	}
	if c.alien.has(r.ID) {
		// It has been given up already: that came on another connection, and was read first.
		c.Abandoned++
		c.turnAway(client, &r, Abandoned, CauseFailed)
		return nil
	}
	if c.open >= c.limits.OpenCalls || c.bytes+len(r.Description) > c.limits.DescriptionBytes {
		c.OverLimit++ // guards memory against callers who ask at full speed
		c.turnAway(client, &r, RejectedOverLimit, CauseNoCircuit)
		return nil
	}
	now := c.now()
	k := &call{Request: r, client: client, front: client.Frontend(), attempt: -1, asked: now}
	if c.router != nil {
		if k.route = c.router.Route(now, &r); !k.route.Pending && k.route.refuses() {
			k.release()
			c.ByPolicy++
			c.turnAway(client, &r, RejectedByPolicy, cmp.Or(k.route.Cause, CauseFailed))
			return nil
		}
		r.Table = k.route.Table
	}
	c.calls[r.ID] = k
	c.open++
	c.bytes += len(r.Description)
	if c.watch != nil {
		c.watch.CallOffered(now, &r)
	}
	if k.route.Pending {
		k.state = routing
		c.mind(k)
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
	c.obey(k, c.desk.Place(c.now(), admission.Request{CallID: k.ID, Class: k.Class, Number: k.Number,
		PreferredPool: first, Pools: k.route.Pools, Deadline: k.Deadline, Reestablish: k.Reestablish, Emergency: k.route.Emergency}))
}

// RouteResolved brings the word on a call whose number was looked up. Of a call that has ended meanwhile
// it changes nothing. What the call holds stays; the word's own Release does not count.
func (c *Manager) RouteResolved(id string, r Route) {
	k := c.calls[id]
	if k == nil || k.state != routing {
		return
	}
	k.state = waiting
	k.route.Pools, k.route.Cause, k.route.Emergency, k.route.Pending = r.Pools, r.Cause, r.Emergency, false
	if r.refuses() {
		c.ByPolicy++
		c.refuse(k, RejectedByPolicy, Canceled, cmp.Or(r.Cause, CauseFailed), r.RetryAfter)
		return
	}
	c.place(k)
}

// unplaced tells whether no attempt of an open call is out.
func (k *call) unplaced() bool { return k.state == waiting || k.state == routing }

// release lets go of what the call is routed by.
func (k *call) release() {
	if k.route.Release != nil {
		k.route.Release()
		k.route.Release = nil
	}
}

// RejectInvalid answers a set-up that can be read and makes no sense; no exchange is troubled with it.
func (c *Manager) RejectInvalid(client Client, r Request) {
	c.turnAway(client, &r, RejectedInvalid, CauseFailed)
}

// RejectShuttingDown answers a set-up that comes as the call controller ends.
func (c *Manager) RejectShuttingDown(client Client, r Request) {
	c.turnAway(client, &r, RejectedShuttingDown, CauseNoCircuit)
}

// turnAway answers a set-up that the module never hears of.
func (c *Manager) turnAway(client Client, r *Request, o Outcome, cause int) {
	if c.watch != nil {
		now := c.now()
		c.watch.CallOffered(now, r)
		c.watch.CallAnswered(now, &Answer{ID: r.ID, Class: r.Class, Outcome: o, Cause: cause})
	}
	client.CallRejected(r.ID, cause, 0)
}

// refuse gives the final answer to a call that does not stand.
func (c *Manager) refuse(k *call, o Outcome, e AttemptEnd, cause int, wait time.Duration) {
	c.finish(k, e)
	c.tell(k, o, cause, wait)
	k.client.CallRejected(k.ID, cause, wait)
}

// tell tells the observer of a call's final answer.
func (c *Manager) tell(k *call, o Outcome, cause int, wait time.Duration) {
	if c.watch != nil {
		now := c.now()
		c.watch.CallAnswered(now, &Answer{ID: k.ID, Class: k.Class, Outcome: o, Cause: cause, RetryAfter: wait,
			Elapsed: now - k.asked, Server: k.server, Attempts: k.attempt + 1})
	}
}

func (c *Manager) limited(l Limit, id string) {
	if c.watch != nil {
		c.watch.LimitReached(c.now(), l, id)
	}
}

// same tells whether a set-up says what the call's own said.
func (k *call) same(r *Request) bool {
	return k.Class == r.Class && k.Number == r.Number && k.PreferredPool == r.PreferredPool && k.Reestablish == r.Reestablish &&
		bytes.Equal(k.Description, r.Description)
}

// answered takes a call off those whose final answer is owed.
func (c *Manager) answered(k *call) {
	c.open--
	c.bytes -= len(k.Description)
	k.Description = nil
}

// obey carries out the module's word on a call.
func (c *Manager) obey(k *call, o admission.Decision) {
	if c.watch != nil && o.Kind != admission.None {
		c.watch.Decided(c.now(), &o)
	}
	switch o.Kind {
	case admission.Send:
		c.try(k, o)
	case admission.Reject:
		if c.answerable(k) {
			c.Rejected++
			c.refuse(k, Rejected, Canceled, CauseNoCircuit, o.Wait)
		}
	case admission.Fail:
		if c.answerable(k) {
			c.Failed++
			c.refuse(k, Failed, TimedOut, CauseFailed, o.Wait)
		}
	case admission.Cancel:
		if k.state == trying && o.Attempt == k.attempt {
			c.give(k, Canceled)
		}
	}
	if k.state == waiting && c.calls[k.ID] == k {
		c.mind(k)
	}
}

// mind has a call without an attempt looked at when its caller's time is over. It guards against a
// look-up of which nothing is heard any more, and a module that forgets a call.
func (c *Manager) mind(k *call) {
	heap.Push(&c.timers, timer{at: k.Deadline, call: k, attempt: k.attempt})
}

// expire answers a call whose caller's time is over.
func (c *Manager) expire(k *call) {
	c.Failed++
	c.refuse(k, Failed, TimedOut, CauseFailed, 0)
}

// answerable guards against a second final answer.
func (c *Manager) answerable(k *call) bool { return c.calls[k.ID] == k && k.state != standing }

func (c *Manager) try(k *call, o admission.Decision) {
	if k.state != waiting || c.calls[k.ID] != k {
		return // guards against a second attempt while one is out or the call is over
	}
	now := c.now()
	if now >= k.Deadline { // guards against a module that would try for ever: the attempt would end as it begins
		c.expire(k)
		return
	}
	k.state, k.server, k.sent = trying, o.Server, now
	k.attempt++
	k.expires = min(now+o.Wait, k.Deadline)
	c.Attempts++
	heap.Push(&c.timers, timer{at: k.expires, call: k, attempt: k.attempt})
	s := Setup{ID: k.ID, Class: k.Class, Number: k.Number, Attempt: k.attempt,
		Timeout: k.expires - now, Deadline: k.expires, Description: k.Description}
	if c.watch != nil {
		c.watch.AttemptStarted(now, k.server, &s)
	}
	c.out.Invite(k.server, s)
}

// give ends the attempt that is out from this side and tells the module.
func (c *Manager) give(k *call, e AttemptEnd) {
	c.Cancels++
	if c.out.Cancel(k.server, k.ID, k.attempt) {
		e = NotSent
	}
	c.endAttempt(k, e, false)
}

// endAttempt tells the module that the attempt that is out has ended, and goes on with the call.
func (c *Manager) endAttempt(k *call, e AttemptEnd, final bool) {
	c.Ends[e]++
	k.state = waiting
	code, cause := e.outcome()
	k.ran = k.ran || code.MayHaveRun()
	now := c.now()
	if c.watch != nil {
		c.watch.AttemptEnded(now, k.server, k.ID, k.attempt, e, now-k.sent)
	}
	o := c.desk.Report(now, admission.AttemptReport{CallID: k.ID, Server: k.server, Attempt: k.attempt,
		Kind: admission.ReportEnded, Result: code, Cause: cause, Elapsed: now - k.sent, Final: final})
	if !final {
		c.obey(k, o)
	}
}

// finish ends a call that does not stand. An attempt that is still out is given up.
func (c *Manager) finish(k *call, e AttemptEnd) {
	delete(c.calls, k.ID)
	k.release()
	c.over.add(k.ID, c.now()+memory)
	c.answered(k)
	if k.state == trying {
		c.Cancels++
		if c.out.Cancel(k.server, k.ID, k.attempt) {
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
		if c.over.has(id) || c.alien.has(id) {
			return false // it crossed our release, or comes twice
		}
		// After a restart nothing is known of calls that stand; the exchange must hear of it.
		// So many a second at the most: exchanges must not pay for callers who make up ids.
		if now := c.now(); now-c.aliensAt > time.Second {
			c.aliensAt, c.aliens = now, 0
		}
		if c.aliens++; c.aliens > aliensASecond {
			c.UnknownReleasesDropped++
			c.limited(LimitUnknownRelease, id)
			return true
		}
		c.ReleasedUnknown++
		c.alien.add(id, c.now()+memory)
		c.out.ReleaseEverywhere(id, cause)
		return true
	case k.state == standing:
		c.ReleasedByCaller++
		c.out.Release(k.server, id, k.attempt, cause)
		c.endStanding(k, CallerReleased, cause)
		return true
	}
	c.leave(k)
	return false
}

// left tells the module that a call's caller waits no more, if it has heard of the call.
func (c *Manager) left(k *call) {
	if k.state != routing {
		c.desk.Report(c.now(), admission.AttemptReport{CallID: k.ID, Kind: admission.ReportAbandoned})
	}
}

// leave ends a set-up whose caller no longer waits; no answer is owed.
func (c *Manager) leave(k *call) {
	c.Abandoned++
	c.left(k)
	c.finish(k, CallerReleased)
	k.client.CallForgotten(k.ID)
	c.tell(k, Abandoned, 0, 0)
}

// CallerDisconnected gives up the set-ups that are open on a caller's connection. Calls that
// stand belong to no connection.
func (c *Manager) CallerDisconnected(client Client) {
	for _, k := range c.each(func(k *call) bool { return k.client == client && k.state != standing }) {
		c.leave(k)
	}
}

// each lists calls in the order in which they came, so that what is done to them does not hang on
// the order of a map: a run in virtual time repeats to the byte.
func (c *Manager) each(is func(*call) bool) (all []*call) {
	for _, k := range c.calls {
		if is(k) {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, func(a, b *call) int { return cmp.Or(cmp.Compare(a.asked, b.asked), cmp.Compare(a.ID, b.ID)) })
	return all
}

// AttemptAnswered takes an exchange's answer to a set-up.
func (c *Manager) AttemptAnswered(server, id string, attempt int, description []byte) {
	k := c.calls[id]
	if k == nil || k.state != trying || k.server != server || k.attempt != attempt {
		if k != nil && k.state == standing && k.server == server && k.attempt == attempt {
			return // repeated
		}
		// It crossed our CANCEL: the exchange must not hold the line, and the
		// caller must not get a second answer.
		c.LateAnswers++
		c.out.Release(server, id, attempt, CauseNormal)
		return
	}
	now := c.now()
	k.state, k.stood = standing, now
	c.desk.Report(now, admission.AttemptReport{CallID: id, Server: server, Attempt: attempt,
		Kind: admission.ReportEstablished, Elapsed: now - k.sent})
	c.Established++
	c.tell(k, Established, 0, 0)
	k.client.CallEstablished(id, description)
	c.answered(k)
}

// AttemptEnded takes the end of a set-up that did not come to stand.
func (c *Manager) AttemptEnded(server, id string, attempt int, e AttemptEnd) {
	k := c.calls[id]
	if k == nil || k.state != trying || k.server != server || k.attempt != attempt {
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
		if c.over.has(id) || c.alien.has(id) {
			return // it comes again on the next connection that is opened
		}
		c.ReleasedUnknown++
		c.alien.add(id, c.now()+memory)
		for _, f := range fronts {
			f.NotifyRelease(nil, id, cause)
		}
	case k.server != server:
		return // an earlier attempt's, given up since
	case k.state == standing:
		c.ReleasedByBackend++
		e := Completed
		if cause != CauseNormal {
			e = EndedByFault
		}
		c.endStanding(k, e, cause)
		k.front.NotifyRelease(k.client, id, cause)
	case k.state == trying:
		// Released before it was answered. It may be the release of an earlier attempt there, whose
		// answer was lost: the one that is out is given up, or the next would be a second one.
		c.Cancels++
		c.out.Cancel(server, id, k.attempt)
		c.endAttempt(k, FailedInTransit, false)
	}
}

func (c *Manager) endStanding(k *call, e AttemptEnd, cause int) {
	if c.watch != nil {
		now := c.now()
		c.watch.CallReleased(now, &Release{ID: k.ID, Class: k.Class, Server: k.server, Cause: cause, End: e, Duration: now - k.stood})
	}
	delete(c.calls, k.ID)
	k.release()
	c.over.add(k.ID, c.now()+memory)
	c.endAttempt(k, e, true)
}

// BackendOf tells at which exchange a call stands, "" if it does not.
func (c *Manager) BackendOf(id string) string {
	if k := c.calls[id]; k != nil && k.state == standing {
		return k.server
	}
	return ""
}

// BackendRestarted cuts the calls that have stood at an exchange since before a time: its
// process is known to have ended since, and no release will come from it.
func (c *Manager) BackendRestarted(server string, before Time) { c.lost(server, before, false) }

// BackendRemoved cuts the calls that stand at an exchange that is not to be used any more. It may live on
// all the same, and must not hold their lines then.
func (c *Manager) BackendRemoved(server string) { c.lost(server, c.now()+1, true) }

func (c *Manager) lost(server string, before Time, alive bool) {
	for _, k := range c.each(func(k *call) bool { return k.server == server && k.state == standing && k.stood < before }) {
		if alive {
			c.out.Release(server, k.ID, k.attempt, CauseFailed)
		}
		c.endStanding(k, BackendLost, CauseFailed)
		k.front.NotifyRelease(k.client, k.ID, CauseFailed)
	}
}

// UpdateServers tells the module of the exchanges.
func (c *Manager) UpdateServers(servers []admission.Server, full bool) {
	c.desk.UpdateServers(c.now(), servers, full)
}

// LoadReported passes on what an exchange says of its lines.
func (c *Manager) LoadReported(server string, load admission.LoadReport) {
	c.desk.Report(c.now(), admission.AttemptReport{Server: server, Kind: admission.ReportLoad, Load: load})
}

// Tick does what is due.
func (c *Manager) Tick() {
	now := c.now()
	var held []*call // by the module or a look-up, past their time
	for len(c.timers) > 0 && c.timers[0].at <= now {
		t := heap.Pop(&c.timers).(timer)
		switch k := t.call; {
		case c.calls[k.ID] != k:
		case k.state == trying && k.attempt == t.attempt:
			c.give(k, TimedOut)
		case k.unplaced() && now >= k.Deadline:
			held = append(held, k)
		}
	}
	for _, o := range c.desk.Tick(now) {
		if k := c.calls[o.CallID]; k != nil {
			c.obey(k, o)
		}
	}
	for _, k := range held { // the module's word, which may ask the caller to wait, comes first
		if k.unplaced() && c.calls[k.ID] == k {
			c.left(k)
			c.expire(k)
		}
	}
	c.over.sweep(now)
	c.alien.sweep(now)
}

// NextDeadline is when Tick is due.
func (c *Manager) NextDeadline() Time {
	if len(c.timers) > 0 {
		return min(c.timers[0].at, c.desk.NextDeadline())
	}
	return c.desk.NextDeadline()
}

// RejectOpenCalls answers whatever is still open, at the end of an orderly stop.
func (c *Manager) RejectOpenCalls() {
	for _, k := range c.each(func(k *call) bool { return k.state != standing }) {
		c.Rejected++
		cause := CauseNoCircuit
		if c.finish(k, ShuttingDown); k.ran && k.RepeatUnsafe { // against a caller who is told that trying again is harmless
			cause = CauseFailed
		}
		c.tell(k, RejectedShuttingDown, cause, 0)
		k.client.CallRejected(k.ID, cause, 0)
	}
}

// A timer ends an attempt.
type timer struct {
	at      Time
	call    *call
	attempt int
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}
