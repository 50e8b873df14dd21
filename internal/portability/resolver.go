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
	Servers          int           // asked in their order
	QueryTimeout     time.Duration // of one question to one server
	MaxTries         int           // questions of one look-up, over all servers
	MaxLookups       int           // look-ups at once; past it numbers are undecided at once
	MaxWaiters       int           // calls that may wait, over all look-ups
	MaxCacheEntries  int           // remembered, of all kinds
	MaxCacheBytes    int           // of them, about
	MinTTL           time.Duration // a shorter TTL counts as this
	MaxTTL           time.Duration // a longer one as this
	NegativeTTL      time.Duration // so long it is remembered that a number has not moved
	StaleTTL         time.Duration // so long past its TTL an answer still counts where nobody answers
	BreakerThreshold int           // failures in a row by which a server is left alone
	BreakerCooldown  time.Duration // so long; then one question tells whether it is back
}

// Defaults are settings for a few hundred calls a second.
func Defaults(servers int) Settings {
	return Settings{Servers: servers, QueryTimeout: 150 * time.Millisecond, MaxTries: 3, MaxLookups: 256, MaxWaiters: 4096, MaxCacheEntries: 65536, MaxCacheBytes: 8 << 20,
		MinTTL: 30 * time.Second, MaxTTL: 24 * time.Hour, NegativeTTL: 10 * time.Minute, StaleTTL: time.Hour, BreakerThreshold: 5, BreakerCooldown: 2 * time.Second}
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
	Ported  bool
	Routing numbering.Digits
	TTL     time.Duration
}

// Where a Result comes from.
type Origin uint8

// Origins.
const (
	OriginNone Origin = iota // nobody could tell in time
	OriginServer
	OriginCache
	OriginStaleCache // an answer past its time, since nobody answers
)

// A Result is what a call gets.
type Result struct {
	Ported numbering.Ported
	Origin Origin
}

// An Action is what is to be done: a Send or a Tell.
type Action interface{ action() }

// SendQuery asks a server.
type SendQuery struct {
	Server int
	ID     uint16 // of the DNS message
	Number string
}

// DeliverResult gives a call its result; it gets one, unless it was cancelled.
type DeliverResult struct {
	Call string
	Result
}

func (SendQuery) action()     {}
func (DeliverResult) action() {}

// Counters count what happens.
type Counters struct {
	Asked, Hits, Coalesced, StaleHits, Undecided, Crowded int
	Sent, Answered, TimedOut, Refused                     int
	Strays, Lies                                          int // answers to no question; answers that cannot be to it
	Broken                                                int // times that a server was left alone
}

