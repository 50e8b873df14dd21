package server

import "time"

// Timeouts of an orderly shutdown. The platform sends SIGKILL a fixed time after the SIGTERM that requests the
// shutdown.
const (
	// minDrainTime is how long set-ups must still be expected after SIGTERM.
	minDrainTime = 750 * time.Millisecond
	// shutdownTimeout bounds the wait for pending work after SIGTERM, as does the longest deadline of a class if that
	// is shorter. SIGKILL follows 0.7 s later.
	shutdownTimeout = 3 * time.Second
	// rejectDelay is the time after the end of that wait at which all open calls are rejected.
	rejectDelay = 300 * time.Millisecond
	// quietPeriod is how long there must be no pending work before connections are closed.
	quietPeriod = 60 * time.Millisecond
	// shutdownCheckInterval is the interval at which a draining server checks whether it can stop.
	shutdownCheckInterval = quietPeriod / 4
)

// A lifecycleState is the state of a server between its start and its end.
type lifecycleState int

const (
	stateRunning  lifecycleState = iota
	stateDraining                // a shutdown was requested; set-ups are still served
	stateStopping                // connections are being closed; new set-ups are rejected
	stateEnded                   // the event loop is being stopped
)

// String returns the name of the state.
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

// A lifecycle tracks the state of a server from its start to its end.
type lifecycle struct {
	state      lifecycleState
	started    chan struct{} // closed once the server accepts calls
	startError error         // set if the server could not start

	drainingSince time.Duration
	checkAt       time.Duration // time of the next check whether the server can stop
	quietSince    time.Duration // start of the current period without pending work; 0 if there is pending work
	late          lateConnections
	ended         chan struct{} // closed when the event loop must be stopped
}

func newLifecycle() lifecycle {
	return lifecycle{started: make(chan struct{}), ended: make(chan struct{})}
}

// isEnding reports whether the server no longer serves set-ups.
func (l *lifecycle) isEnding() bool { return l.state >= stateStopping }

// isCheckDue reports whether the next check for the end of draining is due, and schedules the one after it. The
// interval is fixed and does not restart with each iteration, because steady traffic would then postpone the check
// forever.
func (l *lifecycle) isCheckDue(now time.Duration) bool {
	if l.state == stateRunning || now < l.checkAt {
		return false
	}
	l.checkAt = now + shutdownCheckInterval
	return true
}

// Stop begins an orderly shutdown, as requested by SIGTERM. It may be called from any goroutine once the server has
// started.
func (s *Server) Stop() { s.loop.ExecuteIteration(s.beginShutdown) }

// beginShutdown changes the state from running to draining.
func (s *Server) beginShutdown() {
	if s.lifecycle.state != stateRunning {
		return
	}
	s.lifecycle.state = stateDraining
	s.lifecycle.drainingSince = s.loop.Now()
	s.recorder.recordStopping()
	s.loop.Log.Infow("stopping", "open", s.calls.OpenCalls(), "standing", s.calls.EstablishedCalls())
}

// checkDraining changes the state from draining to stopping once there is no pending work. Set-ups are accepted for at
// least minDrainTime. Calls that could stay open until SIGKILL are not waited for but rejected.
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
	if now-l.quietSince < quietPeriod { // input is still accepted and restarts the period
		return
	}
	l.state = stateStopping
	s.loop.Execute(s.closeConnections)
}

// isShutdownTimedOut reports whether the time to complete calls has expired, because SIGKILL will follow soon. Open
// calls and new set-ups are then rejected immediately.
func (s *Server) isShutdownTimedOut(now time.Duration) bool {
	if s.lifecycle.state == stateRunning {
		return false
	}
	timeout := min(shutdownTimeout, s.cfg.LongestDeadline()) + rejectDelay
	return now-s.lifecycle.drainingSince >= timeout
}

// isShuttingDown reports whether a set-up that arrives now could not be completed before the process ends.
func (s *Server) isShuttingDown() bool {
	return s.lifecycle.isEnding() || s.isShutdownTimedOut(s.loop.Now())
}

// hasPendingWork reports whether a peer waits for something that only this process can deliver: an answer that has not
// been given or written, or a release that has not been sent to its caller or exchange.
func (s *Server) hasPendingWork() bool {
	if s.calls.OpenCalls() > 0 || s.calls.QueuedReleases() > 0 {
		return true
	}
	for _, f := range s.frontends.all() {
		if f.HasPendingWork() {
			return true
		}
	}
	return s.backends.HasPendingWork()
}
