package server

import "time"

// Times of an orderly shutdown. SIGKILL follows the SIGTERM that asks for it by the platform's own time.
const (
	// minDrainTime is how long after SIGTERM set-ups are still to be expected.
	minDrainTime = 750 * time.Millisecond
	// shutdownTimeout, or the longest deadline if that is shorter: SIGKILL follows 0.7 s behind.
	shutdownTimeout = 3 * time.Second
	// rejectDelay: shutdownTimeout and this after SIGTERM whatever is open is answered.
	rejectDelay = 300 * time.Millisecond
	// quietPeriod is how long there must be no pending work before the process ends.
	quietPeriod = 60 * time.Millisecond
	// shutdownCheckInterval is how often a server that drains looks whether it can end.
	shutdownCheckInterval = quietPeriod / 4
)

// A lifecycleState is the state of a server between its start and its end.
type lifecycleState int

const (
	stateRunning  lifecycleState = iota
	stateDraining                // a shutdown was asked for; set-ups are still served
	stateStopping                // connections are closed; set-ups that still come are rejected
	stateEnded                   // the event loop is being stopped
)

// String returns the state's name.
func (s lifecycleState) String() string {
	switch s {
	case stateRunning:
		return "running"
	case stateDraining:
		return "draining"
	case stateStopping:
		return "stopping"
	case stateEnded:
		return "ended"
	}
	return "unknown"
}

// A lifecycle is the progress of a server from its start to its end.
type lifecycle struct {
	state      lifecycleState
	started    chan struct{} // closed once the server serves
	startError error         // why the server could not start

	drainingSince time.Duration
	checkAt       time.Duration // when to look next whether the process can end
	quietSince    time.Duration // since when there has been no pending work, 0: there is
	late          lateConnections
	ended         chan struct{} // closed when the event loop is to be stopped
}

func newLifecycle() lifecycle {
	return lifecycle{started: make(chan struct{}), ended: make(chan struct{})}
}

// isEnding reports whether the server serves no more set-ups.
func (l *lifecycle) isEnding() bool { return l.state >= stateStopping }

// isCheckDue reports whether it is time to look whether the process can end. The next check is due a fixed interval
// later, not after each iteration: steady traffic would put it off for ever.
func (l *lifecycle) isCheckDue(now time.Duration) bool {
	if l.state == stateRunning || now < l.checkAt {
		return false
	}
	l.checkAt = now + shutdownCheckInterval
	return true
}

// Stop begins an orderly shutdown, as SIGTERM asks for. It may be called from anywhere once the server has started.
func (s *Server) Stop() { s.loop.ExecuteIteration(s.beginShutdown) }

// beginShutdown changes from running to draining.
func (s *Server) beginShutdown() {
	if s.lifecycle.state != stateRunning {
		return
	}
	s.lifecycle.state = stateDraining
	s.lifecycle.drainingSince = s.loop.Now()
	s.recorder.recordStopping()
	s.loop.Log.Infow("stopping", "open", s.calls.OpenCalls(), "standing", s.calls.EstablishedCalls())
}

// checkDraining changes from draining to stopping once there is no pending work. It goes on accepting while set-ups may
// still come, and does not wait for calls that may stay open until SIGKILL.
func (s *Server) checkDraining(now time.Duration) {
	l := &s.lifecycle
	if l.state != stateDraining || now-l.drainingSince < minDrainTime {
		return
	}
	if s.isShutdownTimedOut(now) {
		s.calls.RejectOpenCalls()
	} else if s.hasPendingWork() {
		l.quietSince = 0
		return
	}
	if l.quietSince == 0 {
		l.quietSince = now
	}
	if now-l.quietSince < quietPeriod { // what arrives now is still taken, and begins the wait anew
		return
	}
	l.state = stateStopping
	s.loop.Execute(s.closeConnections)
}

// isShutdownTimedOut reports whether SIGKILL is near: whatever is open, or arrives, is answered at once.
func (s *Server) isShutdownTimedOut(now time.Duration) bool {
	if s.lifecycle.state == stateRunning {
		return false
	}
	timeout := min(shutdownTimeout, s.cfg.LongestDeadline()) + rejectDelay
	return now-s.lifecycle.drainingSince >= timeout
}

// isShuttingDown reports whether a set-up that arrives now would be open when the process ends.
func (s *Server) isShuttingDown() bool {
	return s.lifecycle.isEnding() || s.isShutdownTimedOut(s.loop.Now())
}

// hasPendingWork reports whether anybody waits for something that this process alone can bring: an answer that is not
// given or not written out, or a release that no caller or exchange has been sent.
func (s *Server) hasPendingWork() bool {
	if s.calls.OpenCalls() > 0 {
		return true
	}
	for _, f := range s.frontends.all() {
		if f.HasPendingWork() {
			return true
		}
	}
	return s.backends.HasPendingWork()
}
