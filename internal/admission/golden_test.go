package admission

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

var updateGolden = flag.Bool("update", false, "update the golden file with the traces of this build")

const (
	goldenFile  = "testdata/decisions.golden"
	goldenSeeds = 30
	goldenSteps = 3000
)

// TestDecisionsAreUnchanged compares hashes of all actions, all calls of the overload control and the state of the
// random number generator with the golden file. The labels in the traces are fixed strings, so that renaming a Go
// identifier does not change a hash.
func TestDecisionsAreUnchanged(t *testing.T) {
	var lines []string
	for seed := range uint64(goldenSeeds) {
		lines = append(lines, fmt.Sprintf("random %d %s", seed, randomEventsTrace(t, seed)))
	}
	for seed := range uint64(goldenSeeds) {
		lines = append(lines, fmt.Sprintf("traffic %d %s", seed, trafficTrace(t, seed)))
	}
	got := strings.Join(lines, "\n") + "\n"
	if *updateGolden {
		if err := os.WriteFile(goldenFile, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(want) != len(lines) {
		t.Fatalf("%d traces, want %d", len(lines), len(want))
	}
	for i, line := range lines {
		if line != want[i] {
			t.Errorf("trace %q, want %q", line, want[i])
		}
	}
}

// randomEventsTrace hashes the actions that result from random events.
func randomEventsTrace(t *testing.T, seed uint64) string {
	events := newRandomEvents(t, seed)
	for range goldenSteps {
		events.step()
	}
	events.endAll()
	h := sha256.New()
	for _, act := range events.trace {
		writeAction(h, events.now, act)
	}
	fmt.Fprintln(h, events.machine.rng.Uint64())
	return fmt.Sprintf("%d %x", len(events.trace), h.Sum(nil)[:16])
}

var numberInText = regexp.MustCompile(`[0-9]+(\.[0-9]+)?`)

// writeAction writes an action to a hash, with labels that are independent of Go identifiers.
func writeAction(h hash.Hash, now Time, action Action) {
	switch a := action.(type) {
	case SendAttempt:
		fmt.Fprintln(h, "send", a.CallID, a.Server, int64(a.Timeout))
	case RejectCall:
		fmt.Fprintln(h, "reject", a.CallID, int64(a.RetryAfter), string(a.Reason))
	case FailCall:
		fmt.Fprintln(h, "fail", a.CallID, int64(a.RetryAfter), string(a.Reason))
	case CancelAttempt:
		fmt.Fprintln(h, "cancel", a.CallID, a.Attempt, string(a.Reason))
	case SetTimer:
		fmt.Fprintln(h, "timer", int64(a.At), a.Key)
	case WatchServers:
		fmt.Fprintln(h, "watch")
	case LogMessage:
		fmt.Fprintln(h, "log", numberInText.FindAllString(a.Text, -1))
	case RateLimitChanged:
		fmt.Fprintln(h, "limit", a.Server, math.Float64bits(a.AttemptsPerSecond), string(a.Reason))
	default:
		fmt.Fprintln(h, "unknown", int64(now))
	}
}

// recordingControl is an OverloadControl that writes each call to a hash and, in some runs, throttles at random.
type recordingControl struct {
	h         hash.Hash
	rng       *rand.Rand
	throttles bool
}

func (r recordingControl) RecordOffered(now Time, server string, priority Priority) {
	fmt.Fprintln(r.h, "offered", int64(now), server, priority)
}

func (r recordingControl) RecordSent(now Time, server string, first bool) {
	fmt.Fprintln(r.h, "sent", int64(now), server, first)
}

func (r recordingControl) RecordResult(now Time, server string, established bool, took time.Duration) {
	fmt.Fprintln(r.h, "result", int64(now), server, established, int64(took))
}

func (r recordingControl) RecordOverload(now Time, server string) {
	fmt.Fprintln(r.h, "overload", int64(now), server)
}

func (r recordingControl) Throttle(now Time, server string, priority Priority, preferred bool) (Reason, bool) {
	fmt.Fprintln(r.h, "throttle", int64(now), server, priority, preferred)
	if !r.throttles || r.rng.IntN(4) > 0 {
		return "", false
	}
	if r.rng.IntN(3) > 0 {
		return "", true
	}
	return ReasonFleetThrottle, true
}

// behavior is the current response of a simulated server to attempts.
type behavior int

const (
	answersQuickly behavior = iota
	answersSlowly
	neverAnswers
	losesSomeAttempts
	rejectsSomeAttempts
	lacksCircuits
	losesConnection
	failsSomeAttempts
	behaviorCount
)

type simulatedServer struct {
	Server
	behavior behavior
	circuits float64
}

// pendingEvent is an event that the simulation delivers at a given time.
type pendingEvent struct {
	at      Time
	call    string
	attempt int
	event   Event
}

// traffic drives a state machine with calls, load reports and servers that change their behavior.
type traffic struct {
	machine        *StateMachine
	now            Time
	rng            *rand.Rand
	h              hash.Hash
	servers        []*simulatedServer
	events         []pendingEvent
	attemptsByCall map[string]int
	calls          int
	actions        int
}

func trafficSettings(seed uint64) Settings {
	settings := testSettings()
	settings.ControllerCount = []int{1, 4, 100}[seed%3]
	settings.CanCancel = seed%5 != 0
	settings.OmitRetryAfter = seed%7 == 0
	settings.WatchServersOnRequest = seed%4 == 0
	settings.SlowStartFactor = []float64{0, 1.2, 3}[seed%3]
	settings.ResendInterval = []time.Duration{0, 120 * millisecond, 600 * millisecond}[(seed/3)%3]
	settings.MaxAttempts = 2 + int(seed%3)
	deduplicated := Class{
		LatencyObjective: 900 * millisecond, Deadline: 5 * time.Second, Weight: 2,
		Repeatability: Deduplicated, DeduplicationWindow: time.Second,
	}
	zone, pool, fleet := deduplicated, deduplicated, deduplicated
	zone.Name, zone.DeduplicationScope = "zone", ScopeZone
	pool.Name, pool.DeduplicationScope = "pool", ScopePool
	fleet.Name = "fleet"
	never := Class{
		Name: "never", LatencyObjective: 900 * millisecond, Deadline: 5 * time.Second, Weight: 5,
		Repeatability: NonRepeatable, Pools: []int{0, 1, 2},
	}
	settings.Classes = append(settings.Classes, zone, pool, fleet, never)
	return settings
}

func trafficTrace(t *testing.T, seed uint64) string {
	machine, err := NewStateMachine(trafficSettings(seed), seed)
	if err != nil {
		t.Fatal(err)
	}
	s := &traffic{
		machine: machine, now: time.Hour, rng: rand.New(rand.NewPCG(seed, 11)), h: sha256.New(),
		attemptsByCall: map[string]int{},
	}
	if seed%2 == 1 {
		machine.overloadControl = recordingControl{h: s.h, rng: rand.New(rand.NewPCG(seed, 13)), throttles: seed%4 == 1}
	}
	for i := range 5 {
		s.servers = append(s.servers, &simulatedServer{circuits: 40,
			Server: Server{ID: fmt.Sprint("s", i), Pool: i % 4, Zone: fmt.Sprint("z", i%2)}})
	}
	s.apply(machine.Begin(s.now))
	var all []Server
	for _, srv := range s.servers {
		all = append(all, srv.Server)
	}
	s.handle(ServersUpdated{Full: true, Cached: true, Servers: all})
	for range goldenSteps {
		s.step()
	}
	fmt.Fprintln(s.h, s.machine.rng.Uint64())
	return fmt.Sprintf("%d %x", s.actions, s.h.Sum(nil)[:16])
}

func (s *traffic) handle(e Event) { s.apply(s.machine.Handle(s.now, e)) }

func (s *traffic) schedule(after time.Duration, call string, attempt int, e Event) {
	s.events = append(s.events, pendingEvent{s.now + after, call, attempt, e})
}

func (s *traffic) apply(acts []Action) {
	for _, act := range acts {
		s.actions++
		writeAction(s.h, s.now, act)
		switch x := act.(type) {
		case SendAttempt:
			s.start(x)
		case CancelAttempt:
			s.cancel(x)
		case SetTimer:
			s.schedule(x.At-s.now, "", 0, TimerFired{Key: x.Key})
		}
	}
}

func (s *traffic) server(id string) *simulatedServer {
	return s.servers[slices.IndexFunc(s.servers, func(srv *simulatedServer) bool { return srv.ID == id })]
}

// start schedules the outcome of an attempt.
func (s *traffic) start(x SendAttempt) {
	attempt := s.attemptsByCall[x.CallID]
	s.attemptsByCall[x.CallID]++
	end := func(after time.Duration, result AttemptResult, cause FailureCause) {
		retryAfter := time.Duration(s.rng.IntN(3)) * 400 * millisecond
		s.schedule(min(after, x.Timeout), x.CallID, attempt, AttemptEnded{
			CallID: x.CallID, Server: x.Server, Attempt: attempt,
			Result: result, Cause: cause, RetryAfter: retryAfter, Load: s.report(x.Server),
		})
	}
	establish := func(after time.Duration) {
		if after >= x.Timeout {
			end(x.Timeout, ResultTimedOut, CauseNone)
			return
		}
		s.schedule(after, x.CallID, attempt, CallEstablished{
			CallID: x.CallID, Server: x.Server, Attempt: attempt, SetupTime: after,
		})
		duration := time.Duration(200+s.rng.IntN(3000)) * millisecond
		s.schedule(after+duration, x.CallID, attempt, AttemptEnded{
			CallID: x.CallID, Server: x.Server, Attempt: attempt,
			Result: ResultDelivered, Final: true, Load: s.report(x.Server),
		})
	}
	quick := time.Duration(10+s.rng.IntN(60)) * millisecond
	chance := s.rng.IntN(10)
	switch b := s.server(x.Server).behavior; {
	case b == answersSlowly:
		establish(time.Duration(200+s.rng.IntN(1200)) * millisecond)
	case b == neverAnswers, b == losesSomeAttempts && chance == 0:
		end(x.Timeout, ResultTimedOut, CauseNone)
	case b == rejectsSomeAttempts && chance < 5:
		end(quick, ResultServerBusy, CauseProcessorBusy)
	case b == lacksCircuits && chance < 8:
		end(quick, ResultServerBusy, CauseNoCircuit)
	case b == losesConnection:
		end(time.Duration(300+s.rng.IntN(500))*millisecond, ResultConnectionLost, CauseConnectionUnresponsive)
	case b == failsSomeAttempts && chance < 6:
		results := []AttemptResult{ResultServerError, ResultDialFailed, ResultNotSent, ResultConnectionLost, ResultServerError, ResultCanceled}
		causes := []FailureCause{CauseDestinationBusy, CauseNone, CauseNone, CauseReturned, CauseReturned, CauseNone}
		end(quick, results[chance], causes[chance])
	default:
		establish(quick)
	}
}

func (s *traffic) cancel(x CancelAttempt) {
	i := slices.IndexFunc(s.events, func(e pendingEvent) bool { return e.call == x.CallID && e.attempt == x.Attempt })
	if i < 0 {
		return
	}
	s.events = slices.DeleteFunc(s.events, func(e pendingEvent) bool { return e.call == x.CallID })
	s.schedule(20*millisecond, x.CallID, x.Attempt, AttemptEnded{
		CallID: x.CallID, Attempt: x.Attempt, Result: ResultCanceled,
	})
}

func (s *traffic) report(id string) (load LoadReport) {
	srv := s.server(id)
	if s.rng.IntN(3) == 0 {
		load.FreeCircuits = Optional{Value: float64(s.rng.IntN(int(srv.circuits))), Valid: true}
		load.TotalCircuits = Optional{Value: srv.circuits, Valid: s.rng.IntN(2) == 0}
	}
	wait := 0.02
	if srv.behavior == answersSlowly {
		wait = 0.9
	}
	switch s.rng.IntN(8) {
	case 0:
		load.QueueDelay = Optional{Value: wait, Valid: true}
	case 1:
		load.QueueLength = Optional{Value: wait * 50, Valid: true}
		load.Capacity = Optional{Value: 50, Valid: true}
	case 2:
		load.ThrottleShare = Optional{Value: wait / 4, Valid: true}
	}
	return load
}

func (s *traffic) step() {
	s.now += 10 * millisecond
	if s.rng.IntN(700) == 0 { // the process of the controller stalls
		s.now += time.Duration(300+s.rng.IntN(1200)) * millisecond
	}
	for {
		due := slices.IndexFunc(s.events, func(e pendingEvent) bool { return e.at <= s.now })
		if due < 0 {
			break
		}
		e := s.events[due]
		s.events = slices.Delete(s.events, due, due+1)
		s.handle(e.event)
	}
	for range s.rng.IntN(3) {
		s.offer()
	}
	if s.rng.IntN(100) == 0 {
		s.handle(CallAbandoned{CallID: fmt.Sprint("c", 1+s.rng.IntN(s.calls+1))})
	}
	if s.rng.IntN(20) == 0 {
		id := s.servers[s.rng.IntN(len(s.servers))].ID
		s.handle(LoadReported{Server: id, OK: true, Load: s.report(id)})
	}
	if s.rng.IntN(150) == 0 {
		s.servers[s.rng.IntN(len(s.servers))].behavior = behavior(s.rng.IntN(int(behaviorCount)))
	} else if s.rng.IntN(60) == 0 {
		s.servers[s.rng.IntN(len(s.servers))].behavior = answersQuickly
	}
	if s.rng.IntN(250) == 0 {
		s.updateServers()
	}
}

func (s *traffic) offer() {
	s.calls++
	e := CallOffered{
		CallID: fmt.Sprint("c", s.calls), PreferredPool: s.rng.IntN(4),
		Class:    []string{"read", "read", "read", "write", "zone", "pool", "fleet", "never"}[s.rng.IntN(8)],
		Number:   fmt.Sprint("n", s.rng.IntN(1000)),
		Deadline: s.now + time.Duration(500+s.rng.IntN(5000))*millisecond,
		Redialed: s.rng.IntN(10) == 0, Reestablish: s.rng.IntN(30) == 0,
	}
	if s.rng.IntN(6) == 0 {
		e.Pools = []int{e.PreferredPool, (e.PreferredPool + 1) % 4}
	}
	if s.rng.IntN(20) == 0 {
		e.Number = ""
	}
	if s.rng.IntN(200) == 0 {
		e.Class = "unknown"
	}
	s.handle(e)
}

func (s *traffic) updateServers() {
	srv := s.servers[s.rng.IntN(len(s.servers))]
	switch s.rng.IntN(5) {
	case 0:
		srv.State = Draining
	case 1:
		srv.State = Removed
	case 2:
		s.handle(ServersUpdated{Failed: true})
		return
	default:
		srv.State = Active
		srv.Started = s.now - time.Duration(s.rng.IntN(12000))*millisecond
	}
	if s.rng.IntN(4) > 0 {
		s.handle(ServersUpdated{Servers: []Server{srv.Server}})
		return
	}
	var all []Server
	for _, o := range s.servers {
		if o.State != Removed {
			all = append(all, o.Server)
		}
	}
	s.handle(ServersUpdated{Full: true, Servers: all})
}
