// Package admission makes the decisions of a call controller: which call
// set-ups go to which server, and which are rejected. Its types are in api.go.
package admission

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The figures of the mechanism. docs/design.md gives the reason of each.
const (
	parts   = 5     // periods of the late mark: counts are summed up this often
	periods = 30    // N: the window spans at least so many periods,
	most    = 300   // at most so many,
	enough  = 5     // and as many as bring so many calls a server; so many answers tell a rate
	s1      = 0.92  // past this share of the ceiling: the cheapest tier waits
	s2      = 1.2   // past this: all calls but the urgent
	burst   = 2     // calls that a pressed server may get at once
	fade    = 0.998 // what a pool carried counts less by this each period
	numbers = 8192  // dialled of late that are remembered, at most
	crowd   = 2     // more calls than that for a number are not one caller's
	climb   = 1.5   // growth of sends to an unproven server over what it answered
	regrow  = 0.03  // a clean period lifts a ceiling by this share
	sharp   = 0.25  // least share of the recent rate a ceiling is set to
)

const askAgain = -1 // timer key of the next request for the server list, after one that failed

// Tiers of calls, the cheapest first.
const (
	again  = iota // dialled again: its aim has mostly passed
	cheap         // below top worth
	top           // top worth
	urgent        // cut and coming again
)

// A StateMachine decides for one access node. It is not safe for concurrent use.
type StateMachine struct {
	set     Settings
	classes map[string]*class
	late    time.Duration // an answer slower than this is a time-out in all but name
	silence time.Duration // a server that answers nothing for so long is taken for hung
	period  time.Duration // counts are summed up this often
	window  time.Duration // the least that the estimate is taken over
	rng     *rand.Rand
	now     Time
	rolled  Time          // end of the last full period
	n       int           // N as it stands
	asked   counter       // calls that came
	stood   counter       // set-ups that stood, at all servers
	best    float64       // most of those a second of late
	out     int           // set-ups unanswered, at all servers
	pause   time.Duration // this node stood still for so long just before now
	acts    []Action
	servers []*server // in the order first listed
	calls   map[string]*call
	keys    map[int64]*call
	lastKey int64
	crowded map[string]Time // numbers whose lines were all busy, and when to try them again
	dialled map[string]*number
	carried map[int]float64 // per pool: the best rate it answered this node of late
	fleet   OverloadControl // what the others know
	why     Reason          // no server was picked
}

type class struct {
	Class
	tier int
}

// A number is one that was dialled of late.
type number struct {
	first, until Time // when it was first asked for, and when it is forgotten
	asks         int
}

// A server is what this node knows of one central server.
type server struct {
	Server
	offered, sent, answered counter
	ceiling                 float64       // set-ups a second, +Inf: none
	credit                  float64       // set-ups that may go at once under the ceiling
	part                    float64       // of a set-up, by which those of a window are rounded
	climb                   float64       // set-ups of second choice that may go at once
	pressed                 Time          // last evidence of pressure
	before                  *standing     // as it stood before it fell silent, nil: it has not
	clean, told, cold       bool          // no evidence of pressure since; by its own word; new
	heard                   Time          // last answer of any kind
	took, last              time.Duration // that calls took to stand: smoothed, the latest
	floor                   time.Duration // the least that a call took to stand
	stood                   Time          // when the latest stood
	since                   Time          // counted from then on
	best                    float64       // set-ups a second that it said it can take, at most
	waitUntil               Time          // it asked to be left alone until then
	proven                  float64       // set-ups that it has answered at once while it was held back
	free                    float64       // lines that it can have free by what this node knows
	freeUntil               Time          // that counts until then
	standing                float64       // calls of all nodes that stand there, as told
	short                   Time          // it is short of lines until then
	pending                 []*call       // sent and unanswered, in the order sent
	lost                    []*call       // overtaken by calls sent later
	noted                   Time          // no line for the staff until then
}

// A standing is what silence can cost a server.
type standing struct {
	ceiling, proven float64
	pressed         Time
}

// A call is one open call.
type call struct {
	id, number            string
	class                 *class
	tier, first, attempts int
	pools                 []int // permitted, the preferred first; nil: those of its class
	until                 Time
	key                   int64
	at                    *server // where the attempt is that is out, nil: none
	sentAt                Time
	cancelled             bool
	standing              bool
	answered              bool    // the final answer is given
	notBefore             Time    // release guard
	waiting               bool    // for the release guard
	avoid                 *server // the last attempt failed there
	dropped               bool    // by its connection: the server is taken again if no other is open
	ran                   *server // where it first may have run, of a call that must not twice
	ranAt                 Time    // when that attempt was sent
}

