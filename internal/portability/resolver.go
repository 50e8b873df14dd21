// Package portability decides on look-ups of numbers that may have moved: what is asked, of which
// server, for how long, what is remembered, and what a call gets where nobody answers. It is a pure
// state machine: questions, answers and the Time go in, a list of things to do comes out. Sockets and
// DNS messages are for others.
package portability

import (
	"container/list"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"olivedale/internal/numbering"
)

// A Time is a reading of the Unix clock.
type Time = numbering.Time

// Settings bound a Resolver.
type Settings struct {
	Servers    int           // asked in their order
	Timeout    time.Duration // of one question to one server
	Tries      int           // questions of one look-up, over all servers
	InFlight   int           // look-ups at once; past it numbers are undecided at once
	Waiters    int           // calls that may wait, over all look-ups
	Entries    int           // remembered, of all kinds
	Bytes      int           // of them, about
	Floor      time.Duration // a shorter TTL counts as this
	Ceiling    time.Duration // a longer one as this
	Negative   time.Duration // so long it is remembered that a number has not moved
	Stale      time.Duration // so long past its TTL an answer still counts where nobody answers
	BreakAfter int           // failures in a row by which a server is left alone
	BreakFor   time.Duration // so long; then one question tells whether it is back
}

// Defaults are settings for a few hundred calls a second.
func Defaults(servers int) Settings {
	return Settings{Servers: servers, Timeout: 150 * time.Millisecond, Tries: 3, InFlight: 256, Waiters: 4096, Entries: 65536, Bytes: 8 << 20,
		Floor: 30 * time.Second, Ceiling: 24 * time.Hour, Negative: 10 * time.Minute, Stale: time.Hour, BreakAfter: 5, BreakFor: 2 * time.Second}
}

// A Budget says how much of a caller's time a look-up may take: what is left when an attempt, a
// second one after the release guard, and the answer still fit, and no more than a share of it all.
type Budget struct {
	Attempt time.Duration // that an attempt takes to stand, or to fail
	Guard   time.Duration // between two attempts
	Answer  time.Duration // for the final answer to reach the caller
	Share   float64       // of the time left, at the most
}

// Of is the time for a look-up where so much is left; 0 if there is none.
func (b Budget) Of(left time.Duration) time.Duration {
	room := left - 2*b.Attempt - b.Guard - b.Answer
	return max(min(room, time.Duration(b.Share*float64(left))), 0)
}

// An Answer is what a server said, read by others.
type Answer struct {
	Moved   bool
	Routing numbering.Digits
	TTL     time.Duration
}

// Where a Result comes from.
type Origin uint8

// Origins.
const (
	Nobody Origin = iota // nobody could tell in time
	Server
	Cache
	Stale // an answer past its time, since nobody answers
)

// A Result is what a call gets.
type Result struct {
	Ported numbering.Ported
	Origin Origin
}

// An Action is what is to be done: a Send or a Tell.
type Action interface{ action() }

// Send asks a server.
type Send struct {
	Server int
	ID     uint16 // of the DNS message
	Number string
}

// Tell gives a call its result; it gets one, unless it was cancelled.
type Tell struct {
	Call string
	Result
}

func (Send) action() {}
func (Tell) action() {}

// Counters count what happens.
type Counters struct {
	Asked, Hits, Coalesced, StaleHits, Undecided, Crowded int
	Sent, Answered, TimedOut, Refused                     int
	Strays, Lies                                          int // answers to no question; answers that cannot be to it
	Broken                                                int // times that a server was left alone
}

// A Resolver carries look-ups. It is for one goroutine.
type Resolver struct {
	set     Settings
	rng     *rand.Rand
	open    map[string]*lookup // by number
	byID    map[uint16]*lookup
	calls   map[string]*lookup // by the call that waits
	servers []server
	cache   cache
	out     []Action
	Counters
}

// A lookup is one number being asked for, for all calls that wait for it.
type lookup struct {
	number  string
	id      uint16
	server  int
	tries   int
	due     Time // the question at hand is given up
	waiters []waiter
}

type waiter struct {
	call  string
	until Time
}

// A server is what is known of one.
type server struct {
	failures int
	closed   Time // it is left alone until then; 0: it is not
	probing  bool // one question is out that tells whether it is back
}

