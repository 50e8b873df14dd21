package server

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"olivedale/internal/codec/jsonl"
)

// The test in this file checks random races. The events at callers, exchanges and the discovery service are drawn from a
// seed, several per iteration of the event loop, and the invariants are checked at the end from what exchanges and
// callers observed. Timing depends on the machine: a seed reproduces the events, but not when each side reads of them.

// An exchangeEvent is an event observed at an exchange, or the departure of a caller.
type exchangeEvent struct {
	at       time.Time
	exchange int
	what     string // received: INVITE, CANCEL, BYE, CLOSED; sent: "answered N", "released"; by the caller: "left"
	id       string
	cseq     int
	conn     int // index of the connection to the exchange
}

// A randomRun is one run of random events.
type randomRun struct {
	*testbed
	rng              *rand.Rand
	events           []exchangeEvent
	collected        []int // number of recorded messages by exchange
	callers          []*jsonCaller
	callerOf         map[string]int // index of the caller by call id
	openCalls        []string       // calls that were set up and not left by the caller; they may have been answered
	drainingExchange int            // index of the draining exchange, -1 if none
	lastCall         int
	maxDelay         time.Duration // maximum scheduling delay
}

func (c *randomRun) record(s exchangeEvent) {
	if s.at.IsZero() {
		s.at = time.Now()
	}
	c.events = append(c.events, s)
}

// collectReceived records the messages that the exchanges have received since the last call.
func (c *randomRun) collectReceived() {
	for i, f := range c.exchanges {
		f.mu.Lock()
		messages, conns, times := f.received[c.collected[i]:], f.receivedOn[c.collected[i]:], f.receivedAt[c.collected[i]:]
		c.collected[i] = len(f.received)
		f.mu.Unlock()
		for j, s := range messages {
			e := exchangeEvent{exchange: i, conn: conns[j], at: times[j]}
			_, _ = fmt.Sscan(s, &e.what, &e.id, &e.cseq)
			c.record(e)
		}
	}
}

// unansweredAttempts returns the open attempts that an exchange has not answered.
func (c *randomRun) unansweredAttempts() (all []exchangeEvent) {
	c.collectReceived()
	for _, e := range c.events {
		switch {
		case e.what == "INVITE":
			all = append(all, e)
		case e.what == "CANCEL" || strings.HasPrefix(e.what, "answered"):
			all = removeEvents(all, func(o exchangeEvent) bool { return o.id == e.id && o.exchange == e.exchange })
		case e.what == "CLOSED": // open attempts end with their connection
			all = removeEvents(all, func(o exchangeEvent) bool { return o.exchange == e.exchange && o.conn == e.conn })
		}
	}
	return all
}

func removeEvents(all []exchangeEvent, matches func(exchangeEvent) bool) (rest []exchangeEvent) {
	for _, s := range all {
		if !matches(s) {
			rest = append(rest, s)
		}
	}
	return rest
}

// establishedCalls returns the calls that an exchange has established and for which no release was sent or received. It
// leaves out calls whose connection closed shortly after the answer: the answer may have been lost, and then only the
// exchange knows of the call.
func (c *randomRun) establishedCalls() (all []exchangeEvent) {
	c.collectReceived()
	for _, e := range c.events {
		switch {
		case e.what == "answered 200":
			all = append(all, e)
		case e.what == "BYE" || e.what == "released":
			all = removeEvents(all, func(o exchangeEvent) bool { return o.id == e.id && o.exchange == e.exchange })
		case e.what == "CLOSED":
			all = removeEvents(all, func(o exchangeEvent) bool {
				return o.exchange == e.exchange && o.conn == e.conn && e.at.Sub(o.at) < time.Second
			})
		}
	}
	return all
}

func pickRandom[T any](rng *rand.Rand, all []T) (v T, ok bool) {
	if len(all) == 0 {
		return v, false
	}
	return all[rng.IntN(len(all))], true
}