// NewStateMachine makes the controller of a node that has just started.
func NewStateMachine(set Settings, seed uint64) (*StateMachine, error) {
	if err := set.validate(); err != nil {
		return nil, fmt.Errorf("admission: settings: %w", err)
	}
	c := &StateMachine{
		set: set, fleet: noOverloadControl{}, classes: make(map[string]*class), calls: make(map[string]*call),
		crowded: make(map[string]Time), dialled: make(map[string]*number),
		carried: make(map[int]float64), keys: make(map[int64]*call), rng: rand.New(rand.NewPCG(seed, 0)),
	}
	best, aim := 0.0, set.Classes[0].LatencyObjective
	for _, k := range set.Classes {
		best, aim = max(best, k.Weight), min(aim, k.LatencyObjective)
	}
	for _, k := range set.Classes {
		c.classes[k.Name] = &class{k, cheap}
		if k.Weight >= best {
			c.classes[k.Name].tier = top
		}
	}
	c.silence, c.late = aim/2, min(aim/2, cmp.Or(set.ResendInterval, aim))
	c.period = max(c.late/parts, time.Millisecond)
	c.window = periods * c.period
	return c, nil
}

// Begin starts the periods; its actions come before those of any event.
func (c *StateMachine) Begin(now Time) []Action {
	c.now, c.rolled, c.n = now, now, periods
	acts := []Action{SetTimer{At: now + c.period, Key: 0}}
	if c.set.WatchServersOnRequest {
		acts = append(acts, WatchServers{})
	}
	return acts
}

// Handle takes one event and returns what is to be done. The slice is the
// caller's. Events that name an unknown call or server change nothing, nor do figures
// that are negative or no numbers; a clock that goes back is taken as standing still.
func (c *StateMachine) Handle(now Time, e Event) []Action {
	c.wakeUp(max(c.now, now))
	c.acts = nil
	for c.rolled+c.period <= c.now {
		c.rolled += c.period
		c.endPeriod()
		if c.now-c.rolled > c.window {
			c.rolled = c.now - c.window
		}
	}
	switch e := e.(type) {
	case ServersUpdated:
		c.list(e)
	case CallOffered:
		c.ask(e)
	case CallEstablished:
		c.stands(e)
	case AttemptEnded:
		c.returned(e)
	case LoadReported:
		if s := c.find(e.Server); s != nil {
			c.report(s, e.Load)
		}
	case CallAbandoned:
		if k := c.calls[e.CallID]; k != nil {
			c.finish(k)
		}
	case TimerFired:
		c.bell(e.Key)
	}
	return c.acts
}

func (c *StateMachine) do(a Action) { c.acts = append(c.acts, a) }

// ---- The mechanism, step 1: the window and the estimate.

// A counter sums over the last N periods.
type counter struct {
	slots   [most]uint16
	head, n int
	sum     int
}

func (n *counter) add() { n.slots[n.head]++; n.sum++ }

// roll opens a new period and lets go of those that are more than N old.
func (n *counter) roll(periods int) {
	n.head = (n.head + 1) % most
	n.slots[n.head] = 0
	for n.n++; n.n >= periods; n.n-- {
		old := &n.slots[(n.head-n.n+most)%most]
		n.sum -= int(*old)
		*old = 0
	}
}

// span is the time that the window of a server covers so far.
func (c *StateMachine) span(s *server) float64 {
	return min(max(c.now-s.since, c.window/3), time.Duration(c.n)*c.period).Seconds()
}

// rate is a count over the window, a second. A refusal costs the server
// nothing, so of the paper's estimate only what was sent is left.
func (c *StateMachine) rate(s *server, n *counter) float64 { return float64(n.sum) / c.span(s) }

// stretch settles N. The danger is a node of many that offers a server a call in several
// seconds: over a short window it counts one or none, and either is far from the rate.
func (c *StateMachine) stretch() {
	c.asked.roll(c.n)
	if c.asked.sum < enough*len(c.servers) {
		c.n = min(c.n+1, most-1)
	} else if c.n > periods {
		c.n--
	}
}

// ---- Step 2: the ceiling.

// press notes evidence that a server is slow by wait: its ceiling becomes the
// rate at which it has lately answered this node, less what clears the wait
// within a window.
func (c *StateMachine) press(s *server, wait time.Duration) {
	if math.IsInf(s.ceiling, 1) {
		s.credit = min(s.credit, c.rng.Float64())
	}
	share := 1 - (wait-c.late).Seconds()/c.window.Seconds()
	s.ceiling = max(c.rate(s, &s.answered)*min(max(share, sharp), 1), c.trickle(s))
	s.pressed, s.clean, s.proven, s.before, s.part = c.now, false, 0, nil, c.rng.Float64()
	c.fleet.RecordOverload(c.now, s.ID)
	c.do(RateLimitChanged{s.ID, s.ceiling, ReasonOverloaded})
	c.note(s, "ceiling %.1f/s of %.1f/s offered, wait %v", s.ceiling, c.rate(s, &s.offered),
		wait.Round(time.Millisecond))
}

