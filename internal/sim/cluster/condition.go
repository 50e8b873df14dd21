package cluster

import (
	"context"
	"fmt"
	"time"

	"olivedale/internal/sim/loopback"
)

// A Condition must hold across processes. Check runs from After on until it returns nil; an error that it still
// returns at Deadline is a violation. Both times count as those of faults do.
type Condition struct {
	Name            string
	After, Deadline time.Duration
	Check           func(ctx context.Context, r *Run) error
}

// Rules of the cluster itself, beside those of the invariants, as results name them.
const (
	ruleHarness  = "rig"      // the harness could not inject a fault
	ruleNoCrash  = "no_crash" // no process ends unless the run ends it
	ruleStarts   = "starts"   // a controller that ended serves again within startTimeout
	ruleRecovers = "recovers" // calls are established through each controller once all faults are over
)

// minRecoveryCalls is the number of calls from which a controller's recovery is judged.
const minRecoveryCalls = 20

// conditionInterval is the time between two checks of a condition.
const conditionInterval = 50 * time.Millisecond

// A Violation is an invariant or a condition that did not hold, with what helps to reproduce it.
type Violation struct {
	Rule        string   `json:"rule"`
	Text        string   `json:"text"`
	Node        string   `json:"node,omitempty"`
	Call        string   `json:"call,omitempty"`
	At          float64  `json:"at_s"`
	LatestFault string   `json:"step,omitempty"`
	Around      []string `json:"around,omitempty"` // events before the violation
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	s := fmt.Sprintf("%s broken at %.3f s: %s", v.Rule, v.At, v.Text)
	if v.LatestFault != "" {
		s += " (latest fault: " + v.LatestFault + ")"
	}
	return s
}

// violation notes a violation at this time.
func (r *Run) violation(rule, controller, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Violation{
		Rule: rule,
		Node: controller,
		Text: fmt.Sprintf(format, args...),
		At:   time.Since(r.startTime).Seconds(),
	}
	if n := len(r.injected); n > 0 {
		v.LatestFault = r.injected[n-1].Fault.String()
	}
	r.violations = append(r.violations, v)
}

// checkCondition checks until the condition holds, or its deadline is over.
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

// checkRecovery checks that once all faults are over, at least half of the calls through each controller are
// established. before is what callers had got when the last fault ended; nil: the run was too short.
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
				"%d of the last %d calls through %s were established, after all faults were over",
				established, sent, name)
		}
	}
}
