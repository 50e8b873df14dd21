package portability

import (
	"math"
	"math/rand/v2"

	"olivedale/internal/numbering"
)

// Resolver executes look-ups. It must be used by one goroutine only.
type Resolver struct {
	Counters
	settings Settings
	random   *rand.Rand
	lookups  lookupTable
	breakers []breaker // by server
	cache    answerCache
	actions  []Action // collected by the current method
}

// NewResolver returns a Resolver that draws the IDs of queries from random. Predictable IDs would allow forged answers,
// so the seed must be secret in production.
func NewResolver(settings Settings, random *rand.Rand) *Resolver {
	return &Resolver{
		settings: settings,
		random:   random,
		lookups:  newLookupTable(),
		breakers: make([]breaker, settings.Servers),
		cache:    newAnswerCache(settings.MaxCacheEntries, settings.MaxCacheBytes),
	}
}

// takeActions returns the actions that the current method has collected and clears them.
func (r *Resolver) takeActions() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}

// LookUp requests the look-up of a number, given in E.164 digits, for a call that waits until its deadline at most. A
// cached answer within its TTL is delivered at once.
func (r *Resolver) LookUp(now Time, call, number string, deadline Time) []Action {
	r.Calls++
	if cached := r.cache.get(now, number, r.settings.StaleTTL); cached.isFresh {
		r.CacheHits++
		r.deliver(call, Result{cached.ported, OriginCache})
		return r.takeActions()
	}
	if r.lookups.byCall[call] != nil {
		return r.takeActions() // the call already waits for a result
	}
	r.join(now, number, waiter{call, deadline})
	return r.takeActions()
}

// join makes a call wait for the look-up of a number, and starts the look-up unless one is open. If the deadline has
// passed or a limit is reached, the call gets its fallback result.
func (r *Resolver) join(now Time, number string, w waiter) {
	l := r.lookups.byNumber[number]
	isExpired := w.deadline <= now
	isFull := len(r.lookups.byCall) >= r.settings.MaxWaiters ||
		l == nil && len(r.lookups.byNumber) >= r.settings.MaxLookups
	if isExpired || isFull {
		if !isExpired {
			r.OverLimit++
		}
		r.deliverFallback(now, w.call, number)
		return
	}
	if l != nil {
		r.Coalesced++
		r.lookups.addWaiter(l, w)
		return
	}
	l = r.lookups.add(number)
	r.lookups.addWaiter(l, w)
	r.sendQuery(now, l)
}

func (r *Resolver) deliver(call string, result Result) {
	r.actions = append(r.actions, DeliverResult{call, result})
}

// deliverFallback delivers the result of a look-up without an answer: a cached answer, if there is one, or that the
// state of the number is unknown.
func (r *Resolver) deliverFallback(now Time, call, number string) {
	if cached := r.cache.get(now, number, r.settings.StaleTTL); cached.exists {
		r.StaleCacheHits++
		r.deliver(call, Result{cached.ported, OriginStaleCache})
		return
	}
	r.Unanswered++
	r.deliver(call, Result{numbering.PortingResult{State: numbering.PortingUnknown}, OriginNone})
}

// sendQuery sends a query for a look-up to the next server whose circuit breaker allows it. If there is no such server,
// or MaxTries queries have been sent, the look-up ends without an answer.
func (r *Resolver) sendQuery(now Time, l *lookup) {
	r.lookups.removeQuery(l)
	server, ok := r.nextServer(now, l)
	if !ok {
		r.fail(now, l)
		return
	}
	r.breakers[server].recordQuery()
	l.tries++
	l.server = server
	l.queryTimeout = now + r.settings.QueryTimeout
	r.lookups.setQueryID(l, r.unusedID())
	r.QueriesSent++
	r.actions = append(r.actions, SendQuery{server, l.queryID, l.number})
}

// nextServer returns the server for the next query: starting after the server of the last query, the first whose
// circuit breaker allows a query. ok is false if there is none or MaxTries queries have been sent.
func (r *Resolver) nextServer(now Time, l *lookup) (server int, ok bool) {
	if l.tries >= r.settings.MaxTries {
		return 0, false
	}
	for i := range r.breakers {
		server = (l.server + 1 + i) % len(r.breakers)
		if r.breakers[server].allows(now) {
			return server, true
		}
	}
	return 0, false
}

// unusedID draws an ID that no open query has. The loop ends soon, since there are far fewer open queries than IDs.
func (r *Resolver) unusedID() uint16 {
	for {
		id := uint16(r.random.Uint32())
		if r.lookups.byID[id] == nil {
			return id
		}
	}
}