// suspect presses a server for its silence, which may be that of the way there.
func (c *StateMachine) suspect(s *server, wait time.Duration) {
	before := cmp.Or(s.before, &standing{s.ceiling, s.proven, s.pressed})
	c.press(s, wait)
	s.before = before
}

// excuse gives back what silence has cost a server where a connection, set-ups or answers were
// lost. The danger is to pay for that like for a jam. It could harm where a jam resets connections.
func (c *StateMachine) excuse(s *server) {
	if b := s.before; b != nil {
		c.do(RateLimitChanged{s.ID, b.ceiling, ReasonSuspicionCleared})
		s.ceiling, s.proven, s.pressed, s.before = b.ceiling, b.proven, b.pressed, nil
	}
}

// speaks notes an answer of any kind. It says nothing of set-ups that still wait for longer.
func (c *StateMachine) speaks(s *server) {
	if s.heard = c.now; c.waits(s) <= c.late {
		s.before = nil
	}
}

// prove lets a server without a ceiling have more at once for each answer that came
// as quickly as any while calls were held back for want of credit. The danger is a node
// of many calls that is held for long to the few that suit one of few calls. It could
// harm where set-ups that are quick one by one jam a processor together.
func (c *StateMachine) prove(s *server) {
	s.floor = min(s.floor, s.last)
	if math.IsInf(s.ceiling, 1) && s.credit < 1 && s.last <= s.floor+c.late/50 {
		s.proven++
		s.credit++
	}
}

// least is this node's part of a trickle that any server can take.
func (c *StateMachine) least() float64 {
	return 1 / c.silence.Seconds() / float64(c.set.ControllerCount)
}

// trickle is the least ceiling: a part of what the pool carried, where that is little. The
// danger is a small server that is slow and kept so by calls that only find that out.
func (c *StateMachine) trickle(s *server) float64 {
	if carried, ok := c.carried[s.Pool]; ok {
		return min(max(carried, c.least())*sharp, c.least())
	}
	return c.least()
}

// endPeriod closes a period for all servers.
func (c *StateMachine) endPeriod() {
	maps.DeleteFunc(c.carried, func(_ int, rate float64) bool { return rate < c.least()*sharp })
	for pool := range c.carried {
		c.carried[pool] *= fade
	}
	c.stretch()
	if c.stood.roll(periods); c.stood.n >= periods/3 {
		c.best = max(c.best*fade, float64(c.stood.sum)/(time.Duration(c.stood.n+1)*c.period).Seconds())
	}
	for _, s := range c.servers {
		s.offered.roll(c.n)
		s.sent.roll(c.n)
		s.answered.roll(c.n)
		if age := c.waits(s); age > c.late {
			c.suspect(s, age)
		}
		rate := c.rate(s, &s.answered)
		if !s.cold && (c.now-s.since >= c.window || s.answered.sum >= enough) {
			c.carried[s.Pool] = max(c.carried[s.Pool], rate)
		}
		s.proven *= fade
		s.credit = min(s.credit+s1*s.ceiling*c.period.Seconds(), c.depth(s))
		s.climb = min(s.climb+c.pace(s, rate)*c.period.Seconds(), min(1+rate, burst))
		if s.climb >= 1 && c.now-s.Started >= c.set.SlowStartPeriod {
			s.cold = false
		}
		if c.now-s.pressed < c.late || math.IsInf(s.ceiling, 1) {
			continue
		}
		clean := time.Duration(c.n) * c.period               // the time that tells, while no answer does
		if s.clean && (s.told || s.answered.sum >= enough) { // one answer tells little where calls are few
			clean = c.window
		}
		s.ceiling *= 1 + regrow*float64(c.window)/float64(clean)
		if c.now-s.pressed > clean && s.credit >= burst {
			s.ceiling = math.Inf(1)
			c.do(RateLimitChanged{s.ID, s.ceiling, ReasonLimitExpired})
			c.note(s, "ceiling lapsed")
		}
	}
}

// ---- Step 3: the tiers.

