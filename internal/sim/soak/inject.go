package soak

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// removalDelay is the time after which discovery removes an exchange that has vanished or crashed for good.
	removalDelay = 12 * time.Second
	// dropNoticeTime is how long an exchange that is shut down continues to run, to release the calls that it drops.
	dropNoticeTime = 200 * time.Millisecond
	reloadCount    = 4
	reloadInterval = 80 * time.Millisecond
	surgeFactor    = 4
	malformedShare = 0.3
)

// inject injects a fault and ends it after its duration.
func (r *runner) inject(f Fault) {
	r.logf("-> %v", f)
	duration := f.Duration.D()
	switch f.Kind {
	case FaultSilentDiscovery:
		r.directory.setSilent(true)
		time.Sleep(duration)
		r.directory.setSilent(false)
	case FaultLoadSurge:
		for _, c := range r.controllers {
			c.callers.setRateFactor(surgeFactor)
		}
		time.Sleep(duration)
		for _, c := range r.controllers {
			c.callers.setRateFactor(1)
		}
	case FaultReload, FaultBrokenReload, FaultTerminate, FaultTerminateInReload, FaultKill:
		r.injectControllerFault(f)
	default:
		r.injectExchangeFault(f)
	}
}

// injectControllerFault injects a fault into a controller, unless another fault in it is under way.
func (r *runner) injectControllerFault(f Fault) {
	c := r.controllers[f.Target]
	if !c.reserve() {
		return
	}
	defer c.unreserve()
	if c.hasExited() {
		return // checkRunning reports it at the end
	}
	switch f.Kind {
	case FaultReload:
		c.reload(reloadCount, reloadInterval)
	case FaultBrokenReload:
		c.reloadBroken(f.Duration.D())
	case FaultTerminate:
		c.terminate()
		c.restart()
	case FaultTerminateInReload:
		c.reload(reloadCount-1, 0)
		c.terminate(syscall.SIGHUP)
		c.restart()
	case FaultKill:
		c.kill()
		c.restart()
	default: // not a fault of a controller
	}
}

// injectExchangeFault injects a fault into an exchange, unless another one has changed its state.
func (r *runner) injectExchangeFault(f Fault) {
	x := r.exchange(f.Target)
	duration := f.Duration.D()
	switch f.Kind {
	case FaultReset:
		x.resetConns()
	case FaultMalformedAnswers:
		x.setMalformedShare(malformedShare)
		time.Sleep(duration)
		x.setMalformedShare(0)
	case FaultReplace:
		r.replace(f.Target, x, duration)
	case FaultPartition:
		r.changeState(x, exchangePartitioned, duration)
	case FaultHang:
		r.changeState(x, exchangeHung, duration)
	case FaultFull:
		r.changeState(x, exchangeFull, duration)
	case FaultCrash:
		r.changeState(x, exchangeCrashed, duration)
	case FaultVanish:
		r.changeState(x, exchangeVanished, duration)
	case FaultLateConnections:
		x.delayConnections(duration)
	default: // not a fault of an exchange
	}
}

// changeState changes the state of a running exchange for a duration. With 0 the change is permanent, and discovery
// removes the exchange after removalDelay.
func (r *runner) changeState(x *exchange, s exchangeState, duration time.Duration) {
	if !x.leaveRunning(s) {
		return
	}
	if duration == 0 {
		time.AfterFunc(removalDelay, func() {
			r.directory.remove(x)
			r.directory.publish()
		})
		return
	}
	time.Sleep(duration)
	r.logError(x.setState(exchangeRunning))
	if s == exchangeCrashed || s == exchangeVanished {
		r.directory.publish() // because the start time of the process has changed
	}
}

// replace starts the successor of an exchange, which drains for a duration and then ends.
func (r *runner) replace(slot int, x *exchange, duration time.Duration) {
	if !r.beginReplacement(slot, x) {
		return
	}
	r.directory.drain(x)
	r.directory.publish()
	time.Sleep(duration)
	x.dropCalls()
	time.Sleep(dropNoticeTime)
	_ = x.leaveRunning(exchangeCrashed)
	r.directory.remove(x)
	r.directory.publish()
}

// beginReplacement starts the successor of an exchange. It reports false if the exchange is not running or has already
// been replaced.
func (r *runner) beginReplacement(slot int, x *exchange) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exchanges[slot] != x || !x.isRunning() {
		return false
	}
	r.generation++
	successor, err := r.newExchange(fmt.Sprintf("s-%d-%d", slot, r.generation), slot)
	if err != nil {
		r.logf("%v", err)
		return false
	}
	successor.started = time.Now()
	r.exchanges[slot] = successor
	r.directory.add(successor)
	return true
}

// isRunning reports whether the exchange runs and can be reached.
func (x *exchange) isRunning() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state == exchangeRunning
}

// dropCalls releases all established calls, as an exchange that is shut down does.
func (x *exchange) dropCalls() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, c := range x.calls {
		if !c.isEstablished {
			continue
		}
		c.stopTimer()
		delete(x.calls, id)
		x.release(c, false)
	}
}

// delayConnections leaves new connections unanswered for a duration. Open connections continue to work.
func (x *exchange) delayConnections(duration time.Duration) {
	if !x.setReachableWhileRunning(false) {
		return
	}
	time.Sleep(duration)
	x.setReachableWhileRunning(true)
}

// setReachableWhileRunning is setReachable for a running exchange. In other states, the state decides.
func (x *exchange) setReachableWhileRunning(isReachable bool) bool {
	x.stateMu.Lock()
	defer x.stateMu.Unlock()
	return x.isRunning() && x.setReachable(isReachable) == nil
}

// setMalformedShare sets the share of answers that are malformed.
func (x *exchange) setMalformedShare(share float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.malformedShare = share
}

// malformedAnswers are sent instead of valid answers. The exchange has handled the request in each case.
var malformedAnswers = []string{
	"\x00\xff\x01\x02\r\n\r\n",
	"SIP/2.0 2x0 OK\r\n\r\n",
	"SIP/2.0 200 OK\r\nCall-ID: ",
	"SIP/2.0 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx",
	"SIP/2.0 200 OK\r\nContent-Length: -1\r\n\r\n",
	"",
}

// sendMalformed answers an attempt with a message that cannot be parsed. The connection is not used any more, and the
// open attempts on it end with it.
func (x *exchange) sendMalformed(c *exchangeCall) {
	text := malformedAnswers[x.rng.IntN(len(malformedAnswers))]
	c.conn.send([]byte(text))
	if text != "" {
		c.conn.sentMalformed = true
	}
}
