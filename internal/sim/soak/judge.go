package soak

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"olivedale/internal/codec/sip"
	"olivedale/internal/sim/invariant"
)

// Rules of a trial beside those of internal/sim/invariant.
const (
	RulePassedUnchanged invariant.Rule = "passed_unchanged" // set-ups reach exchanges unchanged and only from callers
	RuleAnswerGenuine   invariant.Rule = "answer_genuine"   // an established call has the description of its exchange
	RuleAnswerLost      invariant.Rule = "answer_lost"      // no connection ends without the answers owed on it
	RuleNoCrash         invariant.Rule = "no_crash"         // no process ends by itself
	RuleStarts          invariant.Rule = "starts"           // a process that starts serves within startTimeout
	RuleStops           invariant.Rule = "stops"            // a process ends with code 0 after SIGTERM
	RuleWithinLimits    invariant.Rule = "within_limits"    // memory and descriptors
	RuleBadClient       invariant.Rule = "bad_client"       // a client that sends nonsense gets an answer or a close
)

const (
	// clockSlack is the tolerance of the rules for clocks and network: all processes of a trial share a machine.
	clockSlack = 150 * time.Millisecond
	// abandonGrace is how long after its caller left a set-up may still reach an exchange.
	abandonGrace = 300 * time.Millisecond
	// standingLimit is how long an exchange may keep a call that is over for its caller.
	standingLimit = 3 * time.Second
	// maxViolations bounds the violations of the rules above that are kept.
	maxViolations = 50
)

// A judge passes what callers and exchanges see to the checker. Its methods are safe for concurrent use.
type judge struct {
	mu         sync.Mutex
	startTime  time.Time
	lastAt     invariant.Time
	checker    *invariant.Checker
	setups     map[string]setup          // by call
	overAt     map[string]invariant.Time // by call: of the final answer, or when the caller left
	violations []*invariant.Violation
	counts     Counts
}

// A setup is what a caller asked for.
type setup struct {
	controller, class, number string
	description               []byte
}

// Counts are totals of a trial.
type Counts struct {
	Offered     int `json:"offered"`
	Established int `json:"established"`
	Rejected    int `json:"rejected"` // or failed
	Abandoned   int `json:"abandoned"`
	Ended       int `json:"ended"`    // established calls that ended at their exchange
	Lost        int `json:"lost"`     // of these, without a message of the exchange
	Notified    int `json:"notified"` // callers that were notified of a release
	Cut         int `json:"cut"`      // of these, while the call stood at its exchange
}

// Add adds the totals of another trial.
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

func newJudge(startTime time.Time) *judge {
	limits := invariant.DefaultLimits()
	limits.Slack = clockSlack
	limits.AbandonGrace = abandonGrace
	limits.Standing = standingLimit
	limits.JudgeReleases = true
	return &judge{
		startTime: startTime, checker: invariant.New(limits), setups: make(map[string]setup),
		overAt: make(map[string]invariant.Time),
	}
}

// register notes a set-up before it is sent.
func (j *judge) register(id string, s setup) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.setups[id] = s
}

// checkSetup compares an INVITE with what its caller asked for, and returns the controller that was asked.
func (j *judge) checkSetup(exchangeID string, m *sip.Message) (controller string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s, isKnown := j.setups[m.CallID]
	switch {
	case !isKnown:
		j.violateLocked(RulePassedUnchanged, "", m.CallID, "%s got a set-up that no caller sent", exchangeID)
	case s.class != m.Header("X-Cos") || s.number != m.User() || !bytes.Equal(s.description, m.Body):
		j.violateLocked(RulePassedUnchanged, s.controller, m.CallID, "%s got class %q, number %q, %q", exchangeID,
			m.Header("X-Cos"), m.User(), m.Body)
	}
	return s.controller
}

// record passes an event to the checker as of now. Deadline is taken as a time from now.
func (j *judge) record(e invariant.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.count(j.recordLocked(e))
}

// recordReleaseSent notes that the release of a call has been sent whose end was recorded as one without a release.
func (j *judge) recordReleaseSent(e invariant.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recordLocked(e)
	j.counts.Lost--
}

func (j *judge) recordLocked(e invariant.Event) invariant.Event {
	j.lastAt = max(time.Since(j.startTime), j.lastAt)
	e.At = j.lastAt
	e.Deadline += e.At
	j.checker.Record(e)
	switch e.Kind {
	case invariant.CallEstablished, invariant.CallRejected, invariant.CallAbandoned:
		j.overAt[e.Call] = e.At
	default: // not the end of a set-up
	}
	return e
}

// isOverSince reports whether a set-up was answered, or its caller left, after a time.
func (j *judge) isOverSince(call string, after time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	overAt, isOver := j.overAt[call]
	return isOver && overAt > after.Sub(j.startTime)
}

func (j *judge) count(e invariant.Event) {
	c := &j.counts
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
		if e.Deadline-e.At == lossTime {
			c.Lost++
		}
	case invariant.CallerNotified:
		c.Notified++
	default: // not counted
	}
}

// recordCut counts a caller that was notified although its call stood at its exchange.
func (j *judge) recordCut() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Cut++
}

// violate records a violation of a rule of this package.
func (j *judge) violate(r invariant.Rule, controller, call, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violateLocked(r, controller, call, format, args...)
}

func (j *judge) violateLocked(r invariant.Rule, controller, call, format string, args ...any) {
	if len(j.violations) >= maxViolations {
		return
	}
	j.violations = append(j.violations, &invariant.Violation{
		Rule:       r,
		At:         time.Since(j.startTime),
		Controller: controller,
		Call:       call,
		Text:       fmt.Sprintf(format, args...),
	})
}

// finish returns the violations and the totals of the trial.
func (j *judge) finish() ([]*invariant.Violation, Counts) {
	j.mu.Lock()
	defer j.mu.Unlock()
	// The checker's own Finish would judge calls that are still open: those are answered before a trial ends.
	j.checker.Finish(time.Since(j.startTime))
	return append(j.violations, j.checker.Violations()...), j.counts
}
