// Package reachability is a failure detector: it decides from the activity of a server whether the calls that are
// established there are over. Detector tells servers that have vanished, RestartDetector processes that have ended.
//
// A machine that fails sends no notice: its open connections become silent, and new ones are never established. A
// network partition of a few seconds looks the same, but the calls behind it continue. Only the duration distinguishes
// the two, so it is measured from the last activity, and a quiet server is probed often enough for this time to be
// accurate. A process that hangs does not count as failed, because its machine still accepts connections.
//
// The package reads no clock and does no I/O. The owner of the connection (internal/backend) reports what it observes
// and acts on the decisions made here.
package reachability

import "time"

// A Time is a reading of the system clock: the time since the Unix epoch.
type Time = time.Duration

const (
	// ProbeAfter is the silence after which a server with established calls is probed by opening a new connection. The
	// time at which a server failed is known to within this time plus the length of a tick.
	ProbeAfter = 850 * time.Millisecond
	// ProbeInterval is the time between the starts of probes while the server shows no activity.
	ProbeInterval = 250 * time.Millisecond
	// MaxProbeTimeout bounds each probe, so that a later one can detect the end of a partition.
	MaxProbeTimeout = 500 * time.Millisecond
	// MaxSilence is the time since the last activity after which the calls count as over. If a call ends without a
	// release, its caller must be notified within 8 s; the remaining time is for ticks and message delivery.
	MaxSilence = 7600 * time.Millisecond
	// MinOutage is the minimum time from the start of the first failed probe until the calls count as over. It ensures
	// that a partition of 6 s ends no call, even if this process was stopped for a while.
	MinOutage = 6400 * time.Millisecond
	// minFailures is the number of probes that must have failed until then, and maxEvidenceAge the maximum time since
	// the start of the latest of them. They force new probes after this process was stopped.
	minFailures    = 4
	maxEvidenceAge = 2 * time.Second
	// maxReportDelay is the maximum delay in noticing that a probe timed out. A longer delay means that this process
	// was stopped and may have missed the connection.
	maxReportDelay = 500 * time.Millisecond
)

// A State is the reachability of a server.
type State int

// The states of a server.
const (
	Reachable State = iota // active since the latest failed probe, or not probed
	Suspect                // probes have failed since the last activity
	Lost                   // inactive for so long that its calls are over
)

// String returns the name of the state as it appears in logs.
func (s State) String() string {
	switch s {
	case Reachable:
		return "reachable"
	case Suspect:
		return "suspect"
	case Lost:
		return "lost"
	}
	return "unknown"
}

// An Outage is a period in which a server shows no activity.
type Outage struct {
	Began        Time // time of the last activity
	FailedProbes int
}

// A Detector tracks the state of one server. The zero value is a server that was last active at time 0.
type Detector struct {
	state        State
	lastActivity Time
	firstFailure Time // start of the first failed probe since lastActivity; set in states Suspect and Lost
	lastFailure  Time // start of the latest failed probe since lastActivity
	lastProbe    Time // start of the latest probe
	failures     int  // number of failed probes since lastActivity
}

// State returns the server's state.
func (d *Detector) State() State { return d.state }

// Outage returns the current outage. It is meaningless if the server is Reachable.
func (d *Detector) Outage() Outage { return Outage{Began: d.lastActivity, FailedProbes: d.failures} }

// RecordActivity records activity: received data, an established connection, or one that the server closed. It returns
// the previous state and the outage that has ended, which is meaningless if that state is Reachable.
func (d *Detector) RecordActivity(now Time) (State, Outage) {
	previous, outage := d.state, d.Outage()
	*d = Detector{lastActivity: max(now, d.lastActivity), lastProbe: d.lastProbe}
	return previous, outage
}

// RecordProbe records the start of a probe. Any attempt to open a connection is a probe.
func (d *Detector) RecordProbe(now Time) { d.lastProbe = now }

// RecordFailure records at now that a probe has timed out and reports whether the server thereby becomes Suspect. It
// ignores probes that started before the last activity and failures that are reported late.
func (d *Detector) RecordFailure(now, startedAt Time, timeout time.Duration) (becameSuspect bool) {
	isLate := now-startedAt > timeout+maxReportDelay
	if startedAt < d.lastActivity || isLate {
		return false
	}
	d.failures++
	d.lastFailure = max(d.lastFailure, startedAt)
	if d.state != Reachable {
		return false
	}
	d.state = Suspect
	d.firstFailure = startedAt
	return true
}

// RecordRefusal records that the server has refused a connection, which shows that its machine runs. It reports whether
// the machine was unreachable before, so that the reset of its connections can have been lost.
func (d *Detector) RecordRefusal(now Time) (wasUnreachable bool) {
	previous, _ := d.RecordActivity(now)
	return previous != Reachable
}

// IsProbeDue reports whether a server with established calls should be probed now.
func (d *Detector) IsProbeDue(now Time) bool {
	isQuiet := now-d.lastActivity >= ProbeAfter
	return d.state != Lost && isQuiet && now-d.lastProbe >= ProbeInterval
}

// CheckLost reports whether the server becomes Lost now, which means that its established calls are over.
func (d *Detector) CheckLost(now Time) bool {
	isExpired := now-d.lastActivity >= MaxSilence && now-d.firstFailure >= MinOutage
	isProven := d.failures >= minFailures && now-d.lastFailure <= maxEvidenceAge
	if d.state != Suspect || !isExpired || !isProven {
		return false
	}
	d.state = Lost
	return true
}