// holdsBack tells whether a server's pool holds a call back.
func (c *StateMachine) holdsBack(s *server, k *call) bool {
	switch {
	case c.now < s.waitUntil, c.flooded(s, k):
		return true
	case s.free <= 0 && c.now < s.freeUntil, k.tier == again && c.now < s.short:
		return true
	case (s.cold || s.Pool != k.first) && s.climb < 1:
		return true
	case c.waits(s) > c.late: // guards calls against waiting behind others at a hung or jammed server
		return !c.scout(s)
	}
	if holds, told := c.fleet.Throttle(c.now, s.ID, k.tier, s.Pool == k.first); told {
		c.why = cmp.Or(holds, c.why)
		return holds != ""
	}
	share, need := s1, 1.0
	switch k.tier {
	case urgent:
		return false
	case top:
		share, need = s2, 0
	case again:
		need = c.depth(s)
	}
	return s.credit < need || float64(s.sent.sum+1) > max(1, share*s.ceiling*c.span(s)+s.part)
}

// depth is the credit that a server can have: two calls, or two periods of the ceiling;
// without one, what it answers this node within the late mark as well.
func (c *StateMachine) depth(s *server) float64 {
	if math.IsInf(s.ceiling, 1) {
		return burst + max(c.carried[s.Pool]*c.late.Seconds(), s.proven)
	}
	return max(burst, burst*s.ceiling*c.period.Seconds())
}

// ---- Step 4: the pool pick.

func (c *StateMachine) pick(k *call) *server {
	var open []*server
	var spare *server
	swamped := c.swamped(k)
	c.why = ReasonNoServer
	for _, s := range c.servers {
		if s.State != Active || !c.mayServe(s, k) {
			continue
		}
		if s.Pool == k.first && k.attempts == 0 {
			s.offered.add()
			c.fleet.RecordOffered(c.now, s.ID, k.tier)
		}
		switch {
		case swamped, s == k.avoid && !k.dropped, c.holdsBack(s, k):
		case s == k.avoid:
			spare = s
		default:
			open = append(open, s)
		}
	}
	for _, pool := range append([]int{k.first}, k.pools...) {
		if i := slices.IndexFunc(open, func(s *server) bool { return s.Pool == pool }); i >= 0 {
			return open[i]
		}
	}
	if len(open) == 0 {
		return spare
	}
	fewer := func(a, b *server) int { return len(a.pending) - len(b.pending) }
	return slices.MinFunc([]*server{c.draw(open), c.draw(open)}, fewer)
}

// draw takes one of the servers, in proportion to the calls that stand there where that is
// told. The danger is a small server that gets as much of the overflow of hundreds of
// nodes as a large one. It could harm where an idle server is larger than it looks.
func (c *StateMachine) draw(open []*server) *server {
	drawn, sum := open[0], 0.0
	for _, s := range open {
		if sum += 1 + s.standing; c.rng.Float64()*sum < 1+s.standing {
			drawn = s
		}
	}
	return drawn
}

// mayServe tells whether a server is among the call's pools.
func (c *StateMachine) mayServe(s *server, k *call) bool {
	has := func(pools []int) bool { return pools == nil || slices.Contains(pools, s.Pool) }
	return has(k.class.Pools) && has(k.pools) && (k.ran == nil || c.repeats(k, s))
}

// repeats tells whether a call that may have run may go to a server: one that would discard the repeat.
func (c *StateMachine) repeats(k *call, s *server) bool {
	scope := k.class.DeduplicationScope
	sameZone, samePool := s.Zone == k.ran.Zone, s.Pool == k.ran.Pool
	same := scope == ScopeFleet || scope == ScopeZone && sameZone || scope == ScopePool && samePool
	return same && k.class.Repeatability == Deduplicated && c.now-k.ranAt < k.class.DeduplicationWindow
}

// ---- The life of a call.

func (c *StateMachine) ask(e CallOffered) {
	if c.calls[e.CallID] != nil {
		return
	}
	c.lastKey++
	k := &call{id: e.CallID, number: e.Number, class: c.classes[e.Class], first: e.PreferredPool,
		until: e.Deadline, key: c.lastKey, pools: e.Pools}
	c.calls[k.id], c.keys[k.key] = k, k
	c.asked.add()
	if k.class == nil {
		c.refuse(k, ReasonUnknownClass)
		return
	}
	k.tier = k.class.tier
	if c.repeated(k, e.Redialed) {
		k.tier = again
	}
	if e.Reestablish {
		k.tier = urgent
	}
	if k.tier < urgent && c.jammed(k) {
		c.refuse(k, ReasonDestinationCongested)
		return
	}
	c.place(k)
	if !k.answered { // guards the timers against floods of calls that are refused at once
		c.do(SetTimer{At: k.until, Key: k.key})
	}
}