// New makes a Resolver. Ids of questions come from rng; who can guess them can forge answers, so in
// service its seed must not be known.
func New(set Settings, rng *rand.Rand) *Resolver {
	return &Resolver{set: set, rng: rng, open: make(map[string]*lookup), byID: make(map[uint16]*lookup), calls: make(map[string]*lookup),
		servers: make([]server, set.Servers), cache: newCache(set.Entries, set.Bytes)}
}

// done returns what is to be done and begins anew.
func (r *Resolver) done() []Action {
	out := r.out
	r.out = nil
	return out
}

// Ask has a number looked up for a call, that waits until a time at the most. What is remembered is
// told at once. The number is in E.164 digits.
func (r *Resolver) Ask(now Time, call, number string, until Time) []Action {
	r.Asked++
	if p, fresh, ok := r.cache.get(now, number, r.set.Stale); ok && fresh {
		r.Hits++
		r.tell(call, Result{p, Cache})
		return r.done()
	}
	k := r.open[number]
	switch {
	case r.calls[call] != nil:
		return r.done() // it waits already: it is told once
	case until <= now, len(r.calls) >= r.set.Waiters, k == nil && len(r.open) >= r.set.InFlight:
		if until > now {
			r.Crowded++
		}
		r.fallBack(now, call, number)
		return r.done()
	case k != nil:
		r.Coalesced++
	default:
		k = &lookup{number: number, server: -1}
		r.open[number] = k
	}
	k.waiters = append(k.waiters, waiter{call, until})
	r.calls[call] = k
	if k.tries == 0 {
		r.ask(now, k)
	}
	return r.done()
}

func (r *Resolver) tell(call string, res Result) { r.out = append(r.out, Tell{call, res}) }

// fallBack tells a call what there is without an answer: one past its time, or that nobody can tell.
func (r *Resolver) fallBack(now Time, call, number string) {
	if p, _, ok := r.cache.get(now, number, r.set.Stale); ok {
		r.StaleHits++
		r.tell(call, Result{p, Stale})
		return
	}
	r.Undecided++
	r.tell(call, Result{numbering.Ported{State: numbering.Undecided}, Nobody})
}

// ask puts the question to the next server that is not left alone, or gives the look-up up.
func (r *Resolver) ask(now Time, k *lookup) {
	if k.tries > 0 {
		delete(r.byID, k.id)
	}
	for n := 1; n <= len(r.servers) && k.tries < r.set.Tries; n++ {
		at := (max(k.server, -1) + n) % len(r.servers)
		if k.tries == 0 {
			at = n - 1 // in their order
		}
		s := &r.servers[at]
		if s.probing || now < s.closed {
			continue
		}
		s.probing = s.closed > 0 // it was left alone: this one question tells
		k.tries++
		k.server, k.due = at, now+r.set.Timeout
		k.id = r.freeID()
		r.byID[k.id] = k
		r.Sent++
		r.out = append(r.out, Send{at, k.id, k.number})
		return
	}
	for _, w := range k.waiters {
		delete(r.calls, w.call)
		r.fallBack(now, w.call, k.number)
	}
	delete(r.open, k.number)
}

// freeID draws an id that no question at hand has; there are far fewer of them than ids.
func (r *Resolver) freeID() uint16 {
	for {
		if id := uint16(r.rng.Uint32()); r.byID[id] == nil {
			return id
		}
	}
}

// failed counts against a server.
func (r *Resolver) failed(now Time, at int) {
	s := &r.servers[at]
	s.failures++
	if s.probing || s.failures >= r.set.BreakAfter {
		if s.closed <= now {
			r.Broken++
		}
		s.closed, s.failures, s.probing = now+r.set.BreakFor, 0, false
	}
}

// Reply takes an answer as it was read: from which server, under which id, to which question. One
// that cannot be to a question at hand is dropped and changes nothing but the count; one that lies
// about its question counts against its server, and the question stays open for the true one.
func (r *Resolver) Reply(now Time, at int, id uint16, number string, a Answer) []Action {
	k := r.byID[id]
	if k == nil {
		r.Strays++
		return r.done()
	}
	if k.server != at || k.number != number {
		r.Lies++
		if at >= 0 && at < len(r.servers) {
			r.failed(now, at)
		}
		return r.done()
	}
	r.Answered++
	r.servers[at] = server{}
	p := numbering.Ported{State: numbering.Stays}
	ttl := r.set.Negative
	if a.Moved {
		p = numbering.Ported{State: numbering.Moved, Routing: a.Routing}
		ttl = min(max(a.TTL, r.set.Floor), r.set.Ceiling)
	}
	r.cache.put(now, k.number, p, now+ttl)
	r.close(k, Result{p, Server})
	return r.done()
}

