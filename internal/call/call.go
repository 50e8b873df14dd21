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
	Pick(now Time, r admission.Request) admission.Order
	Report(now Time, p admission.Progress) admission.Order
	Tick(now Time) []admission.Order
	Next() Time
	List(now Time, servers []admission.Server, full bool)
}

// A Client is the connection on which a set-up came; it gets the answer.
type Client interface {
	Stands(id string, description []byte)
	Refused(id string, cause int, wait time.Duration)
	// Waived tells that no answer is owed here any more: the caller has given the set-up up, or
	// waits for its answer on another connection.
	Waived(id string)
	Front() Front
}

// A Front is one dialect towards callers. What ends a call that stands goes out
// on any of its connections, for no connection owns such a call; asker is the one
// that asked for the call, nil if it is not known.
type Front interface {
	Release(asker Client, id string, cause int)
}

// A Setup is what an exchange is told of a call.
type Setup struct {
	ID, Class, Number string
	Attempt           int
	Wait              time.Duration // from now
	Expires           Time          // then nobody waits for it any more
	Description       []byte
}

// Exchanges carries set-ups and releases to the exchanges.
type Exchanges interface {
	// Invite sends a set-up or queues it until the link is up. Whatever becomes
	// of it comes back by Answered or Ended, never from within Invite.
	Invite(server string, s Setup)
	// Cancel gives a set-up up; unsent tells that it had not been written.
	Cancel(server, id string, attempt int) (unsent bool)
	// Release ends a call at an exchange that answered it.
	Release(server, id string, attempt, cause int)
	// ReleaseAnywhere ends a call that stands at an exchange nobody remembers.
	ReleaseAnywhere(id string, cause int)
}

// A Request is a set-up from a caller.
type Request struct {
	ID, Class, Number string
	First             int
	Until             Time
	Cut               bool // it stood, was cut and comes again
	Once              bool // its class's calls may not simply run twice
	Description       []byte
	Table             string // that it is routed by, set by the Core; "": none
}

// An Observer is told what happens to calls, in the order it happens. It must not block and
// must not call the Core.
type Observer interface {
	// SetUp tells of a set-up that was taken; its answer follows in any case.
	SetUp(now Time, r *Request)
	// Ordered tells the module's word on a call.
	Ordered(now Time, o *admission.Order)
	// Tried tells that an attempt starts.
	Tried(now Time, server string, s *Setup)
	// AttemptEnded tells how the attempt that was out has ended, also where it had stood.
	AttemptEnded(now Time, server, id string, attempt int, e End, took time.Duration)
	// Answered tells the one final answer.
	Answered(now Time, a *Answer)
	// Released tells that a call that stood is over.
	Released(now Time, r *Release)
	// Limited tells that something was turned away or passed over that got no answer of its own.
	Limited(now Time, l Limit, id string)
}

// A Router says, by the number called, to which pools a call may go. Like the module it is
// asked on the loop and must not block.
type Router interface {
	// Route decides on a set-up. What it decides by stays the same for the call: it is held until
	// Release of the Routing.
	Route(now Time, r *Request) Routing
}

// A Routing is a Router's word on one call.
type Routing struct {
	Pools   []int  // the preferred first
	Cause   int    // of Q.850: the call is refused at once; 0: it is not
	Table   string // what it was decided by, for the records
	Release func() // ends the hold; nil: there is none
	// Pending tells that the number is being looked up: Core.Routed brings the word. Release ends
	// that as well, if the call ends before.
	Pending bool
	Urgent  bool          // an emergency: the module takes it before others
	Wait    time.Duration // of a refusal: the caller is asked to keep away for; 0: not
}

// refuses tells whether the word is that the call is refused.
func (r *Routing) refuses() bool { return r.Cause != 0 || len(r.Pools) == 0 }

// An Outcome is how a set-up came to its final answer.
type Outcome int

// Outcomes. Refused and Failed as the module says. Those from Crowded on are answered
// without it, and the module never hears of all but Stopped.
const (
	Stood Outcome = iota
	Refused
	Failed
	GivenUp    // by the caller: no answer is owed
	Crowded    // past the Limits
	Reused     // under the id of a call that is over
	Impossible // to a pool the class may not go to, or too wide
	Barred     // by its number
	HaltedOpen // still open at the end of an orderly stop
)

// An Answer is the end of a set-up.
type Answer struct {
	ID, Class string
	Outcome   Outcome
	Cause     int
	Wait      time.Duration // the caller is asked to keep away for; 0: not
	Took      time.Duration // since the set-up came
	Server    string        // where the call stands, or its last attempt was
	Attempts  int
}

