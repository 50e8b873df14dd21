// Package exchange models an exchange as the operators describe theirs: ample lines, and a processor
// with one line that set-ups, answers, releases, rejections and repeats all cost work. It is a pure
// state machine: messages and the Time go in, messages come out, and chance comes from a seed. The
// same model runs in virtual time and behind sockets. It knows nothing of call controllers' decisions.
package exchange

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"olivedale/internal/sim/eventqueue"
)

// A Time is a reading of the clock that the host keeps.
type Time = time.Duration

// Settings describe an exchange. Times of work are of a warm processor at its full speed.
type Settings struct {
	SetUp, Answer, Release, Reject, Repeat time.Duration // mean work of each

	Vary  float64       // coefficient of variation of work; 0: each takes its mean
	Full  time.Duration // set-ups are turned away once the processor's wait passes this
	Again time.Duration // a set-up that waits is sent again after this, then at doubling gaps; 0: never
	Ring  time.Duration // mean time until the called side answers; exponential
	Lines int

	Start   float64       // share of its capacity that a started processor has
	Warm    time.Duration // it has all of it after this
	Fall    float64       // so many times what it can do, for FallFor, push a started processor over; 0: never
	FallFor time.Duration
	Holding map[string]time.Duration // mean time that calls of a class stand; exponential
}

// Check tells what cannot be modelled.
func (s *Settings) Check() error {
	switch {
	case s.SetUp <= 0:
		return fmt.Errorf("set_up: %v of work is not positive", s.SetUp)
	case min(s.Answer, s.Release, s.Reject, s.Repeat, s.Ring) < 0:
		return fmt.Errorf("work and times must not be negative")
	case s.Lines <= 0:
		return fmt.Errorf("lines: %d is not positive", s.Lines)
	case s.Start < 0 || s.Start > 1:
		return fmt.Errorf("start: %v is not between 0 and 1", s.Start)
	case s.Vary < 0 || s.Vary > 10:
		return fmt.Errorf("vary: %v is not between 0 and 10", s.Vary)
	}
	return nil
}

// Capacity is how many calls a second a warm processor at full speed carries to their end.
func (s *Settings) Capacity() float64 {
	return 1 / (s.SetUp + s.Answer + s.Release).Seconds()
}

// Warmth is the share of its capacity that a processor has so long after a cold start.
func (s *Settings) Warmth(age time.Duration) float64 {
	if age >= s.Warm {
		return 1
	}
	return s.Start + (1-s.Start)*float64(age)/float64(s.Warm)
}

// An Attempt names a set-up: two of one call may pass through one exchange.
type Attempt struct {
	Call string
	N    int
}

// A Kind is what an exchange says.
type Kind uint8

// Kinds of messages.
const (
	Answered Kind = iota // the called side has answered: the call stands
	Full                 // turned away: the processor is full; it never ran
	NoLine               // turned away: no line is free; it never ran
	Released             // a call that stood is over, with Cause
	Dropped              // given up as it was asked to: the set-up is over
)

var kindNames = [...]string{"answered", "full", "no_line", "released", "dropped"}

// String implements fmt.Stringer.
func (k Kind) String() string { return kindNames[k] }

// A Message is what an exchange says to a call controller.
type Message struct {
	To   string
	Kind Kind
	Attempt
	Cause int // of Q.850, of Released
}

// Causes of Released.
const (
	CauseNormal = 16
	CauseCut    = 41 // temporary failure
)

// Counters count calls and work, in time of this processor.
type Counters struct {
	SetUps, Repeats, Rejected, NoLines, GivenUp, Stood, Ended, Cut int

	Work   time.Duration // all that was done
	Wasted time.Duration // on attempts that did not come to stand
	Waited time.Duration // of set-ups, in line
	Served int           // set-ups whose work was done
}

// A State says whether an exchange runs.
type State uint8

// States.
const (
	Running State = iota
	Hung          // it takes everything and does nothing
	Down          // it has fallen over or was stopped, and does not come back
)

type phase uint8

const (
	queued  phase = iota
	working       // the processor has its set-up
	ringing
	answering // its answer waits in line
	stands
	ending // its release waits in line
	over
)

