package reachability

import "time"

// RestartTimeout is the time from the loss of a connection after which the process of a server that has refused
// connections since counts as ended. If a call ends without a release, its caller must be notified within 8 s; the
// remaining time is for callers that have to connect first.
const RestartTimeout = 5 * time.Second

// A RestartDetector decides whether the process of one server has ended, which ends its calls. The zero value is a
// server whose process runs.
//
// A process that ends resets its connections, and new ones are refused. A server that resets idle connections and holds
// as many others as it accepts looks the same, but its calls continue, and it releases them when they end. A release of
// a call that was established before shows that the process is the same. Other messages show nothing, because another
// process may have taken the address.
type RestartDetector struct {
	suspectSince Time // the process may have ended at that time; 0 if it is not suspected
	latestLoss   Time // the process may also have ended at that time; not before suspectSince
}

// IsSuspect reports whether the process may have ended.
func (d *RestartDetector) IsSuspect() bool { return d.suspectSince > 0 }

// RecordRefusal records a refused connection that followed the loss of the connection at lostAt. It reports whether the
// process thereby becomes suspect.
func (d *RestartDetector) RecordRefusal(lostAt Time) (becameSuspect bool) {
	becameSuspect = d.suspectSince == 0
	if becameSuspect {
		d.suspectSince = lostAt
	}
	d.latestLoss = max(d.latestLoss, lostAt)
	return becameSuspect
}

// RecordRelease records that the server released a call that was established at establishedAt. It reports whether
// that clears the suspicion.
func (d *RestartDetector) RecordRelease(establishedAt Time) (cleared bool) {
	switch {
	case d.suspectSince > 0 && establishedAt <= d.suspectSince:
		*d = RestartDetector{}
		return true
	case establishedAt <= d.latestLoss:
		d.latestLoss = d.suspectSince
	}
	return false
}

// CheckEnded reports whether the process counts as ended now. If so, the calls that were established before the
// returned time are over.
func (d *RestartDetector) CheckEnded(now Time) (before Time, hasEnded bool) {
	if d.suspectSince == 0 || now-d.suspectSince < RestartTimeout {
		return 0, false
	}
	before = d.suspectSince + 1
	if d.latestLoss > d.suspectSince {
		d.suspectSince = d.latestLoss
	} else {
		*d = RestartDetector{}
	}
	return before, true
}