// stepCaller performs a random action of a caller. It runs within an iteration.
func (c *randomRun) stepCaller() {
	switch i := c.rng.IntN(len(c.callers)); c.rng.IntN(5) {
	case 0, 1, 2:
		c.lastCall++
		id := fmt.Sprintf("%016x", c.lastCall)
		c.callerOf[id] = i
		c.openCalls = append(c.openCalls, id)
		_, _ = c.callers[i].conn.Write(jsonSetup(id, time.Duration(100+c.rng.IntN(2500))*time.Millisecond))
	case 3:
		if id, ok := pickRandom(c.rng, c.openCalls); ok {
			c.recordLeft(id)
			if k := c.testbed.findClient(id); k != nil && c.rng.IntN(2) == 0 {
				k.HandleData(jsonMessage(jsonl.Finish, id))
			} else {
				_, _ = c.callers[c.rng.IntN(len(c.callers))].conn.Write(jsonMessage(jsonl.Finish, id)) // on any connection
			}
		}
	default:
		for _, id := range c.openCalls {
			if c.callerOf[id] == i {
				c.recordLeft(id)
			}
		}
		if c.rng.IntN(2) == 0 {
			resetConn(c.callers[i].conn)
		} else {
			c.callers[i].close()
		}
		c.callers[i] = dialJSONCaller(c.t, c.jsonAddress(), c.answers, "cccccccc")
		c.callers[i].send(&jsonl.Message{Verb: jsonl.Finished, Tag: "0"}) // silent connections are closed after a timeout
	}
}

func (c *randomRun) recordLeft(id string) {
	for i, o := range c.openCalls {
		if o == id {
			c.openCalls = append(c.openCalls[:i:i], c.openCalls[i+1:]...)
			c.record(exchangeEvent{exchange: -1, what: "left", id: id})
			return
		}
	}
}

// stepExchange performs a random action of an exchange or of the discovery service.
func (c *randomRun) stepExchange() {
	switch c.rng.IntN(8) {
	case 0, 1, 2, 3:
		if a, ok := pickRandom(c.rng, c.unansweredAttempts()); ok {
			status := []int{200, 200, 503, 504, 486}[c.rng.IntN(5)]
			c.record(exchangeEvent{exchange: a.exchange, what: fmt.Sprint("answered ", status), id: a.id, cseq: a.cseq, conn: a.conn})
			b := sipResponse(a.id, "INVITE", status, a.cseq, "x")
			if c.rng.IntN(4) == 0 {
				b = append(b, b...) // sent twice
			}
			c.exchanges[a.exchange].mu.Lock()
			conn := c.exchanges[a.exchange].conns[a.conn]
			c.exchanges[a.exchange].mu.Unlock()
			_, _ = conn.Write(b)
		}
	case 4, 5:
		if a, ok := pickRandom(c.rng, c.establishedCalls()); ok {
			c.record(exchangeEvent{exchange: a.exchange, what: "released", id: a.id})
			c.exchanges[a.exchange].send(sipRelease(a.id, 16))
		}
	case 6:
		resetConn(c.exchanges[c.rng.IntN(len(c.exchanges))].awaitConn())
	default:
		if c.drainingExchange++; c.drainingExchange == len(c.exchanges) {
			c.drainingExchange = -1
		}
		var lines []endpointLine
		for i, f := range c.exchanges {
			lines = append(lines, endpointLine{id: fmt.Sprint("s-", i), addr: f.addr(), pool: i, draining: i == c.drainingExchange})
		}
		c.discovery.set(lines...)
	}
}

func TestRandomCrossings(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { t.Parallel(); runRandomCrossings(t, seed) })
	}
}

func runRandomCrossings(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	decider := &scriptedDecider{retryDelay: retryGuard}
	for range 20_000 {
		decider.servers = append(decider.servers, fmt.Sprint("s-", rng.IntN(3)))
	}
	exchanges := []*fakeExchange{startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")}
	bed := startTestbed(t, exchanges, decider)
	c := &randomRun{testbed: bed, rng: rng, collected: make([]int, len(exchanges)), callerOf: make(map[string]int), drainingExchange: -1}
	for range 4 {
		c.callers = append(c.callers, bed.dialCaller("cccccccc"))
	}
	for range 250 {
		bed.runIteration(func() {
			for range 1 + rng.IntN(3) {
				if rng.IntN(2) == 0 {
					c.stepCaller()
				} else {
					c.stepExchange()
				}
			}
		})
		for range rng.IntN(3) {
			bed.runIteration(func() {}) // lets the server read pending input
		}
		c.maxDelay = max(c.maxDelay, schedulingDelay())
		if rng.IntN(8) == 0 {
			time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond) // lets retry guards and timeouts expire
		}
	}
	// End all calls. Established calls are released by their callers and exchanges.
	quit, remaining := bed.dialCaller("dddddddd"), ""
	defer func() {
		if remaining != "" {
			t.Log(remaining)
		}
	}()
	eventually(t, "all calls have ended", func() bool {
		for _, id := range slices.Clone(c.openCalls) {
			if got := bed.answers.of(id); strings.HasPrefix(got, "stands") && !strings.Contains(got, "end") {
				quit.hangUp(id)
				c.recordLeft(id)
			}
		}
		for _, e := range c.events { // also released by the exchanges, because a release may be lost with its connection
			if e.what == "answered 200" && rng.IntN(10) == 0 {
				c.record(exchangeEvent{exchange: e.exchange, what: "released", id: e.id})
				c.exchanges[e.exchange].send(sipRelease(e.id, 16))
			}
		}
		open, established := 0, 0
		bed.runIteration(func() { open, established = bed.server.calls.OpenCalls(), bed.server.calls.EstablishedCalls() })
		remaining = fmt.Sprintf("%d open, %d established, established at exchanges: %v", open, established, c.establishedCalls())
		return open == 0 && established == 0 && len(c.establishedCalls()) == 0
	})
	remaining = ""
	bed.awaitNoPendingWork()
	for _, k := range append(c.callers, quit) { // the echo arrives after all earlier messages to the caller
		n := len(strings.Fields(bed.answers.of("echo")))
		k.send(&jsonl.Message{Verb: jsonl.Echo, Tag: "t"})
		bed.answers.await(t, "echo", n+1)
	}
	c.check()
}