type call struct {
	Attempt
	from  string
	class string
	phase phase
	came  Time
	spent time.Duration // work on it so far
	line  bool
	cut   bool // its release is one of a cut
	mute  bool // nobody waits for its release any more
	index int  // among those that stand
}

type work uint8

const (
	workSetUp work = iota
	workRepeat
	workAnswer
	workRelease
	workReject
)

type job struct {
	work work
	call *call
}

// An Exchange is one. It is for one goroutine.
type Exchange struct {
	Counters
	set    Settings
	rng    *rand.Rand
	gamma  distuv.Gamma
	state  State
	began  Time
	cold   bool
	slow   float64 // its processor takes so many times longer
	lines  int     // that are there
	taken  int
	calls  map[Attempt]*call
	up     []*call // that stand, for cuts
	reject queue   // rejections, at once
	front  queue   // set-ups and their repeats
	back   queue   // answers and releases, behind them
	ahead  time.Duration
	busy   bool
	now    job
	ends   Time // of the job at hand
	timers eventqueue.Queue[timer]
	out    []Message
	// set-ups of the last FallFor, while it is cold
	recent []Time
}

// New starts an exchange. A cold one has Start of its capacity and warms up; one that began long ago
// is warm.
func New(set Settings, began Time, cold bool, rng *rand.Rand) *Exchange {
	x := &Exchange{set: set, rng: rng, began: began, cold: cold, slow: 1, lines: set.Lines, calls: make(map[Attempt]*call)}
	if set.Vary > 0 {
		shape := 1 / (set.Vary * set.Vary)
		x.gamma = distuv.Gamma{Alpha: shape, Beta: shape, Src: rng}
	}
	return x
}

// State tells whether it runs.
func (x *Exchange) State() State { return x.state }

// Standing counts the calls that stand.
func (x *Exchange) Standing() int { return len(x.up) }

// Speed is the share of its full speed that the processor has.
func (x *Exchange) Speed(now Time) float64 {
	v := 1 / x.slow
	if x.cold {
		v *= x.set.Warmth(now - x.began)
	}
	return v
}

// Wait is how long a set-up that comes now will be in line.
func (x *Exchange) Wait(now Time) time.Duration {
	w := time.Duration(float64(x.ahead) / x.Speed(now))
	if x.busy {
		w += max(x.ends-now, 0)
	}
	return w
}

// draw is the time that some work takes now.
func (x *Exchange) draw(w work, now Time) time.Duration {
	mean := x.mean(w)
	if x.set.Vary > 0 {
		mean = time.Duration(float64(mean) * x.gamma.Rand())
	}
	return time.Duration(float64(mean) / x.Speed(now))
}

func (x *Exchange) mean(w work) time.Duration {
	switch w {
	case workSetUp:
		return x.set.SetUp
	case workRepeat:
		return x.set.Repeat
	case workAnswer:
		return x.set.Answer
	case workRelease:
		return x.set.Release
	}
	return x.set.Reject
}

// exp draws an exponential time.
func (x *Exchange) exp(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * x.rng.ExpFloat64())
}

// Invite takes a set-up from a call controller.
func (x *Exchange) Invite(now Time, from string, a Attempt, class string) {
	if x.state == Down {
		return
	}
	x.Counters.SetUps++
	if x.calls[a] != nil {
		return // it is here already
	}
	k := &call{Attempt: a, from: from, class: class, came: now}
	if x.state == Hung {
		return
	}
	if x.pushed(now) {
		x.Stop()
		return
	}
	if x.Wait(now) > x.set.Full && x.set.Full > 0 {
		x.turnAway(now, k)
		return
	}
	x.calls[a] = k
	x.enqueue(workSetUp, k)
	if x.set.Again > 0 {
		x.timers.Push(now+x.set.Again, timer{timerAgain, k, x.set.Again})
	}
	x.serve(now)
}

// TurnAway takes a set-up that a rule at the exchange's door turns away: it costs what a rejection costs.
func (x *Exchange) TurnAway(now Time, from string, a Attempt) {
	if x.state != Running {
		return
	}
	x.Counters.SetUps++
	x.turnAway(now, &call{Attempt: a, from: from, came: now})
}

func (x *Exchange) turnAway(now Time, k *call) {
	k.phase = over
	x.reject.push(job{workReject, k})
	x.serve(now)
}

