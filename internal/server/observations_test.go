package server

import (
	"sync"
	"sync/atomic"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
)

const retryGuard = 300 * time.Millisecond

// callObservations is what all stand-in servers see together.
type callObservations struct {
	mu                   sync.Mutex
	openAttempts         map[string]bool      // an attempt is out
	guardedSince         map[string]time.Time // when one ended so that the guard holds
	attempts             map[string]int       // by the number called
	simultaneousAttempts int                  // second attempts at once
	earlyRetries         int                  // resends within the guard
	abandonedAttempts    int                  // attempts of calls whose callers had left
	canceled             int                  // set-ups given up by the call controller
	released             int                  // calls released by it
	corrupted            int                  // descriptions that came changed
}

// schedulingDelay is by how much something that was due may have come late of late, on this machine: three times as much as a
// goroutine that does nothing but wait has seen within the last seconds.
func schedulingDelay() time.Duration {
	delayMeter.once.Do(func() {
		go func() {
			for n := 0; ; n++ {
				began := time.Now()
				time.Sleep(5 * time.Millisecond)
				over := int64(time.Since(began) - 5*time.Millisecond)
				delayMeter.now.Store(max(delayMeter.now.Load(), over))
				if n%200 == 0 { // a second at the least
					delayMeter.before.Store(delayMeter.now.Swap(0))
				}
			}
		}()
	})
	return 3 * time.Duration(max(delayMeter.now.Load(), delayMeter.before.Load()))
}

var delayMeter struct {
	once        sync.Once
	now, before atomic.Int64
}

// retryObserver counts, by the node's own clock, what is sent again within the guard of an attempt that may have run, and what
// is sent on for a caller who has left.
type retryObserver struct {
	call.Observer
	observations *callObservations
	guardedSince map[string]call.Time // on the loop alone, as left
	abandoned    map[string]bool
}

// observeRetries puts one in, before the node runs.
func (s *testServer) observeRetries() {
	g := &retryObserver{nopObserver{}, s.observations, make(map[string]call.Time), make(map[string]bool)}
	schedulingDelay()
	if s.server.metrics == nil {
		s.server.calls.SetObserver(g)
		return
	}
	if s.server.metrics.next != nil {
		g.Observer = s.server.metrics.next
	}
	s.server.metrics.next = g
}

func (g *retryObserver) CallAnswered(now call.Time, a *call.Answer) {
	if a.Outcome == call.Abandoned {
		g.abandoned[a.ID] = true
	}
	g.Observer.CallAnswered(now, a)
}

func (g *retryObserver) AttemptEnded(now call.Time, server, id string, attempt int, e call.AttemptEnd, took time.Duration) {
	switch e {
	case call.TimedOut, call.Canceled, call.FailedInTransit, call.Unresponsive, call.ConnectionReset, call.ConnectionClosed, call.Malformed, call.BackendLost:
		g.guardedSince[id] = now
	}
	g.Observer.AttemptEnded(now, server, id, attempt, e, took)
}

func (g *retryObserver) AttemptStarted(now call.Time, server string, s *call.Setup) {
	if at, ok := g.guardedSince[s.ID]; ok && now-at < retryGuard {
		g.observations.increment(&g.observations.earlyRetries)
	}
	if g.abandoned[s.ID] {
		g.observations.increment(&g.observations.abandonedAttempts)
	}
	delete(g.guardedSince, s.ID)
	g.Observer.AttemptStarted(now, server, s)
}

// nopObserver is an Observer that does nothing.
type nopObserver struct{}

func (nopObserver) CallOffered(call.Time, *call.Request)                                        {}
func (nopObserver) Decided(call.Time, *admission.Decision)                                      {}
func (nopObserver) AttemptStarted(call.Time, string, *call.Setup)                               {}
func (nopObserver) AttemptEnded(call.Time, string, string, int, call.AttemptEnd, time.Duration) {}
func (nopObserver) CallAnswered(call.Time, *call.Answer)                                        {}
func (nopObserver) CallReleased(call.Time, *call.Release)                                       {}
func (nopObserver) LimitReached(call.Time, call.Limit, string)                                  {}

func newCallObservations() *callObservations {
	return &callObservations{openAttempts: make(map[string]bool), guardedSince: make(map[string]time.Time), attempts: make(map[string]int)}
}

// beginAttempt notes an attempt and tells the how-manieth it is of those under a key.
func (r *callObservations) beginAttempt(id, number, key string, desc []byte) (nth int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.openAttempts[id] {
		r.simultaneousAttempts++
	}
	// Each server reads in a goroutine of its own, when it gets to: between two of them time is told as well as the
	// machine lets it be. What the guard is to the millisecond, guards sees at the node.
	if at, ok := r.guardedSince[id]; ok && time.Since(at) < retryGuard-schedulingDelay() {
		r.earlyRetries++
	}
	if string(desc) != offeredDescription(number) {
		r.corrupted++
	}
	r.openAttempts[id] = true
	r.attempts[key]++
	return r.attempts[key]
}

func (r *callObservations) endAttempt(id string, guarded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openAttempts, id)
	if guarded {
		r.guardedSince[id] = time.Now()
	}
}

func (r *callObservations) increment(n *int) {
	r.mu.Lock()
	*n++
	r.mu.Unlock()
}

func (r *callObservations) attemptsTo(number string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts[number]
}

func (r *callObservations) total(n *int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *n
}
