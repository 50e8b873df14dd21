package exchange

// maxAttempts bounds the attempt numbers of a call that ReleaseCall looks up.
const maxAttempts = 16

// Invite handles a set-up from a controller.
func (x *Exchange) Invite(now Time, from string, a Attempt, class string) {
	if x.state == Down {
		return
	}
	x.SetUps++
	if x.state == Hung || x.Contains(a) {
		return
	}
	if x.isCrashedByLoad(now) {
		x.Stop()
		return
	}
	c := &call{Attempt: a, controller: from, class: class, receivedAt: now}
	isOverloaded := x.settings.MaxQueueingDelay > 0 && x.QueueingDelay(now) > x.settings.MaxQueueingDelay
	if isOverloaded {
		x.reject(now, c)
		return
	}
	x.calls[a] = c
	x.processor.pushSetUp(setUpJob, c)
	if x.settings.RetransmissionInterval > 0 {
		x.scheduleRetransmission(now, c, x.settings.RetransmissionInterval)
	}
	x.startNextJob(now)
}

// RejectInvite handles a set-up by rejecting it regardless of the load, which costs the work of a rejection.
func (x *Exchange) RejectInvite(now Time, from string, a Attempt) {
	if x.state != Running {
		return
	}
	x.SetUps++
	x.reject(now, &call{Attempt: a, controller: from, receivedAt: now})
}

func (x *Exchange) reject(now Time, c *call) {
	c.phase = phaseOver
	x.processor.rejections.push(job{rejectJob, c})
	x.startNextJob(now)
}

// isCrashedByLoad records a set-up and reports whether the load crashes a processor in slow start: the set-ups within
// the last Settings.CrashWindow exceed Settings.CrashFactor times its present capacity.
func (x *Exchange) isCrashedByLoad(now Time) bool {
	settings := &x.settings
	isSlowStart := x.isColdStart && now-x.startedAt < settings.SlowStartPeriod
	if !isSlowStart || settings.CrashFactor <= 0 {
		return false
	}
	x.recentSetUps = append(x.recentSetUps, now)
	for now-x.recentSetUps[0] >= settings.CrashWindow {
		x.recentSetUps = x.recentSetUps[1:]
	}
	limit := max(settings.CrashFactor*settings.Capacity()*x.Speed(now)*settings.CrashWindow.Seconds(), 1)
	return float64(len(x.recentSetUps)) > limit
}

// Cancel ends an attempt that is not established. A set-up that is still queued costs no work then; in a later phase
// the answer is not sent.
func (x *Exchange) Cancel(now Time, a Attempt) {
	c := x.calls[a]
	if x.state != Running || c == nil || !c.isOpen() {
		return
	}
	x.Canceled++
	x.send(c, Canceled, 0)
	x.abort(c)
	x.startNextJob(now)
}

// Release ends an attempt at the request of the caller's side: it releases an established call or cancels an open
// attempt.
func (x *Exchange) Release(now Time, a Attempt) {
	c := x.calls[a]
	if x.state != Running || c == nil {
		return
	}
	if c.isOpen() {
		x.Cancel(now, a)
		return
	}
	c.isCallerReleased = true
	if c.phase == phaseEstablished {
		x.beginRelease(c)
		x.startNextJob(now)
	}
}

// ReleaseCall calls Release for all attempts of a call.
func (x *Exchange) ReleaseCall(now Time, id string) {
	for n := range maxAttempts {
		a := Attempt{Call: id, Number: n}
		if x.Contains(a) {
			x.Release(now, a)
		}
	}
}

// ConnectionLost handles the loss of a controller's connection: its open attempts end, its established calls continue.
func (x *Exchange) ConnectionLost(now Time, from string) {
	for _, c := range x.calls {
		if c.controller == from && c.isOpen() {
			x.Canceled++
			x.abort(c)
		}
	}
	x.startNextJob(now)
}
