package soak

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"olivedale/internal/codec/sip"
	"olivedale/internal/sim/invariant"
)

// Rules of a run in addition to those of internal/sim/invariant.
const (
	RulePassedUnchanged invariant.Rule = "passed_unchanged" // exchanges receive set-ups unchanged and from callers only
	RuleAnswerGenuine   invariant.Rule = "answer_genuine"   // an established call has the description of its exchange
	RuleAnswerLost      invariant.Rule = "answer_lost"      // no connection is closed while answers on it are due
	RuleNoCrash         invariant.Rule = "no_crash"         // no process ends unexpectedly
	RuleStarts          invariant.Rule = "starts"           // a started process accepts connections within startTimeout
	RuleStops           invariant.Rule = "stops"            // a process exits with code 0 after SIGTERM
	RuleWithinLimits    invariant.Rule = "within_limits"    // memory and descriptors stay within the configured limits
	RuleBadClient       invariant.Rule = "bad_client"       // a client that sends bad input gets an answer or a close
)

const (
	// clockSlack is the tolerance of the rules for clocks and transmission times, with all processes on one machine.
	clockSlack = 150 * time.Millisecond
	// abandonGrace is how long a set-up may still reach an exchange after its caller abandoned the call.
	abandonGrace = 300 * time.Millisecond
	// maxOrphanTime is how long an exchange may keep a call established after it ended for its caller.
	maxOrphanTime = 3 * time.Second
	// maxViolations bounds the number of violations of the rules above that are kept.
	maxViolations = 50
)

// A monitor passes the events that callers and exchanges observe to the checker, and collects violations and totals.
// Its methods are safe for concurrent use.
type monitor struct {
	mu         sync.Mutex
	startTime  time.Time
	lastAt     invariant.Time
	checker    *invariant.Checker
	setups     map[string]setup          // by call
	overAt     map[string]invariant.Time // by call: time of the final answer, or when its caller abandoned it
	violations []*invariant.Violation
	counts     Counts
}

// A setup is the content of a set-up as its caller sent it.
type setup struct {
	controller, class, number string
	description               []byte
}

// Counts are totals of a run. Tools print them with the names of their fields.
type Counts struct {
	Offered     int `json:"offered"`
	Established int `json:"established"`
	Rejected    int `json:"rejected"` // rejected or failed
	Abandoned   int `json:"abandoned"`
	Ended       int `json:"ended"`    // established calls that ended at their exchange
	Lost        int `json:"lost"`     // of these, without a release by the exchange
	Notified    int `json:"notified"` // callers that were notified of a release
	Cut         int `json:"cut"`      // of these, while the call was still established at its exchange
}

// Add adds the totals of another run.
func (c *Counts) Add(other *Counts) {
	c.Offered += other.Offered
	c.Established += other.Established
	c.Rejected += other.Rejected
	c.Abandoned += other.Abandoned
	c.Ended += other.Ended
	c.Lost += other.Lost
	c.Notified += other.Notified
	c.Cut += other.Cut
}

func newMonitor(startTime time.Time) *monitor {
	limits := invariant.DefaultLimits()
	limits.Slack = clockSlack
	limits.AbandonGrace = abandonGrace
	limits.MaxOrphanTime = maxOrphanTime
	limits.CheckReleases = true
	return &monitor{
		startTime: startTime, checker: invariant.New(limits), setups: make(map[string]setup),
		overAt: make(map[string]invariant.Time),
	}
}

// register records the content of a set-up before it is sent.
func (mo *monitor) register(id string, s setup) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.setups[id] = s
}

// checkSetup compares an INVITE with the set-up of its caller, and returns the controller to which that was sent.
func (mo *monitor) checkSetup(exchangeID string, m *sip.Message) (controller string) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	s, isKnown := mo.setups[m.CallID]
	switch {
	case !isKnown:
		mo.reportViolationLocked(RulePassedUnchanged, "", m.CallID, "%s received a set-up that no caller sent",
			exchangeID)
	case s.class != m.Header("X-Cos") || s.number != m.User() || !bytes.Equal(s.description, m.Body):
		mo.reportViolationLocked(RulePassedUnchanged, s.controller, m.CallID, "%s received class %q, number %q, %q",
			exchangeID, m.Header("X-Cos"), m.User(), m.Body)
	}
	return s.controller
}

// record passes an event to the checker with the current time. e.Deadline is relative to it.
func (mo *monitor) record(e invariant.Event) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.count(mo.recordLocked(e))
}

// recordReleaseSent records the release of a call whose end was recorded as one without a release.
func (mo *monitor) recordReleaseSent(e invariant.Event) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.recordLocked(e)
	mo.counts.Lost--
}

func (mo *monitor) recordLocked(e invariant.Event) invariant.Event {
	mo.lastAt = max(time.Since(mo.startTime), mo.lastAt)
	e.At = mo.lastAt
	e.Deadline += e.At
	mo.checker.Record(e)
	switch e.Kind {
	case invariant.CallEstablished, invariant.CallRejected, invariant.CallAbandoned:
		mo.overAt[e.Call] = e.At
	default: // not the end of a set-up
	}
	return e
}

// hasEndedAfter reports whether a set-up was answered or abandoned after a time.
func (mo *monitor) hasEndedAfter(call string, after time.Time) bool {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	overAt, isOver := mo.overAt[call]
	return isOver && overAt > after.Sub(mo.startTime)
}

func (mo *monitor) count(e invariant.Event) {
	c := &mo.counts
	switch e.Kind {
	case invariant.CallOffered:
		c.Offered++
	case invariant.CallEstablished:
		c.Established++
	case invariant.CallRejected:
		c.Rejected++
	case invariant.CallAbandoned:
		c.Abandoned++
	case invariant.CallEnded:
		c.Ended++
		if e.Deadline-e.At == lossNotifyLimit {
			c.Lost++
		}
	case invariant.CallerNotified:
		c.Notified++
	default: // not counted
	}
}

// countCut counts a caller that was notified of a release although its call was still established at its exchange.
func (mo *monitor) countCut() {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.counts.Cut++
}

// reportViolation records a violation of one of the rules of this package.
func (mo *monitor) reportViolation(r invariant.Rule, controller, call, format string, args ...any) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.reportViolationLocked(r, controller, call, format, args...)
}

func (mo *monitor) reportViolationLocked(r invariant.Rule, controller, call, format string, args ...any) {
	if len(mo.violations) >= maxViolations {
		return
	}
	mo.violations = append(mo.violations, &invariant.Violation{
		Rule:       r,
		At:         time.Since(mo.startTime),
		Controller: controller,
		Call:       call,
		Text:       fmt.Sprintf(format, args...),
	})
}

// finish returns the violations and the totals of the run.
func (mo *monitor) finish() ([]*invariant.Violation, Counts) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	// Finish also checks calls that are still open, but all calls have been answered before a run ends.
	mo.checker.Finish(time.Since(mo.startTime))
	return append(mo.violations, mo.checker.Violations()...), mo.counts
}