// Has tells whether it knows of an attempt.
func (x *Exchange) Has(a Attempt) bool { return x.calls[a] != nil }

func (x *Exchange) enqueue(w work, k *call) {
	x.front.push(job{w, k})
	x.ahead += x.mean(w)
}

// pushed tells whether the set-ups of the last while push a started processor over: more than Fall
// times what it can do at that moment, over FallFor.
func (x *Exchange) pushed(now Time) bool {
	if !x.cold || x.set.Fall <= 0 || now-x.began >= x.set.Warm {
		return false
	}
	x.recent = append(x.recent, now)
	for now-x.recent[0] >= x.set.FallFor {
		x.recent = x.recent[1:]
	}
	return float64(len(x.recent)) > max(x.set.Fall*x.set.Capacity()*x.Speed(now)*x.set.FallFor.Seconds(), 1)
}

// Cancel gives a set-up up. One that waits is dropped without work; the answer of one that is further
// is dropped as well.
func (x *Exchange) Cancel(now Time, a Attempt) {
	k := x.calls[a]
	if k == nil || k.phase >= stands || x.state != Running {
		return
	}
	x.GivenUp++
	x.say(k, Dropped, 0)
	x.forget(k)
	x.serve(now)
}

// Release ends a call that stands, from the callers' side.
func (x *Exchange) Release(now Time, a Attempt) {
	k := x.calls[a]
	if k == nil || x.state != Running {
		return
	}
	if k.phase < stands {
		x.Cancel(now, a)
		return
	}
	if k.mute = true; k.phase == stands {
		x.end(k)
		x.serve(now)
	}
}

// ReleaseCall is Release of whatever attempt of a call stands here.
func (x *Exchange) ReleaseCall(now Time, id string) {
	for n := range 16 {
		if k := x.calls[Attempt{id, n}]; k != nil {
			x.Release(now, k.Attempt)
		}
	}
}

// Reset tells that the connection of a call controller is gone: its set-ups are dropped. Calls that
// stand go on.
func (x *Exchange) Reset(now Time, from string) {
	var all []*call
	for _, k := range x.calls {
		if k.from == from && k.phase < stands {
			all = append(all, k)
		}
	}
	for _, k := range all {
		x.GivenUp++
		x.forget(k)
	}
	x.serve(now)
}

// Slow has the processor take so many times longer from its next piece of work on.
func (x *Exchange) Slow(factor float64) { x.slow = max(factor, 0.01) }

// Hang has it take everything and do nothing, or go on again.
func (x *Exchange) Hang(now Time, on bool) {
	switch {
	case x.state == Down:
	case on:
		x.state = Hung
	case x.state == Hung:
		x.state = Running
		x.serve(now)
	}
}

// Stop ends it for good, without a word to anybody.
func (x *Exchange) Stop() {
	x.state = Down
	x.calls, x.up, x.timers = make(map[Attempt]*call), nil, eventqueue.Queue[timer]{}
	x.reject, x.front, x.back = queue{}, queue{}, queue{}
	x.busy, x.ahead, x.taken = false, 0, 0
}

// KeepLines leaves it a share of its lines; calls on those that are lost are cut.
func (x *Exchange) KeepLines(now Time, share float64) {
	x.lines = int(math.Round(share * float64(x.set.Lines)))
	lost := 0
	if share < 1 {
		lost = int(math.Round((1 - share) * float64(len(x.up))))
	}
	x.Cutting(now, lost)
}

// Cutting cuts so many of the calls that stand, drawn by chance.
func (x *Exchange) Cutting(now Time, n int) {
	for range min(n, len(x.up)) {
		k := x.up[x.rng.IntN(len(x.up))]
		k.cut = true
		x.end(k)
	}
	x.serve(now)
}

// end puts the release of a call that stands in line.
func (x *Exchange) end(k *call) {
	last := len(x.up) - 1
	x.up[k.index] = x.up[last]
	x.up[k.index].index = k.index
	x.up = x.up[:last]
	k.phase = ending
	x.back.push(job{workRelease, k})
}

func (x *Exchange) say(k *call, kind Kind, cause int) {
	x.out = append(x.out, Message{To: k.from, Kind: kind, Attempt: k.Attempt, Cause: cause})
}