// close ends a look-up with a result for all who wait.
func (r *Resolver) close(k *lookup, res Result) {
	for _, w := range k.waiters {
		delete(r.calls, w.call)
		r.tell(w.call, res)
	}
	delete(r.open, k.number)
	delete(r.byID, k.id)
}

// Fail takes word that a server could not answer a question (SERVFAIL, a message that cannot be
// read or was cut short, a refused port). The next is asked.
func (r *Resolver) Fail(now Time, at int, id uint16) []Action {
	k := r.byID[id]
	if k == nil || k.server != at {
		r.Strays++
		return r.done()
	}
	r.Refused++
	r.failed(now, at)
	r.ask(now, k)
	return r.done()
}

// Cancel forgets a call that does not wait any more. A look-up for which nobody waits ends: its
// answer, if it comes, changes nothing.
func (r *Resolver) Cancel(call string) {
	k := r.calls[call]
	if k == nil {
		return
	}
	delete(r.calls, call)
	k.waiters = slices.DeleteFunc(k.waiters, func(w waiter) bool { return w.call == call })
	r.abandon(k)
}

// abandon ends a look-up for which nobody waits.
func (r *Resolver) abandon(k *lookup) {
	if len(k.waiters) > 0 {
		return
	}
	delete(r.open, k.number)
	delete(r.byID, k.id)
	if s := &r.servers[k.server]; s.probing {
		s.probing = false // the question that was to tell is gone; the next one tells
	}
}

// Tick does what is due: questions that nobody answered, calls that can wait no longer.
func (r *Resolver) Tick(now Time) []Action {
	var due []*lookup
	for _, k := range r.open {
		due = append(due, k)
	}
	slices.SortFunc(due, func(a, b *lookup) int { return int(a.id) - int(b.id) })
	for _, k := range due {
		k.waiters = slices.DeleteFunc(k.waiters, func(w waiter) bool {
			if now < w.until {
				return false
			}
			delete(r.calls, w.call)
			r.fallBack(now, w.call, k.number)
			return true
		})
		if now >= k.due {
			r.TimedOut++
			r.failed(now, k.server)
		}
	}
	// Only now: what one look-up has found of a server counts for the next question of another.
	for _, k := range due {
		if len(k.waiters) == 0 {
			r.abandon(k)
		} else if now >= k.due {
			r.ask(now, k)
		}
	}
	return r.done()
}

// Next is when Tick is due.
func (r *Resolver) Next() Time {
	next := Time(math.MaxInt64)
	for _, k := range r.open {
		next = min(next, k.due)
		for _, w := range k.waiters {
			next = min(next, w.until)
		}
	}
	return next
}

// A cache remembers answers, so many and so much at the most; what was put in first goes first.
type cache struct {
	by    map[string]*list.Element
	order *list.List
	most  int
	bytes int
	used  int
}

type remembered struct {
	number string
	ported numbering.Ported
	until  Time
}

// perEntry is about what an entry takes beside its number, in bytes.
const perEntry = 200

func newCache(most, bytes int) cache {
	return cache{by: make(map[string]*list.Element), order: list.New(), most: most, bytes: bytes}
}

// get finds what is remembered of a number: fresh within its time, or for so long past it.
func (c *cache) get(now Time, number string, stale time.Duration) (p numbering.Ported, fresh, ok bool) {
	e := c.by[number]
	if e == nil {
		return p, false, false
	}
	m := e.Value.(*remembered)
	if now >= m.until+stale {
		c.drop(e)
		return p, false, false
	}
	return m.ported, now < m.until, true
}

func (c *cache) put(now Time, number string, p numbering.Ported, until Time) {
	if e := c.by[number]; e != nil {
		c.drop(e)
	}
	c.by[number] = c.order.PushBack(&remembered{number, p, until})
	c.used += perEntry + len(number)
	for len(c.by) > c.most || c.used > c.bytes {
		c.drop(c.order.Front())
	}
}

func (c *cache) drop(e *list.Element) {
	m := c.order.Remove(e).(*remembered)
	delete(c.by, m.number)
	c.used -= perEntry + len(m.number)
}