// check verifies the invariants against the recorded events.
func (c *randomRun) check() {
	c.collectReceived()
	slices.SortStableFunc(c.events, func(a, b exchangeEvent) int { return a.at.Compare(b.at) })
	type callState struct {
		exchange  int // exchange with the open attempt, -1 if none
		conn      int
		cseq      int
		leftAt    time.Time
		guardedAt time.Time // end of the latest attempt that may have run
	}
	states := make(map[string]*callState)
	attempts, resent := 0, 0
	for _, e := range c.events {
		if e.what == "CLOSED" {
			for _, s := range states {
				if s.exchange == e.exchange && s.conn == e.conn {
					s.exchange, s.guardedAt = -1, e.at
				}
			}
			continue
		}
		s := states[e.id]
		if s == nil {
			s = &callState{exchange: -1}
			states[e.id] = s
		}
		switch {
		case e.what == "left":
			s.leftAt = e.at
		case e.what == "INVITE":
			attempts++
			if s.cseq > 0 {
				resent++
			}
			if s.exchange >= 0 && c.maxDelay < retryGuard { // with a longer delay a CANCEL may be read after the next attempt
				c.t.Errorf("%s: attempt %d at s-%d while %d is open at s-%d", e.id, e.cseq, e.exchange, s.cseq, s.exchange)
			}
			if !s.leftAt.IsZero() && e.at.Sub(s.leftAt) > 300*time.Millisecond+c.maxDelay {
				c.t.Errorf("%s: sent %v after its caller had left", e.id, e.at.Sub(s.leftAt))
			}
			if !s.guardedAt.IsZero() && e.at.Sub(s.guardedAt) < retryGuard-c.maxDelay {
				c.t.Errorf("%s: retried %v after an attempt that may have run", e.id, e.at.Sub(s.guardedAt))
			}
			s.exchange, s.conn, s.cseq, s.guardedAt = e.exchange, e.conn, e.cseq, time.Time{}
		case e.what == "CANCEL" || e.what == "answered 504":
			if s.exchange == e.exchange {
				s.exchange, s.guardedAt = -1, e.at
			}
		case strings.HasPrefix(e.what, "answered"):
			if s.exchange == e.exchange {
				s.exchange = -1
			}
		}
	}
	for id := range c.callerOf {
		got, s := c.answers.of(id), states[id]
		left := s != nil && !s.leftAt.IsZero()
		established, ends := strings.Count(got, "stands"), strings.Count(got, "end ")
		// The release of an established call may be repeated on another connection if the first one has closed.
		if established > 1 || !left && (established == 0 && ends != 1 || established == 1 && (ends == 0 || strings.HasPrefix(got, "end"))) {
			c.t.Errorf("%s: its caller received %q", id, got)
		}
	}
	if early, after := c.observations.total(&c.observations.earlyRetries), c.observations.total(&c.observations.abandonedAttempts); early+after != 0 { // measured at the server, to the millisecond
		c.t.Errorf("%d attempts within the retry guard, %d attempts for callers that had left", early, after)
	}
	if attempts < 30 || resent == 0 {
		c.t.Errorf("%d attempts, %d of them retries: too few for a meaningful test", attempts, resent)
	}
}
