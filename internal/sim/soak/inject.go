package soak

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// removalDelay is how long after an exchange has vanished or ended discovery publishes that it is gone.
	removalDelay = 12 * time.Second
	// dropNoticeTime is how long an exchange that ends goes on, to report the calls that it drops.
	dropNoticeTime = 200 * time.Millisecond
	reloadCount    = 4
	reloadInterval = 80 * time.Millisecond
	crowdFactor    = 4
	spoiltShare    = 0.3
)

// inject injects a fault and ends it.
func (r *Run) inject(f Fault) {
	r.logf("-> %v", f)
	duration := f.Duration.D()
	switch f.Kind {
	case FaultSilentDiscovery:
		r.directory.setSilent(true)
		time.Sleep(duration)
		r.directory.setSilent(false)
	case FaultCrowd:
		for _, c := range r.controllers {
			c.callers.setRateFactor(crowdFactor)
		}
		time.Sleep(duration)
		for _, c := range r.controllers {
			c.callers.setRateFactor(1)
		}
	case FaultReload, FaultTerminate, FaultTerminateInReload, FaultKill:
		r.injectControllerFault(f)
	default:
		r.injectExchangeFault(f)
	}
}

// injectControllerFault injects a fault into a controller, unless another one is under way there.
func (r *Run) injectControllerFault(f Fault) {
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
	default: // no fault of controllers
	}
}

// injectExchangeFault injects a fault into an exchange, unless another one has changed its state.
func (r *Run) injectExchangeFault(f Fault) {
	x := r.exchange(f.Target)
	duration := f.Duration.D()
	switch f.Kind {
	case FaultReset:
		x.resetConns()
	case FaultSpoil:
		x.setSpoiltShare(spoiltShare)
		time.Sleep(duration)
		x.setSpoiltShare(0)
	case FaultReplace:
		r.replace(f.Target, x, duration)
	case FaultPartition:
		r.changeState(x, exchangePartitioned, duration)
	case FaultHang:
		r.changeState(x, exchangeHung, duration)
	case FaultCrash:
		r.changeState(x, exchangeCrashed, duration)
	case FaultVanish:
		r.changeState(x, exchangeVanished, duration)
	case FaultLateConnections:
		x.delayConnections(duration)
	default: // no fault of exchanges
	}
}

// changeState changes the state of a running exchange for a while; 0: for good, and discovery publishes it late.
func (r *Run) changeState(x *exchange, s exchangeState, duration time.Duration) {
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
	r.check(x.setState(exchangeRunning))
	if s == exchangeCrashed || s == exchangeVanished {
		r.directory.publish() // with the start of the new process
	}
}

// replace starts another exchange in the place of one, which drains for a while and ends.
func (r *Run) replace(place int, x *exchange, duration time.Duration) {
	if !r.beginReplacement(place, x) {
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

// beginReplacement starts the successor of a running exchange.
func (r *Run) beginReplacement(place int, x *exchange) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exchanges[place] != x || !x.isRunning() {
		return false
	}
	r.generation++
	successor, err := r.newExchange(fmt.Sprintf("s-%d-%d", place, r.generation), place)
	if err != nil {
		r.logf("%v", err)
		return false
	}
	successor.started = time.Now()
	r.exchanges[place] = successor
	r.directory.add(successor)
	return true
}

// isRunning reports whether the exchange runs and can be reached.
func (x *exchange) isRunning() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state == exchangeRunning
}

// dropCalls releases all calls, as an exchange that ends does.
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

// delayConnections lets no connection come up for a while; those that are open work.
func (x *exchange) delayConnections(duration time.Duration) {
	if !x.setReachableWhileRunning(false) {
		return
	}
	time.Sleep(duration)
	x.setReachableWhileRunning(true)
}

// setReachableWhileRunning makes new connections come up, or not any more, unless the exchange's state decides on that.
func (x *exchange) setReachableWhileRunning(isReachable bool) bool {
	x.stateMu.Lock()
	defer x.stateMu.Unlock()
	return x.isRunning() && x.setReachable(isReachable) == nil
}

// setSpoiltShare sets the share of answers that arrive spoilt.
func (x *exchange) setSpoiltShare(share float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.spoiltShare = share
}

// spoiltAnswers are what arrives in place of a good answer. In each case the request has run.
var spoiltAnswers = []string{
	"\x00\xff\x01\x02\r\n\r\n",
	"SIP/2.0 2x0 OK\r\n\r\n",
	"SIP/2.0 200 OK\r\nCall-ID: ",
	"SIP/2.0 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx",
	"SIP/2.0 200 OK\r\nContent-Length: -1\r\n\r\n",
	"",
}

// spoil answers an attempt with something that cannot be read. The connection can no longer be used; what stands open
// on it ends with it.
func (x *exchange) spoil(c *exchangeCall) {
	text := spoiltAnswers[x.rng.IntN(len(spoiltAnswers))]
	c.conn.send([]byte(text))
	if text != "" {
		c.conn.isSpoilt = true
	}
}
