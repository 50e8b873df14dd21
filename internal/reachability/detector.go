// Package reachability decides from the signs of life of a server whether the calls that stand there are over.
//
// A machine that vanishes gives no word: its connections stay open and silent, and new ones never come up. A network
// that is partitioned for some seconds looks the same, but the calls behind it stand. What tells the two apart is time
// alone, so it is counted from the last sign of life, and signs of life are asked for often enough that this time is
// known. A process that hangs is no vanished machine: its connections still come up.
//
// The package is pure: it reads no clock and does no input or output. The owner of the connection (internal/backend)
// reports what it sees and carries out what is decided here.
package reachability

import "time"

// A Time is a reading of the system's Unix clock: the time since the Unix epoch.
type Time = time.Duration

const (
	// ProbeAfter is the silence after which a server with established calls is probed by a new connection. The moment
	// at which a server vanished is known to within this time and the length of a tick.
	ProbeAfter = 850 * time.Millisecond
	// ProbeInterval is the time between the starts of probes while the server shows no life.
	ProbeInterval = 250 * time.Millisecond
	// MaxProbeTimeout bounds each probe, so that the next one can find a partition ended.
	MaxProbeTimeout = 500 * time.Millisecond
	// MaxSilence is the time since the last sign of life after which the calls count as over. Callers must know within
	// 8 s of the end of a call that no release could be sent for; what is left is for ticks and for the messages.
	MaxSilence = 7600 * time.Millisecond
	// MinOutage is the least time from the start of the first failed probe to that decision: a partition that lasts for
	// 6 s cuts no call, also where this process itself was stopped for a while.
	MinOutage = 6400 * time.Millisecond
	// minFailures is how many probes must have failed by then, and maxEvidenceAge how long ago the latest of them may
	// have been started: where this process itself stood still, it has to ask again.
	minFailures    = 4
	maxEvidenceAge = 2 * time.Second
	// maxReportDelay is how long after its time the failure of a probe may be seen; later, this process stood still
	// and has not looked for the connection in time.
	maxReportDelay = 500 * time.Millisecond
)

// A State is what is known of whether a server can be reached.
type State int

// The states of a server.
const (
	Reachable State = iota // it has shown life since the latest failed probe, or was not probed
	Suspect                // probes have failed since its last sign of life
	Lost                   // it has shown no life for so long that its calls are over
)

// String returns the state's name, as logs show it.
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

// An Outage is the time in which a server showed no life.
type Outage struct {
	Began        Time // the last sign of life
	FailedProbes int
}

// A Detector follows one server. The zero value is a server whose last sign of life is at time 0.
type Detector struct {
	state        State
	lastSign     Time
	firstFailure Time // start of the first failed probe since lastSign; set in Suspect and Lost
	lastFailure  Time // start of the latest failed probe since lastSign
	lastProbe    Time // start of the latest probe
	failures     int  // failed probes since lastSign
}

// State returns the server's state.
func (d *Detector) State() State { return d.state }

// Outage returns the outage that lasts; it has no meaning for a server that is Reachable.
func (d *Detector) Outage() Outage { return Outage{Began: d.lastSign, FailedProbes: d.failures} }

// RecordSign records a sign of life: input, a connection that came up, or one that the server closed. It returns the
// state that ends with it and the outage, which has no meaning if that state is Reachable.
func (d *Detector) RecordSign(now Time) (State, Outage) {
	previous, outage := d.state, d.Outage()
	*d = Detector{lastSign: max(now, d.lastSign), lastProbe: d.lastProbe}
	return previous, outage
}

// RecordProbe records the start of a probe, which is any attempt to open a connection.
func (d *Detector) RecordProbe(now Time) { d.lastProbe = now }

// RecordFailure records at now that a probe has brought nothing within its timeout. It reports whether the server
// becomes Suspect by it. A probe from before the last sign of life proves nothing, nor does one that is reported late.
func (d *Detector) RecordFailure(now, startedAt Time, timeout time.Duration) (becameSuspect bool) {
	isLate := now-startedAt > timeout+maxReportDelay
	if startedAt < d.lastSign || isLate {
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

// RecordRefusal records that the server has refused a connection: its machine runs and nobody listens. It reports
// whether the process that listened has ended. That is so if the machine could not be reached before, because its
// connections would have been reset otherwise. A machine that could be reached all the time may refuse for other
// reasons, such as too many connections: this is a sign of life.
func (d *Detector) RecordRefusal(now Time) (processEnded bool) {
	previous, _ := d.RecordSign(now)
	return previous != Reachable
}

// IsProbeDue reports whether a server at which calls are established should be probed now.
func (d *Detector) IsProbeDue(now Time) bool {
	isQuiet := now-d.lastSign >= ProbeAfter
	return d.state != Lost && isQuiet && now-d.lastProbe >= ProbeInterval
}

// CheckLost reports whether the server becomes Lost now: the calls that are established there are over.
func (d *Detector) CheckLost(now Time) bool {
	isLong := now-d.lastSign >= MaxSilence && now-d.firstFailure >= MinOutage
	isProven := d.failures >= minFailures && now-d.lastFailure <= maxEvidenceAge
	if d.state != Suspect || !isLong || !isProven {
		return false
	}
	d.state = Lost
	return true
}