// A Resolver carries look-ups. It is for one goroutine.
type Resolver struct {
	settings      Settings
	rng           *rand.Rand
	lookups       map[string]*lookup // by number
	lookupsByID   map[uint16]*lookup
	lookupsByCall map[string]*lookup // by the call that waits
	breakers      []breaker
	cache         cache
	actions       []Action
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

// A breaker is what is known of one.
type breaker struct {
	failures  int
	openUntil Time // it is left alone until then; 0: it is not
	isProbing bool // one question is out that tells whether it is back
}

// NewResolver makes a Resolver. Ids of questions come from rng; who can guess them can forge answers, so in
// service its seed must not be known.
func NewResolver(set Settings, rng *rand.Rand) *Resolver {
	return &Resolver{settings: set, rng: rng, lookups: make(map[string]*lookup), lookupsByID: make(map[uint16]*lookup), lookupsByCall: make(map[string]*lookup),
		breakers: make([]breaker, set.Servers), cache: newCache(set.MaxCacheEntries, set.MaxCacheBytes)}
}

// done returns what is to be done and begins anew.
func (r *Resolver) done() []Action {
	out := r.actions
	r.actions = nil
	return out
}

// LookUp has a number looked up for a call, that waits until a time at the most. What is remembered is
// told at once. The number is in E.164 digits.
func (r *Resolver) LookUp(now Time, call, number string, until Time) []Action {
	r.Asked++
	if p, fresh, ok := r.cache.get(now, number, r.settings.StaleTTL); ok && fresh {
		r.Hits++
		r.tell(call, Result{p, OriginCache})
		return r.done()
	}
	k := r.lookups[number]
	switch {
	case r.lookupsByCall[call] != nil:
		return r.done() // it waits already: it is told once
	case until <= now, len(r.lookupsByCall) >= r.settings.MaxWaiters, k == nil && len(r.lookups) >= r.settings.MaxLookups:
		if until > now {
			r.Crowded++
		}
		r.fallBack(now, call, number)
		return r.done()
	case k != nil:
		r.Coalesced++
	default:
		k = &lookup{number: number, server: -1}
		r.lookups[number] = k
	}
	k.waiters = append(k.waiters, waiter{call, until})
	r.lookupsByCall[call] = k
	if k.tries == 0 {
		r.ask(now, k)
	}
	return r.done()
}

func (r *Resolver) tell(call string, res Result) {
	r.actions = append(r.actions, DeliverResult{call, res})
}

// fallBack tells a call what there is without an answer: one past its time, or that nobody can tell.
func (r *Resolver) fallBack(now Time, call, number string) {
	if p, _, ok := r.cache.get(now, number, r.settings.StaleTTL); ok {
		r.StaleHits++
		r.tell(call, Result{p, OriginStaleCache})
		return
	}
	r.Undecided++
	r.tell(call, Result{numbering.Ported{State: numbering.Undecided}, OriginNone})
}

// ask puts the question to the next server that is not left alone, or gives the look-up up.
func (r *Resolver) ask(now Time, k *lookup) {
	if k.tries > 0 {
		delete(r.lookupsByID, k.id)
	}
	for n := 1; n <= len(r.breakers) && k.tries < r.settings.MaxTries; n++ {
		at := (max(k.server, -1) + n) % len(r.breakers)
		if k.tries == 0 {
			at = n - 1 // in their order
		}
		s := &r.breakers[at]
		if s.isProbing || now < s.openUntil {
			continue
		}
		s.isProbing = s.openUntil > 0 // it was left alone: this one question tells
		k.tries++
		k.server, k.due = at, now+r.settings.QueryTimeout
		k.id = r.freeID()
		r.lookupsByID[k.id] = k
		r.Sent++
		r.actions = append(r.actions, SendQuery{at, k.id, k.number})
		return
	}
	for _, w := range k.waiters {
		delete(r.lookupsByCall, w.call)
		r.fallBack(now, w.call, k.number)
	}
	delete(r.lookups, k.number)
}

// freeID draws an id that no question at hand has; there are far fewer of them than ids.
func (r *Resolver) freeID() uint16 {
	for {
		if id := uint16(r.rng.Uint32()); r.lookupsByID[id] == nil {
			return id
		}
	}
}

// failed counts against a server.
func (r *Resolver) failed(now Time, at int) {
	s := &r.breakers[at]
	s.failures++
	if s.isProbing || s.failures >= r.settings.BreakerThreshold {
		if s.openUntil <= now {
			r.Broken++
		}
		s.openUntil, s.failures, s.isProbing = now+r.settings.BreakerCooldown, 0, false
	}
}

// HandleAnswer takes an answer as it was read: from which server, under which id, to which question. One
// that cannot be to a question at hand is dropped and changes nothing but the count; one that lies
// about its question counts against its server, and the question stays open for the true one.
func (r *Resolver) HandleAnswer(now Time, at int, id uint16, number string, a Answer) []Action {
	k := r.lookupsByID[id]
	if k == nil {
		r.Strays++
		return r.done()
	}
	if k.server != at || k.number != number {
		r.Lies++
		if at >= 0 && at < len(r.breakers) {
			r.failed(now, at)
		}
		return r.done()
	}
	r.Answered++
	r.breakers[at] = breaker{}
	p := numbering.Ported{State: numbering.NotPorted}
	ttl := r.settings.NegativeTTL
	if a.Ported {
		p = numbering.Ported{State: numbering.Moved, Routing: a.Routing}
		ttl = min(max(a.TTL, r.settings.MinTTL), r.settings.MaxTTL)
	}
	r.cache.put(now, k.number, p, now+ttl)
	r.close(k, Result{p, OriginServer})
	return r.done()
}

// close ends a look-up with a result for all who wait.
func (r *Resolver) close(k *lookup, res Result) {
	for _, w := range k.waiters {
		delete(r.lookupsByCall, w.call)
		r.tell(w.call, res)
	}
	delete(r.lookups, k.number)
	delete(r.lookupsByID, k.id)
}

// HandleFailure takes word that a server could not answer a question (SERVFAIL, a message that cannot be
// read or was cut short, a refused port). The next is asked.
func (r *Resolver) HandleFailure(now Time, at int, id uint16) []Action {
	k := r.lookupsByID[id]
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
	k := r.lookupsByCall[call]
	if k == nil {
		return
	}
	delete(r.lookupsByCall, call)
	k.waiters = slices.DeleteFunc(k.waiters, func(w waiter) bool { return w.call == call })
	r.abandon(k)
}

// abandon ends a look-up for which nobody waits.
func (r *Resolver) abandon(k *lookup) {
	if len(k.waiters) > 0 {
		return
	}
	delete(r.lookups, k.number)
	delete(r.lookupsByID, k.id)
	if s := &r.breakers[k.server]; s.isProbing {
		s.isProbing = false // the question that was to tell is gone; the next one tells
	}
}

// HandleTimeouts does what is due: questions that nobody answered, calls that can wait no longer.
func (r *Resolver) HandleTimeouts(now Time) []Action {
	var due []*lookup
	for _, k := range r.lookups {
		due = append(due, k)
	}
	slices.SortFunc(due, func(a, b *lookup) int { return int(a.id) - int(b.id) })
	for _, k := range due {
		k.waiters = slices.DeleteFunc(k.waiters, func(w waiter) bool {
			if now < w.until {
				return false
			}
			delete(r.lookupsByCall, w.call)
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

// NextDeadline is when Tick is due.
func (r *Resolver) NextDeadline() Time {
	next := Time(math.MaxInt64)
	for _, k := range r.lookups {
		next = min(next, k.due)
		for _, w := range k.waiters {
			next = min(next, w.until)
		}
	}
	return next
}

// A cache remembers answers, so many and so much at the most; what was put in first goes first.
type cache struct {
	entries    map[string]*list.Element
	order      *list.List
	maxEntries int
	maxBytes   int
	size       int
}

type remembered struct {
	number string
	ported numbering.Ported
	until  Time
}

// perEntry is about what an entry takes beside its number, in bytes.
const perEntry = 200

func newCache(most, bytes int) cache {
	return cache{entries: make(map[string]*list.Element), order: list.New(), maxEntries: most, maxBytes: bytes}
}

// get finds what is remembered of a number: fresh within its time, or for so long past it.
func (c *cache) get(now Time, number string, stale time.Duration) (p numbering.Ported, fresh, ok bool) {
	e := c.entries[number]
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
	if e := c.entries[number]; e != nil {
		c.drop(e)
	}
	c.entries[number] = c.order.PushBack(&remembered{number, p, until})
	c.size += perEntry + len(number)
	for len(c.entries) > c.maxEntries || c.size > c.maxBytes {
		c.drop(c.order.Front())
	}
}

func (c *cache) drop(e *list.Element) {
	m := c.order.Remove(e).(*remembered)
	delete(c.entries, m.number)
	c.size -= perEntry + len(m.number)
}
