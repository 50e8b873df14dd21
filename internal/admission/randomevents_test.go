package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// randomEvents generates random sequences of unusual but legal events and checks each action against the invariants.
type randomEvents struct {
	*testController
	rng         *rand.Rand
	deadlines   map[string]Time
	decided     map[string]bool
	open        map[string]SendAttempt
	attempts    map[string]int
	established map[string]bool
	guardEnds   map[string]Time // end of the retry guard by call
	inactive    map[string]bool
	trace       []Action
}

func (s *randomEvents) check(acts []Action) {
	s.trace = append(s.trace, acts...)
	for _, act := range acts {
		switch x := act.(type) {
		case SendAttempt:
			if s.decided[x.CallID] {
				s.t.Fatalf("%v: sent after the final answer", x)
			}
			if _, ok := s.open[x.CallID]; ok {
				s.t.Fatalf("%v: two attempts are open", x)
			}
			if s.now < s.guardEnds[x.CallID] {
				s.t.Fatalf("%v: sent within the retry guard", x)
			}
			if s.inactive[x.Server] {
				s.t.Fatalf("%v: sent to a draining or removed server", x)
			}
			s.open[x.CallID] = x
			s.attempts[x.CallID]++
		case RejectCall:
			s.decide(x.CallID)
		case FailCall:
			s.decide(x.CallID)
		}
	}
}

func (s *randomEvents) decide(id string) {
	if s.decided[id] {
		s.t.Fatalf("call %s: two final answers", id)
	}
	s.decided[id] = true
}

func (s *randomEvents) step() {
	s.check(s.advance(time.Duration(s.rng.IntN(8)) * 5 * millisecond))
	ids := make([]string, 0, len(s.open))
	for id := range s.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	switch n := s.rng.IntN(10); {
	case n < 4:
		s.offeredCalls++
		id := fmt.Sprint("c", s.offeredCalls)
		s.deadlines[id] = s.now + time.Duration(200+s.rng.IntN(3000))*millisecond
		s.check(s.handle(CallOffered{CallID: id, Class: []string{
			"read", "write",
		}[s.rng.IntN(2)], PreferredPool: s.rng.IntN(4),
			Number: fmt.Sprint(s.rng.IntN(300)), Deadline: s.deadlines[id], Reestablish: s.rng.IntN(9) == 0}))
	case n < 8 && len(ids) > 0:
		s.answer(ids[s.rng.IntN(len(ids))])
	case n == 8:
		id := fmt.Sprint("s", s.rng.IntN(4))
		state := ServerState(s.rng.IntN(3))
		listing := Server{ID: id, Pool: int(id[1] - '0'), State: state}
		if state == Active && s.inactive[id] {
			listing.Started = s.now
		}
		s.inactive[id] = state != Active
		s.check(s.handle(ServersUpdated{Servers: []Server{listing}}))
	case len(ids) > 0 && s.rng.IntN(4) == 0:
		id := ids[s.rng.IntN(len(ids))]
		s.decided[id] = true
		s.check(s.handle(CallAbandoned{CallID: id}))
	}
}

// answer either establishes the call of an open attempt or ends the attempt.
func (s *randomEvents) answer(id string) {
	x := s.open[id]
	if !s.established[id] && !s.decided[id] && s.rng.IntN(2) == 0 {
		s.established[id], s.decided[id] = true, true
		s.check(s.handle(CallEstablished{
			CallID: id, Server: x.Server, Attempt: s.attempts[id] - 1,
			SetupTime: time.Duration(s.rng.IntN(2000)) * millisecond,
		}))
		return
	}
	delete(s.open, id)
	e := AttemptEnded{
		CallID: id, Server: x.Server, Attempt: s.attempts[id] - 1,
		Result: AttemptResult(s.rng.IntN(8)), Final: s.decided[id],
	}
	if e.Result == ResultDelivered {
		e.Final = true
		s.decided[id] = true
	}
	if e.Result == ResultTimedOut || e.Result == ResultConnectionLost || e.Result == ResultCanceled {
		s.guardEnds[id] = s.now + s.machine.settings.RetryGuard
	}
	s.check(s.handle(e))
}

// endAll ends all attempts, including those that the retry guard delays.
func (s *randomEvents) endAll() {
	for s.check(s.advance(10 * time.Second)); len(s.open) > 0; s.check(s.advance(10 * time.Second)) {
		for _, id := range slices.Sorted(maps.Keys(s.open)) {
			s.answer(id)
		}
	}
}

func newRandomEvents(t *testing.T, seed uint64) *randomEvents {
	return &randomEvents{
		testController: newTestController(t, testSettings(), Server{ID: "s0"}, Server{ID: "s1", Pool: 1}, Server{
			ID: "s2", Pool: 2,
		}),
		rng: rand.New(rand.NewPCG(seed, 7)), deadlines: map[string]Time{}, decided: map[string]bool{},
		open: map[string]SendAttempt{}, attempts: map[string]int{}, established: map[string]bool{},
		guardEnds: map[string]Time{}, inactive: map[string]bool{},
	}
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		s := newRandomEvents(t, seed)
		for range 1500 {
			s.step()
			for id, deadline := range s.deadlines {
				if s.now > deadline+20*millisecond && !s.decided[id] {
					t.Fatalf("seed %d: call %s has no answer in time", seed, id)
				}
			}
		}
		s.endAll()
		calls := len(s.machine.calls.byID) + len(s.machine.calls.byTimer)
		numbers := len(s.machine.dialedNumbers) + len(s.machine.busyNumbers)
		if n := calls + numbers + s.machine.unansweredAttempts; n != 0 {
			t.Errorf("seed %d: %d records and unanswered attempts remain after all calls have ended", seed, n)
		}
		for _, srv := range s.machine.servers {
			if len(srv.attempts.pending)+len(srv.attempts.lost) != 0 {
				t.Errorf("seed %d: server %s still has %d unanswered attempts",
					seed, srv.ID, len(srv.attempts.pending))
			}
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []Action {
		s := newRandomEvents(t, 5)
		for range 1500 {
			s.step()
		}
		return s.trace
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("the same events led to different actions")
	}
}