// place sends a call or refuses it.
func (c *StateMachine) place(k *call) {
	if k.attempts >= c.set.MaxAttempts || c.now >= k.until {
		c.fail(k, ReasonExhausted)
		return
	}
	s := c.pick(k)
	if s == nil || c.now+min(s.took, c.late) >= k.until {
		c.refuse(k, c.why)
		return
	}
	k.attempts++
	c.out++
	k.at, k.sentAt, k.cancelled = s, c.now, false
	s.sent.add()
	c.fleet.RecordSent(c.now, s.ID, s.Pool == k.first && k.attempts == 1)
	s.credit = max(s.credit-1, -burst)
	s.free -= float64(c.set.ControllerCount) // the others send as well
	if s.cold || s.Pool != k.first {
		s.climb = max(s.climb-1, 0)
	}
	s.pending = append(s.pending, k)
	c.do(SendAttempt{CallID: k.id, Server: s.ID, Timeout: k.until - c.now})
}

// refuse turns a call down. Who is refused may come again: not said of one that may have run for good.
func (c *StateMachine) refuse(k *call, why Reason) {
	if k.ran != nil && (k.class.Repeatability == NonRepeatable || k.class.DeduplicationScope != ScopeFleet) {
		c.fail(k, why)
		return
	}
	c.do(RejectCall{k.id, c.away(k), why})
	c.finish(k)
}

func (c *StateMachine) fail(k *call, why Reason) { c.do(FailCall{k.id, c.away(k), why}); c.finish(k) }

// away is how long a caller who is turned down should keep away: until the first server
// that may take the call is likely to have a place for it. Callers who are told nothing
// come back when their wanted time has passed, if at all; it is half the late mark at
// least, so that they do not come back to the same jam, and a window at most.
func (c *StateMachine) away(k *call) time.Duration {
	wait := c.window
	for _, s := range c.servers {
		if k.class == nil || s.State != Active || !c.mayServe(s, k) {
			continue
		}
		until := s.waitUntil - c.now
		if need := 1 - s.credit; need > 0 && !math.IsInf(s.ceiling, 1) {
			until = max(until, time.Duration(need/(s1*s.ceiling)*float64(time.Second)))
		}
		wait = min(wait, until)
	}
	return c.set.RetryAfter(max(wait, c.late/2))
}

// finish marks a call as answered and forgets it once nothing is out for it.
func (c *StateMachine) finish(k *call) {
	k.answered = true
	delete(c.keys, k.key)
	if k.at == nil {
		delete(c.calls, k.id)
	}
}

func (c *StateMachine) stands(e CallEstablished) {
	k := c.calls[e.CallID]
	if k == nil || k.at == nil || k.standing || e.Attempt != k.attempts-1 {
		return
	}
	k.standing = true
	c.out--
	s := k.at
	s.remove(k)
	if s.overtake(k.sentAt-min(c.period, c.late/4)) && e.SetupTime-c.pause <= c.late {
		c.excuse(s) // those that it overtook were lost, and with them what looked like silence
	}
	s.answered.add()
	c.stood.add()
	c.speaks(s)
	s.took += (e.SetupTime - s.took) / 4
	c.fleet.RecordResult(c.now, s.ID, true, e.SetupTime-c.pause)
	s.last, s.stood = e.SetupTime-c.pause, c.now
	s.clean, s.told = s.last <= c.late/2, false
	c.prove(s)
	if s.last > c.late {
		c.press(s, s.last)
		s.waitUntil = max(s.waitUntil, c.now+min(s.last, c.window)-c.late)
	}
}