// forget drops an attempt that does not come to stand, with the work that went into it.
func (x *Exchange) forget(k *call) {
	if k.phase == queued {
		x.ahead -= min(x.set.SetUp, x.ahead)
	}
	x.Wasted += k.spent
	k.phase = over
	delete(x.calls, k.Attempt)
	if k.line {
		x.taken--
		k.line = false
	}
}

// serve has the processor take up the next piece of work if it has none.
func (x *Exchange) serve(now Time) {
	if x.state != Running {
		return
	}
	for !x.busy {
		j, ok := x.next()
		if !ok {
			return
		}
		if j.work == workSetUp {
			x.Waited += now - j.call.came
			x.Served++
		}
		took := x.draw(j.work, now)
		x.Work += took
		j.call.spent += took
		x.busy, x.now, x.ends = true, j, now+took
	}
}

// next is the work that comes next: rejections at once, set-ups before answers and releases.
func (x *Exchange) next() (j job, ok bool) {
	if j, ok = x.reject.pop(); ok {
		return j, true
	}
	for {
		if j, ok = x.front.pop(); !ok {
			break
		}
		if j.work == workRepeat {
			x.ahead -= min(x.set.Repeat, x.ahead)
			return j, true
		}
		if j.call.phase == queued { // what was given up is dropped without work
			x.ahead -= min(x.set.SetUp, x.ahead)
			j.call.phase = working
			return j, true
		}
	}
	for {
		if j, ok = x.back.pop(); !ok {
			return j, false
		}
		if j.call.phase != over {
			return j, true
		}
	}
}

// Next is when Tick is due.
func (x *Exchange) Next() Time {
	next := x.timers.NextTime()
	switch {
	case x.state != Running:
		return eventqueue.Never
	case x.busy:
		next = min(next, x.ends)
	}
	return next
}

// Tick does what is due.
func (x *Exchange) Tick(now Time) {
	for x.state == Running {
		switch {
		case x.busy && x.ends <= now && x.ends <= x.timers.NextTime():
			x.busy = false
			x.finished(x.ends, x.now)
			x.serve(x.ends)
		case x.timers.NextTime() <= now:
			at, t := x.timers.Pop()
			x.due(at, t)
			x.serve(at)
		default:
			return
		}
	}
}

// finished goes on with a call whose work is done.
func (x *Exchange) finished(now Time, j job) {
	k := j.call
	switch j.work {
	case workReject:
		x.Rejected++
		x.Wasted += k.spent
		x.say(k, Full, 0)
	case workSetUp:
		if k.phase != working {
			return // it was given up meanwhile
		}
		if x.taken >= x.lines {
			x.NoLines++
			x.say(k, NoLine, 0)
			x.forget(k)
			return
		}
		x.taken++
		k.line, k.phase = true, ringing
		x.timers.Push(now+x.exp(x.set.Ring), timer{timerRung, k, 0})
	case workAnswer:
		if k.phase != answering {
			return
		}
		x.Stood++
		k.phase, k.index = stands, len(x.up)
		x.up = append(x.up, k)
		x.say(k, Answered, 0)
		x.timers.Push(now+x.exp(x.set.Holding[k.class]), timer{timerHeld, k, 0})
	case workRelease:
		cause := CauseNormal
		if x.Ended++; k.cut {
			cause = CauseCut
			x.Cut++
		}
		if !k.mute {
			x.say(k, Released, cause)
		}
		k.phase = over
		delete(x.calls, k.Attempt)
		x.taken--
		k.line = false
	}
}

// due does what a timer says.
func (x *Exchange) due(now Time, t timer) {
	k := t.call
	switch {
	case t.kind == timerAgain && k.phase == queued:
		x.Repeats++
		x.enqueue(workRepeat, k)
		x.timers.Push(now+2*t.gap, timer{timerAgain, k, 2 * t.gap})
	case t.kind == timerRung && k.phase == ringing:
		k.phase = answering
		x.back.push(job{workAnswer, k})
	case t.kind == timerHeld && k.phase == stands:
		x.end(k)
	}
}

// Take hands out what it has said since the last Take. The slice is good until the next input.
func (x *Exchange) Take() []Message {
	out := x.out
	x.out = x.out[:0]
	return out
}
