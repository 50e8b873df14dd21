package cluster

import (
	"context"
	"fmt"
	"time"

	"olivedale/internal/sim/loopback"
)

// A Condition is a check across processes that must succeed in time. Check is called repeatedly from After on until it
// returns nil; an error that it still returns after Deadline is a violation. Both times count from the same moment as
// Fault.At.
type Condition struct {
	Name            string
	After, Deadline time.Duration
	Check           func(ctx context.Context, r *Run) error
}

// Rules that the harness itself checks, by their names in results. The rules on calls are in internal/sim/invariant.
const (
	ruleHarness  = "rig"      // the harness could not inject a fault
	ruleNoCrash  = "no_crash" // no controller process ends unless the run ends it
	ruleStarts   = "starts"   // a controller that ended accepts connections again within startTimeout
	ruleRecovers = "recovers" // calls are established through each controller after all faults have ended
)

// minRecoveryCalls is the minimum number of calls for checking a controller's recovery.
const minRecoveryCalls = 20

// conditionInterval is the time between two checks of a condition.
const conditionInterval = 50 * time.Millisecond

// A Violation is an invariant or a condition that did not hold, with its context.
type Violation struct {
	Rule            string   `json:"rule"`
	Text            string   `json:"text"`
	Controller      string   `json:"node,omitempty"`
	Call            string   `json:"call,omitempty"`
	At              float64  `json:"at_s"`
	LatestFault     string   `json:"step,omitempty"`
	PrecedingEvents []string `json:"around,omitempty"` // events before the violation
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	s := fmt.Sprintf("%s violated at %.3f s: %s", v.Rule, v.At, v.Text)
	if v.LatestFault != "" {
		s += " (latest fault: " + v.LatestFault + ")"
	}
	return s
}

// violation records a violation at the current time.
func (r *Run) violation(rule, controller, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Violation{
		Rule:       rule,
		Controller: controller,
		Text:       fmt.Sprintf(format, args...),
		At:         time.Since(r.startTime).Seconds(),
	}
	if n := len(r.injected); n > 0 {
		v.LatestFault = r.injected[n-1].Fault.String()
	}
	r.violations = append(r.violations, v)
}

// checkCondition checks a condition until it holds or its deadline has passed.
func (r *Run) checkCondition(ctx context.Context, c Condition) {
	if !r.sleepUntil(ctx, c.After) {
		return
	}
	for {
		err := c.Check(ctx, r)
		if err == nil || ctx.Err() != nil {
			return
		}
		if time.Since(r.startTime) > c.Deadline {
			r.violation(c.Name, "", "%v", err)
			return
		}
		pause(ctx, conditionInterval)
	}
}

// checkRecovery checks that at least half of the calls that were sent through each controller after all faults had
// ended were established. before has the statistics at that time; nil means that the run ended earlier.
func (r *Run) checkRecovery(before []loopback.LoadStats) {
	if before == nil {
		return
	}
	for i, now := range r.loadStats() {
		sent := now.Sent - before[i].Sent
		established := now.Established - before[i].Established
		if sent >= minRecoveryCalls && established*2 < sent {
			name := r.controllers[i].name
			r.violation(ruleRecovers, name,
				"only %d of the %d calls through %s after the last fault were established",
				established, sent, name)
		}
	}
}