func (c *StateMachine) returned(e AttemptEnded) {
	k := c.calls[e.CallID]
	if k == nil || k.at == nil || e.Attempt != k.attempts-1 {
		return
	}
	s := k.at
	lost := s.remove(k)
	if k.at, k.avoid, k.dropped = nil, s, e.Cause == CauseConnectionUnresponsive; lost {
		k.avoid = nil
	}
	if k.standing { // its line is free again, and so are lines of others
		s.free += float64(c.set.ControllerCount)
	} else {
		c.out--
		c.fleet.RecordResult(c.now, s.ID, false, c.now-k.sentAt)
	}
	c.report(s, e.Load)
	if k.class.Repeatability != Idempotent && k.ran == nil && e.Result.MayHaveRun() {
		k.ran, k.ranAt = s, k.sentAt
	}
	if e.Final || k.answered || k.standing {
		c.finish(k)
		return
	}
	switch e.Result {
	case ServerBusy:
		c.speaks(s)
		if e.Cause == CauseNoCircuit { // all lines stand; the processor may be idle
			s.free, s.freeUntil, s.short = 0, c.now+c.late, c.now+c.window
		} else if c.quick(s) { // it turns calls away, but those that it takes stand at once
			c.press(s, c.late)
		} else {
			c.press(s, c.window)
			s.waitUntil = max(s.waitUntil, c.now+min(e.RetryAfter, c.window))
		}
	case DialFailed:
		s.waitUntil = max(s.waitUntil, c.now+c.silence)
	case NotSent:
	case TimedOut, ConnectionLost, Canceled:
		if e.Cause == CauseConnectionUnresponsive {
			c.excuse(s)
		} else if !lost && (e.Result == TimedOut && !k.cancelled || k.cancelled && s.heard < k.sentAt) {
			c.suspect(s, c.window)
		}
		k.notBefore, k.waiting = c.now+c.set.RetryGuard, true
		if k.notBefore >= k.until || k.class.Repeatability == NonRepeatable {
			c.fail(k, ReasonExhausted)
			return
		}
		c.do(SetTimer{At: k.notBefore, Key: k.key})
		return
	default: // a fault of the signalling
		c.speaks(s)
		s.answered.add()
		if e.Cause == CauseDestinationBusy {
			if k.number != "" {
				c.crowded[k.number] = c.now + c.window
			}
			c.fail(k, ReasonDestinationBusy)
			return
		}
	}
	c.place(k)
}

// report takes in what a server tells of itself. When it is short of lines, the danger is
// that every node goes on trying a pool that can only turn calls away. It covers calls that
// never end; a stale report of no lines could keep calls away for a window.
// A wait past the late mark is evidence as a late answer is, where this node has no fresh
// answer of its own: the danger is a node of few calls that knows of a jam only by joining
// it. It covers jams of any cause; a report that is late itself could hold back in vain.
func (c *StateMachine) report(s *server, load LoadReport) {
	if free := load.FreeCircuits; usable(free) {
		s.free, s.freeUntil = free.Value, c.now+c.window
		if usable(load.TotalCircuits) {
			s.standing = max(load.TotalCircuits.Value-free.Value, 0)
		}
		if free.Value < float64(c.set.ControllerCount) {
			s.short = c.now + c.window
		}
	}
	wait, told := c.tells(s, load)
	if told {
		s.clean, s.told = wait <= c.late/2, true
	}
	if wait > c.late && c.now-s.stood > c.late {
		c.press(s, wait)
		s.waitUntil = max(s.waitUntil, c.now+wait-c.late)
	}
}

// tells makes a wait, a window at most, of a report: the wait told, else the backlog at
// the best pace the server has told, else the share it wants held back, of a window.
func (c *StateMachine) tells(s *server, load LoadReport) (wait time.Duration, told bool) {
	if usable(load.Capacity) {
		s.best = max(s.best, load.Capacity.Value)
	}
	seconds := 0.0
	switch {
	case usable(load.QueueDelay):
		seconds = load.QueueDelay.Value
	case usable(load.QueueLength) && s.best > 0:
		seconds = load.QueueLength.Value / s.best
	case usable(load.ThrottleShare):
		seconds = load.ThrottleShare.Value * c.window.Seconds()
	default:
		return 0, false
	}
	return time.Duration(min(seconds, c.window.Seconds()) * float64(time.Second)), true
}

// usable tells whether a figure was given and is one that can be.
func usable(f Optional) bool { return f.Valid && f.Value >= 0 && !math.IsInf(f.Value, 1) }

func (c *StateMachine) find(id string) *server {
	if i := slices.IndexFunc(c.servers, func(s *server) bool { return s.ID == id }); i >= 0 {
		return c.servers[i]
	}
	return nil
}

// remove takes a call off a server's lists and tells whether it had been overtaken.
func (s *server) remove(k *call) (lost bool) {
	is := func(other *call) bool { return other == k }
	s.pending = slices.DeleteFunc(s.pending, is)
	n := len(s.lost)
	s.lost = slices.DeleteFunc(s.lost, is)
	return len(s.lost) < n
}

// bell wakes the periods (key 0) or a call.
func (c *StateMachine) bell(key int64) {
	switch k := c.keys[key]; {
	case key == 0:
		c.do(SetTimer{At: c.rolled + c.period, Key: 0})
		c.rescue()
		c.forget()
	case key == askAgain:
		c.do(WatchServers{})
	case k == nil || k.standing:
	case c.now >= k.until:
		c.fail(k, ReasonExhausted)
	case k.waiting && c.now >= k.notBefore:
		k.waiting = false
		c.place(k)
	}
}

// ---- The list of servers.