// A Release is the end of a call that stood.
type Release struct {
	ID, Class, Server string
	Cause             int
	End               End // Completed, Cut, CallerLeft or ExchangeLost
	Stood             time.Duration
}

// A Limit is a reason to turn something away.
type Limit int

// Limits that were met.
const (
	RepeatedSetUp  Limit = iota // the set-up of an open call came again: it is not started twice
	ReusedID                    // the id is that of another call
	UnknownRelease              // too many releases of calls that nobody knows
)

// Counters count what the core takes in, sends and answers.
type Counters struct {
	Requests, Stood, Refused, Failed, GivenUp, Repeated   int
	Reused, Crowded, Barred, AliensDropped                int
	Attempts, Cancels, LateAnswers                        int
	ReleasedByExchange, ReleasedByCaller, ReleasedUnknown int
	Ends                                                  [ends]int
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
	front   Front
	asked   Time
	route   Routing
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

// A Core decides nothing about routes; it keeps the rules of one final answer
// and of one attempt at a time whatever the two sides do.
type Core struct {
	desk   Decider
	watch  Observer // nil: none
	router Router   // nil: calls go by their pool of first choice
	out    Exchanges
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
	Open   int // calls whose final answer is owed
	Bytes  int // of their descriptions
	Recent int // ids of calls that are over
}

// New makes a Core that takes the time from now.
func New(desk Decider, out Exchanges, now func() Time, limits Limits) *Core {
	return &Core{desk: desk, out: out, now: now, limits: limits, calls: make(map[string]*call),
		over: newRecent(limits.Recent), alien: newRecent(limits.Recent)}
}

// Observe has o told of everything from now on; nil ends it.
func (c *Core) Observe(o Observer) { c.watch = o }

// RouteBy has calls routed by their numbers from now on; nil ends it.
func (c *Core) RouteBy(r Router) { c.router = r }

// Open counts the calls whose final answer is still owed.
func (c *Core) Open() int { return c.open }

// Has tells whether a call is open or stands.
func (c *Core) Has(id string) bool { return c.calls[id] != nil }

// Standing counts the calls that stand.
func (c *Core) Standing() int { return len(c.calls) - c.Open() }

// ErrReused tells of a set-up under the id of another call.
var ErrReused = errors.New("the id is that of another call")

// SetUp takes a call from a caller. It fails if the id belongs to another call, which
// goes on as if nothing had come.
func (c *Core) SetUp(client Client, r Request) error {
	c.Requests++
	if k := c.calls[r.ID]; k != nil {
		if k.state == standing || k.client == client || !k.same(&r) {
			// Guards against a caller who would get the answer to another's call.
			c.Reused++
			c.limited(ReusedID, r.ID)
			return ErrReused
		}
		// A set-up that crossed the close of its connection is sent once more: it
		// is answered on the new connection and not started a second time.
		c.Repeated++
		c.limited(RepeatedSetUp, r.ID)
		k.client.Waived(r.ID)
		k.client = client
		return nil
	}
	if c.over.has(r.ID) {
		// Every set-up has a new id. This one may have run already, and an attempt of it may
		// have been given up just now: it is neither sent again nor shown to the module.
		c.Reused++
		c.turnAway(client, &r, Reused, CauseFailed)
		return nil
	}
	if c.alien.has(r.ID) {
		// It has been given up already: that came on another connection, and was read first.
		c.GivenUp++
		c.turnAway(client, &r, GivenUp, CauseFailed)
		return nil
	}
	if c.open >= c.limits.Open || c.bytes+len(r.Description) > c.limits.Bytes {
		c.Crowded++ // guards memory against callers who ask at full speed
		c.turnAway(client, &r, Crowded, CauseNoCircuit)
		return nil
	}
	now := c.now()
	k := &call{Request: r, client: client, front: client.Front(), attempt: -1, asked: now}
	if c.router != nil {
		if k.route = c.router.Route(now, &r); !k.route.Pending && k.route.refuses() {
			k.release()
			c.Barred++
			c.turnAway(client, &r, Barred, cmp.Or(k.route.Cause, CauseFailed))
			return nil
		}
		r.Table = k.route.Table
	}
	c.calls[r.ID] = k
	c.open++
	c.bytes += len(r.Description)
	if c.watch != nil {
		c.watch.SetUp(now, &r)
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
func (c *Core) place(k *call) {
	first := k.First
	if len(k.route.Pools) > 0 {
		first = k.route.Pools[0]
	}
	c.obey(k, c.desk.Pick(c.now(), admission.Request{Call: k.ID, Class: k.Class, Number: k.Number,
		First: first, Pools: k.route.Pools, Until: k.Until, Cut: k.Cut, Urgent: k.route.Urgent}))
}

// Routed brings the word on a call whose number was looked up. Of a call that has ended meanwhile
// it changes nothing. What the call holds stays; the word's own Release does not count.
func (c *Core) Routed(id string, r Routing) {
	k := c.calls[id]
	if k == nil || k.state != routing {
		return
	}
	k.state = waiting
	k.route.Pools, k.route.Cause, k.route.Urgent, k.route.Pending = r.Pools, r.Cause, r.Urgent, false
	if r.refuses() {
		c.Barred++
		c.refuse(k, Barred, CalledOff, cmp.Or(r.Cause, CauseFailed), r.Wait)
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

// TurnAway answers a set-up that can be read and makes no sense; no exchange is troubled with it.
func (c *Core) TurnAway(client Client, r Request) {
	c.turnAway(client, &r, Impossible, CauseFailed)
}

// Halted answers a set-up that comes as the call controller ends.
func (c *Core) Halted(client Client, r Request) {
	c.turnAway(client, &r, HaltedOpen, CauseNoCircuit)
}

// turnAway answers a set-up that the module never hears of.
func (c *Core) turnAway(client Client, r *Request, o Outcome, cause int) {
	if c.watch != nil {
		now := c.now()
		c.watch.SetUp(now, r)
		c.watch.Answered(now, &Answer{ID: r.ID, Class: r.Class, Outcome: o, Cause: cause})
	}
	client.Refused(r.ID, cause, 0)
}

// refuse gives the final answer to a call that does not stand.
func (c *Core) refuse(k *call, o Outcome, e End, cause int, wait time.Duration) {
	c.finish(k, e)
	c.tell(k, o, cause, wait)
	k.client.Refused(k.ID, cause, wait)
}

// tell tells the observer of a call's final answer.
func (c *Core) tell(k *call, o Outcome, cause int, wait time.Duration) {
	if c.watch != nil {
		now := c.now()
		c.watch.Answered(now, &Answer{ID: k.ID, Class: k.Class, Outcome: o, Cause: cause, Wait: wait,
			Took: now - k.asked, Server: k.server, Attempts: k.attempt + 1})
	}
}

func (c *Core) limited(l Limit, id string) {
	if c.watch != nil {
		c.watch.Limited(c.now(), l, id)
	}
}

// same tells whether a set-up says what the call's own said.
func (k *call) same(r *Request) bool {
	return k.Class == r.Class && k.Number == r.Number && k.First == r.First && k.Cut == r.Cut &&
		bytes.Equal(k.Description, r.Description)
}

// answered takes a call off those whose final answer is owed.
func (c *Core) answered(k *call) {
	c.open--
	c.bytes -= len(k.Description)
	k.Description = nil
}

// obey carries out the module's word on a call.
func (c *Core) obey(k *call, o admission.Order) {
	if c.watch != nil && o.Move != admission.Hold {
		c.watch.Ordered(c.now(), &o)
	}
	switch o.Move {
	case admission.Try:
		c.try(k, o)
	case admission.Deny:
		if c.answerable(k) {
			c.Refused++
			c.refuse(k, Refused, CalledOff, CauseNoCircuit, o.Wait)
		}
	case admission.GiveUp:
		if c.answerable(k) {
			c.Failed++
			c.refuse(k, Failed, TimedOut, CauseFailed, o.Wait)
		}
	case admission.CallOff:
		if k.state == trying && o.Attempt == k.attempt {
			c.give(k, CalledOff)
		}
	}
	if k.state == waiting && c.calls[k.ID] == k {
		c.mind(k)
	}
}

// mind has a call without an attempt looked at when its caller's time is over. It guards against a
// look-up of which nothing is heard any more, and a module that forgets a call.
func (c *Core) mind(k *call) {
	heap.Push(&c.timers, timer{at: k.Until, call: k, attempt: k.attempt})
}

// expire answers a call whose caller's time is over.
func (c *Core) expire(k *call) {
	c.Failed++
	c.refuse(k, Failed, TimedOut, CauseFailed, 0)
}

// answerable guards against a second final answer.
func (c *Core) answerable(k *call) bool { return c.calls[k.ID] == k && k.state != standing }

func (c *Core) try(k *call, o admission.Order) {
	if k.state != waiting || c.calls[k.ID] != k {
		return // guards against a second attempt while one is out or the call is over
	}
	now := c.now()
	if now >= k.Until { // guards against a module that would try for ever: the attempt would end as it begins
		c.expire(k)
		return
	}
	k.state, k.server, k.sent = trying, o.Server, now
	k.attempt++
	k.expires = min(now+o.Wait, k.Until)
	c.Attempts++
	heap.Push(&c.timers, timer{at: k.expires, call: k, attempt: k.attempt})
	s := Setup{ID: k.ID, Class: k.Class, Number: k.Number, Attempt: k.attempt,
		Wait: k.expires - now, Expires: k.expires, Description: k.Description}
	if c.watch != nil {
		c.watch.Tried(now, k.server, &s)
	}
	c.out.Invite(k.server, s)
}

// give ends the attempt that is out from this side and tells the module.
func (c *Core) give(k *call, e End) {
	c.Cancels++
	if c.out.Cancel(k.server, k.ID, k.attempt) {
		e = Unsent
	}
	c.endAttempt(k, e, false)
}

// endAttempt tells the module that the attempt that is out has ended, and goes on with the call.
func (c *Core) endAttempt(k *call, e End, final bool) {
	c.Ends[e]++
	k.state = waiting
	code, cause := e.outcome()
	k.ran = k.ran || code.MayHaveRun()
	now := c.now()
	if c.watch != nil {
		c.watch.AttemptEnded(now, k.server, k.ID, k.attempt, e, now-k.sent)
	}
	o := c.desk.Report(now, admission.Progress{Call: k.ID, Server: k.server, Attempt: k.attempt,
		Stage: admission.Ended, Code: code, Cause: cause, Took: now - k.sent, Final: final})
	if !final {
		c.obey(k, o)
	}
}

// finish ends a call that does not stand. An attempt that is still out is given up.
func (c *Core) finish(k *call, e End) {
	delete(c.calls, k.ID)
	k.release()
	c.over.add(k.ID, c.now()+memory)
	c.answered(k)
	if k.state == trying {
		c.Cancels++
		if c.out.Cancel(k.server, k.ID, k.attempt) {
			e = Unsent
		}
		c.endAttempt(k, e, true)
	}
}

// Hangup takes a caller's release, also of a set-up that is open and on whatever
// connection it comes. It tells whether the call was known to stand.
func (c *Core) Hangup(id string, cause int) (stood bool) {
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
			c.AliensDropped++
			c.limited(UnknownRelease, id)
			return true
		}
		c.ReleasedUnknown++
		c.alien.add(id, c.now()+memory)
		c.out.ReleaseAnywhere(id, cause)
		return true
	case k.state == standing:
		c.ReleasedByCaller++
		c.out.Release(k.server, id, k.attempt, cause)
		c.endStanding(k, CallerLeft, cause)
		return true
	}
	c.leave(k)
	return false
}

// left tells the module that a call's caller waits no more, if it has heard of the call.
func (c *Core) left(k *call) {
	if k.state != routing {
		c.desk.Report(c.now(), admission.Progress{Call: k.ID, Stage: admission.Left})
	}
}

// leave ends a set-up whose caller no longer waits; no answer is owed.
func (c *Core) leave(k *call) {
	c.GivenUp++
	c.left(k)
	c.finish(k, CallerLeft)
	k.client.Waived(k.ID)
	c.tell(k, GivenUp, 0, 0)
}

// Closed gives up the set-ups that are open on a caller's connection. Calls that
// stand belong to no connection.
func (c *Core) Closed(client Client) {
	for _, k := range c.each(func(k *call) bool { return k.client == client && k.state != standing }) {
		c.leave(k)
	}
}

// each lists calls in the order in which they came, so that what is done to them does not hang on
// the order of a map: a run in virtual time repeats to the byte.
func (c *Core) each(is func(*call) bool) (all []*call) {
	for _, k := range c.calls {
		if is(k) {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, func(a, b *call) int { return cmp.Or(cmp.Compare(a.asked, b.asked), cmp.Compare(a.ID, b.ID)) })
	return all
}

// Answered takes an exchange's answer to a set-up.
func (c *Core) Answered(server, id string, attempt int, description []byte) {
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
	c.desk.Report(now, admission.Progress{Call: id, Server: server, Attempt: attempt,
		Stage: admission.Stood, Took: now - k.sent})
	c.Stood++
	c.tell(k, Stood, 0, 0)
	k.client.Stands(id, description)
	c.answered(k)
}

// Ended takes the end of a set-up that did not come to stand.
func (c *Core) Ended(server, id string, attempt int, e End) {
	k := c.calls[id]
	if k == nil || k.state != trying || k.server != server || k.attempt != attempt {
		return // it was given up before
	}
	c.endAttempt(k, e, false)
}

// Released takes an exchange's release of a call that stands, or of one that
// this call controller has forgotten by a restart.
func (c *Core) Released(server, id string, cause int, fronts ...Front) {
	k := c.calls[id]
	switch {
	case k == nil:
		if c.over.has(id) || c.alien.has(id) {
			return // it comes again on the next connection that is opened
		}
		c.ReleasedUnknown++
		c.alien.add(id, c.now()+memory)
		for _, f := range fronts {
			f.Release(nil, id, cause)
		}
	case k.server != server:
		return // an earlier attempt's, given up since
	case k.state == standing:
		c.ReleasedByExchange++
		e := Completed
		if cause != CauseNormal {
			e = Cut
		}
		c.endStanding(k, e, cause)
		k.front.Release(k.client, id, cause)
	case k.state == trying:
		// Released before it was answered. It may be the release of an earlier attempt there, whose
		// answer was lost: the one that is out is given up, or the next would be a second one.
		c.Cancels++
		c.out.Cancel(server, id, k.attempt)
		c.endAttempt(k, BrokeOnWay, false)
	}
}

func (c *Core) endStanding(k *call, e End, cause int) {
	if c.watch != nil {
		now := c.now()
		c.watch.Released(now, &Release{ID: k.ID, Class: k.Class, Server: k.server, Cause: cause, End: e, Stood: now - k.stood})
	}
	delete(c.calls, k.ID)
	k.release()
	c.over.add(k.ID, c.now()+memory)
	c.endAttempt(k, e, true)
}

// Where tells at which exchange a call stands, "" if it does not.
func (c *Core) Where(id string) string {
	if k := c.calls[id]; k != nil && k.state == standing {
		return k.server
	}
	return ""
}

// Lost cuts the calls that have stood at an exchange since before a time: its
// process is known to have ended since, and no release will come from it.
func (c *Core) Lost(server string, before Time) { c.lost(server, before, false) }

// Dropped cuts the calls that stand at an exchange that is not to be used any more. It may live on
// all the same, and must not hold their lines then.
func (c *Core) Dropped(server string) { c.lost(server, c.now()+1, true) }

func (c *Core) lost(server string, before Time, alive bool) {
	for _, k := range c.each(func(k *call) bool { return k.server == server && k.state == standing && k.stood < before }) {
		if alive {
			c.out.Release(server, k.ID, k.attempt, CauseFailed)
		}
		c.endStanding(k, ExchangeLost, CauseFailed)
		k.front.Release(k.client, k.ID, CauseFailed)
	}
}

// List tells the module of the exchanges.
func (c *Core) List(servers []admission.Server, full bool) {
	c.desk.List(c.now(), servers, full)
}

// Told passes on what an exchange says of its lines.
func (c *Core) Told(server string, load admission.Load) {
	c.desk.Report(c.now(), admission.Progress{Server: server, Stage: admission.Told, Load: load})
}

// Tick does what is due.
func (c *Core) Tick() {
	now := c.now()
	var held []*call // by the module or a look-up, past their time
	for len(c.timers) > 0 && c.timers[0].at <= now {
		t := heap.Pop(&c.timers).(timer)
		switch k := t.call; {
		case c.calls[k.ID] != k:
		case k.state == trying && k.attempt == t.attempt:
			c.give(k, TimedOut)
		case k.unplaced() && now >= k.Until:
			held = append(held, k)
		}
	}
	for _, o := range c.desk.Tick(now) {
		if k := c.calls[o.Call]; k != nil {
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

// Next is when Tick is due.
func (c *Core) Next() Time {
	if len(c.timers) > 0 {
		return min(c.timers[0].at, c.desk.Next())
	}
	return c.desk.Next()
}

// Stop answers whatever is still open, at the end of an orderly stop.
func (c *Core) Stop() {
	for _, k := range c.each(func(k *call) bool { return k.state != standing }) {
		c.Refused++
		cause := CauseNoCircuit
		if c.finish(k, Stopped); k.ran && k.Once { // against a caller who is told that trying again is harmless
			cause = CauseFailed
		}
		c.tell(k, HaltedOpen, cause, 0)
		k.client.Refused(k.ID, cause, 0)
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