// recordFailure records a failure of a server in its circuit breaker.
func (r *Resolver) recordFailure(now Time, server int) {
	if r.breakers[server].recordFailure(now, r.settings.BreakerThreshold, r.settings.BreakerCooldown) {
		r.BreakerOpenings++
	}
}

// fail ends a look-up without an answer. All waiting calls get their fallback result.
func (r *Resolver) fail(now Time, l *lookup) {
	r.lookups.remove(l)
	for _, w := range l.waiters {
		r.deliverFallback(now, w.call, l.number)
	}
}

// HandleAnswer handles an answer, given the server that sent it, the ID of its message and the number in its question.
// An answer with an unknown ID is ignored. An answer whose server or number differs from the query counts as a failure
// of the server that sent it; the query stays open for the correct answer.
func (r *Resolver) HandleAnswer(now Time, server int, id uint16, number string, answer Answer) []Action {
	l := r.lookups.byID[id]
	if l == nil {
		r.UnmatchedAnswers++
		return r.takeActions()
	}
	if l.server != server || l.number != number {
		r.MismatchedAnswers++
		if server >= 0 && server < len(r.breakers) {
			r.recordFailure(now, server)
		}
		return r.takeActions()
	}
	r.QueriesAnswered++
	r.breakers[server].recordAnswer()
	r.succeed(now, l, answer)
	return r.takeActions()
}

// succeed ends a look-up with an answer, caches it and delivers it to all waiting calls.
func (r *Resolver) succeed(now Time, l *lookup, answer Answer) {
	ported := numbering.PortingResult{State: numbering.NotPorted}
	ttl := r.settings.NegativeTTL
	if answer.Ported {
		ported = numbering.PortingResult{State: numbering.Ported, Routing: answer.Routing}
		ttl = min(max(answer.TTL, r.settings.MinTTL), r.settings.MaxTTL)
	}
	r.cache.put(l.number, ported, now+ttl)
	r.lookups.remove(l)
	for _, w := range l.waiters {
		r.deliver(w.call, Result{ported, OriginServer})
	}
}

// HandleFailure handles the failure of a query: the server reported an error, the answer could not be decoded or was
// truncated, or the query could not be sent. The next server is queried.
func (r *Resolver) HandleFailure(now Time, server int, id uint16) []Action {
	l := r.lookups.byID[id]
	if l == nil || l.server != server {
		r.UnmatchedAnswers++
		return r.takeActions()
	}
	r.QueriesFailed++
	r.recordFailure(now, server)
	r.sendQuery(now, l)
	return r.takeActions()
}

// Cancel removes a call, which gets no result. If no other call waits for the look-up, the look-up ends.
func (r *Resolver) Cancel(call string) {
	l := r.lookups.byCall[call]
	if l == nil {
		return
	}
	delete(r.lookups.byCall, call)
	l.removeWaiter(call)
	if len(l.waiters) == 0 {
		r.abandon(l)
	}
}

// abandon ends a look-up for which no call waits any more.
func (r *Resolver) abandon(l *lookup) {
	r.lookups.remove(l)
	r.breakers[l.server].cancelProbe()
}

// HandleTimeouts handles queries that have timed out and calls whose deadline has passed.
func (r *Resolver) HandleTimeouts(now Time) []Action {
	open := r.lookups.sorted()
	for _, l := range open {
		r.expireWaiters(now, l)
		if now >= l.queryTimeout {
			r.QueriesTimedOut++
			r.recordFailure(now, l.server)
		}
	}
	// Queries are sent after all failures have been recorded, so that they avoid servers whose breaker has just opened.
	for _, l := range open {
		if len(l.waiters) == 0 {
			r.abandon(l)
		} else if now >= l.queryTimeout {
			r.sendQuery(now, l)
		}
	}
	return r.takeActions()
}

// expireWaiters delivers the fallback result to the calls whose deadline has passed.
func (r *Resolver) expireWaiters(now Time, l *lookup) {
	for _, w := range l.removeExpired(now) {
		delete(r.lookups.byCall, w.call)
		r.deliverFallback(now, w.call, l.number)
	}
}

// NextDeadline returns the time at which HandleTimeouts must be called next, math.MaxInt64 if no look-up is open.
func (r *Resolver) NextDeadline() Time {
	next := Time(math.MaxInt64)
	for _, l := range r.lookups.byNumber {
		next = min(next, l.nextDeadline())
	}
	return next
}