func (c *StateMachine) list(e ServersUpdated) {
	if e.Failed { // what was known stays; ask again, but not at once
		c.do(SetTimer{At: c.now + c.window, Key: askAgain})
		return
	}
	for _, s := range c.servers {
		if e.Full && !slices.ContainsFunc(e.Servers, func(l Server) bool { return l.ID == s.ID }) {
			s.State = Removed
		}
	}
	for _, l := range e.Servers {
		if s := c.find(l.ID); l.ID == "" {
			continue
		} else if s == nil {
			if l.Started == 0 && !e.Full {
				l.Started = c.now
			}
			c.servers = append(c.servers, c.fresh(l))
		} else if l.Started > s.Started {
			pending, lost := s.pending, s.lost
			*s = *c.fresh(l)
			s.pending, s.lost = pending, lost
		} else {
			l.Started = s.Started
			s.Server = l
		}
	}
}

// fresh is a server of which nothing is known yet. One just named may have just started.
func (c *StateMachine) fresh(l Server) *server {
	s := &server{Server: l, ceiling: math.Inf(1), credit: burst, climb: 1,
		pressed: c.now - c.window, heard: c.now, since: c.now, floor: c.late}
	if l.Started > 0 && c.now-l.Started < c.set.SlowStartPeriod {
		s.cold, s.climb = true, c.rng.Float64()
	}
	return s
}

// forget drops servers that are gone once nothing is out there, and numbers not met for long.
func (c *StateMachine) forget() {
	maps.DeleteFunc(c.dialled, func(_ string, n *number) bool { return c.now >= n.until })
	maps.DeleteFunc(c.crowded, func(_ string, next Time) bool { return c.now > next+c.window })
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool {
		return s.State == Removed && len(s.pending)+len(s.lost) == 0
	})
}

// note writes a line on a server for the staff, one in ten windows at most.
func (c *StateMachine) note(s *server, format string, args ...any) {
	if c.now < s.noted {
		return
	}
	s.noted = c.now + 10*c.window
	c.do(LogMessage{Text: "server " + s.ID + ": " + fmt.Sprintf(format, args...)})
}

// ---- Guards.

// repeated tells whether a call is one dialled again whose wanted time has passed, or
// one of a crowd that dials the same number: it earns little, and comes last. A
// caller who was refused at once and is back within the wanted time is as good as new.
func (c *StateMachine) repeated(k *call, marked bool) bool {
	n := c.dialled[k.number]
	if n == nil {
		if k.number != "" && len(c.dialled) < numbers { // guards memory against callers who make up numbers
			c.dialled[k.number] = &number{first: c.now, asks: 1, until: c.now + k.class.Deadline}
		}
		return marked
	}
	n.asks++
	return n.asks > crowd || c.now-n.first > k.class.LatencyObjective-c.late/2
}

// jammed tells whether a call is for a number whose lines were all busy of late,
// the danger being a crowd that dials one number and takes the processors' time
// for calls that cannot stand. One call a window finds out whether a line is free.
func (c *StateMachine) jammed(k *call) bool {
	next, ok := c.crowded[k.number]
	if ok && c.now >= next {
		c.crowded[k.number] = c.now + c.window
	}
	return ok && c.now < next
}

// silent tells whether a server has stopped answering; the danger is a processor that takes
// set-ups and answers none. A lone set-up tells it only while answers elsewhere are quick: in
// a jam of many servers, calling it off leaves its work undone and adds as much at the next.
func (c *StateMachine) silent(s *server) bool {
	late := func(o *server) bool { return o != s && o.last > c.late/2 && c.now-o.stood < 2*c.late }
	n := len(s.pending)
	return n > 0 && c.now-max(s.heard, s.pending[0].sentAt) > c.silence &&
		(n > 1 || !slices.ContainsFunc(c.servers, late))
}

// pace is the rate of set-ups to an unproven server: a growing part of what it answered,
// or for a cold one the share of what its pool has carried that it can do by its age, and three
// quarters of what the settings let all send it at the most.
// The danger is a server pushed over while it starts; a warm successor waits in vain.
func (c *StateMachine) pace(s *server, rate float64) float64 {
	if carried := c.carried[s.Pool]; s.cold && carried > 0 {
		age := min(float64(c.now-s.Started)/float64(c.set.SlowStartPeriod), 1)
		share := c.set.SlowStartShare + (1-c.set.SlowStartShare)*age
		return max(cmp.Or(min(climb, c.set.SlowStartFactor*3/4), climb)*carried*share, c.least())
	}
	return max(climb*rate, c.least())
}

