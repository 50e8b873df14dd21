package server

import (
	"sync"
	"sync/atomic"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
)

const retryGuard = 300 * time.Millisecond

// callObservations collects the observations of all simulated exchanges of a test.
type callObservations struct {
	mu                   sync.Mutex
	openAttempts         map[string]bool      // calls with an open attempt
	guardedSince         map[string]time.Time // start of the retry guard by call
	attempts             map[string]int       // by called number
	simultaneousAttempts int                  // attempts started while another one was open
	earlyRetries         int                  // attempts started within the retry guard
	abandonedAttempts    int                  // attempts started after the caller had left
	canceled             int                  // set-ups canceled by the server
	released             int                  // calls released by the server
	corrupted            int                  // descriptions that were modified in transit
}

// schedulingDelay returns the tolerance for late events on this machine: three times the maximum delay that a sleeping
// goroutine has measured within the last seconds.
func schedulingDelay() time.Duration {
	delayMeter.once.Do(func() {
		go func() {
			for n := 0; ; n++ {
				began := time.Now()
				time.Sleep(5 * time.Millisecond)
				delay := int64(time.Since(began) - 5*time.Millisecond)
				delayMeter.currentMax.Store(max(delayMeter.currentMax.Load(), delay))
				if n%200 == 0 { // after at least one second
					delayMeter.previousMax.Store(delayMeter.currentMax.Swap(0))
				}
			}
		}()
	})
	return 3 * time.Duration(max(delayMeter.currentMax.Load(), delayMeter.previousMax.Load()))
}

var delayMeter struct {
	once                    sync.Once
	currentMax, previousMax atomic.Int64
}

// retryObserver counts, by the clock of the server, attempts that start within the retry guard and attempts that start
// after the caller has left.
type retryObserver struct {
	call.Observer
	observations *callObservations
	guardedSince map[string]call.Time // accessed only on the event loop, like abandoned
	abandoned    map[string]bool
}

// observeRetries installs a retryObserver. It must be called before the server runs.
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

// nopObserver is a call.Observer that does nothing.
type nopObserver struct{}

func (nopObserver) CallOffered(call.Time, *call.Request)                                        {}
func (nopObserver) Decided(call.Time, *admission.Decision)                                      {}
func (nopObserver) AttemptStarted(call.Time, string, *call.Setup)                               {}
func (nopObserver) AttemptEnded(call.Time, string, string, int, call.AttemptEnd, time.Duration) {}
func (nopObserver) CallAnswered(call.Time, *call.Answer)                                        {}
func (nopObserver) CallReleased(call.Time, *call.ReleaseEvent)                                  {}
func (nopObserver) LimitReached(call.Time, call.LimitEvent, string)                             {}

func newCallObservations() *callObservations {
	return &callObservations{openAttempts: make(map[string]bool), guardedSince: make(map[string]time.Time), attempts: make(map[string]int)}
}

// beginAttempt records an attempt and returns the number of attempts under a key, including this one.
func (r *callObservations) beginAttempt(id, number, key string, desc []byte) (nth int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.openAttempts[id] {
		r.simultaneousAttempts++
	}
	// Each exchange reads on its own goroutine, so times of different exchanges can be compared only with a tolerance for
	// scheduling delays. The retryObserver checks the guard at the server, to the millisecond.
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