// flooded tells whether so many of this node's set-ups are unanswered at a server that,
// at the best rate it has answered of late, another could not stand in good time. The
// danger is a flood that comes before any answer can be late: calls that were cut and
// come again all at once, or a sudden jump. It could harm when answers come in bulk.
func (c *StateMachine) flooded(s *server, k *call) bool {
	return float64(len(s.pending)) >= burst+max(c.carried[s.Pool]*c.room(k), s.proven)
}

// room is how long a call may wait for those before it, in seconds.
func (c *StateMachine) room(k *call) float64 {
	if k.tier >= top {
		return (k.class.LatencyObjective / 2).Seconds()
	}
	return c.late.Seconds()
}

// swamped is flooded over all servers together. The danger is a node of many servers and
// few calls at each: when one looks slow to it, what all nodes have sent there in the meantime
// takes long to clear. It could harm where many servers fall silent at once.
func (c *StateMachine) swamped(k *call) bool {
	return k.tier < urgent && c.best > 0 && float64(c.out) >= burst+c.best*c.room(k)
}

// quick tells whether a server has just answered this node quickly. Against that a
// single 'processor full' weighs little: the danger is a server that turns a few
// calls away at random while it is idle, and would be left by all.
func (c *StateMachine) quick(s *server) bool { return s.last < c.late/2 && c.now-s.stood < c.late }

// scout lets a call go to a stuck server that was quick, whatever its ceiling, and later each
// time. The danger is a lost set-up that keeps a server from all calls, and nobody finds out.
func (c *StateMachine) scout(s *server) bool {
	n := len(s.pending)
	return s.last < c.late/2 && c.now-s.pending[n-1].sentAt >= c.late<<min(n-1, 8)
}

// waits is how long this node's oldest set-up at a server has been waiting. A single one
// at a server that was quick just before may be lost: it counts half, so that another
// call can go and tell.
func (c *StateMachine) waits(s *server) time.Duration {
	if len(s.pending) == 0 {
		return 0
	}
	age := c.now - s.pending[0].sentAt
	if len(s.pending) == 1 && s.last < c.late/2 {
		age /= 2
	}
	return age
}

// wakeUp moves the clock. The danger is a node that itself stood still: the answers that
// wait for it would look late, and every server pressed. Time in which not even its own
// period was rung counts neither as waiting nor as slow answers.
func (c *StateMachine) wakeUp(now Time) {
	if now == c.now {
		return
	}
	c.now, c.pause = now, 0
	if still := now - c.rolled - c.period; still > c.period {
		c.pause = still
		for _, s := range c.servers {
			for _, k := range s.pending {
				k.sentAt += still
			}
			s.heard, s.stood = s.heard+still, s.stood+still
		}
	}
}

// overtake marks the set-ups sent before a time as lost, as one sent later stands
// already and a processor has one line. The danger is a set-up or an answer that got
// lost on the way: it must neither look like a wait at the server nor wait for its own
// time-out. It could harm at a server that answers out of order.
func (s *server) overtake(before Time) (lost bool) {
	for len(s.pending) > 0 && s.pending[0].sentAt < before {
		s.lost = append(s.lost, s.pending[0])
		s.pending = s.pending[1:]
		lost = true
	}
	return lost
}

// rescue calls off lost set-ups, and those at a silent server while another could take them.
func (c *StateMachine) rescue() {
	if !c.set.CanCancel {
		return
	}
	for _, s := range c.servers {
		for _, k := range s.lost {
			c.callOff(k, ReasonLost)
		}
		if !c.silent(s) {
			continue
		}
		c.note(s, "answers nothing")
		for _, k := range s.pending {
			if c.elsewhere(k) {
				c.callOff(k, ReasonServerUnresponsive)
			}
		}
	}
}

// callOff cancels a call's attempt if time is left to make it stand by another.
func (c *StateMachine) callOff(k *call, why Reason) {
	unrepeatable := k.attempts >= c.set.MaxAttempts || k.class.Repeatability == NonRepeatable
	tooLate := c.now+c.set.RetryGuard+c.late > k.until
	if k.cancelled || k.answered || unrepeatable || c.now-k.sentAt < c.late || tooLate {
		return
	}
	k.cancelled = true
	c.do(CancelAttempt{CallID: k.id, Attempt: k.attempts - 1, Reason: why})
}

// elsewhere tells whether another server that answers quickly would take a call now. In
// a jam of all servers, moving calls only adds the work of those given up.
func (c *StateMachine) elsewhere(k *call) bool {
	return slices.ContainsFunc(c.servers, func(s *server) bool {
		return s != k.at && s.State == Active && c.mayServe(s, k) && c.quick(s) && !c.holdsBack(s, k)
	})
}
