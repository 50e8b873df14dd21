package exchange

// maxAttempts bounds the attempts of one call that ReleaseCall looks for.
const maxAttempts = 16

// Invite receives a set-up from a controller.
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

// InviteRejected receives a set-up and rejects it, whatever the load is. It costs the work of a rejection.
func (x *Exchange) InviteRejected(now Time, from string, a Attempt) {
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

// isCrashedByLoad records a set-up and reports whether the set-ups of the last Settings.FallFor crash a processor in
// slow start: they exceed Settings.Fall times its present capacity.
func (x *Exchange) isCrashedByLoad(now Time) bool {
	set := &x.settings
	isSlowStart := x.isColdStart && now-x.startedAt < set.SlowStartPeriod
	if !isSlowStart || set.CrashFactor <= 0 {
		return false
	}
	x.recentSetUps = append(x.recentSetUps, now)
	for now-x.recentSetUps[0] >= set.CrashWindow {
		x.recentSetUps = x.recentSetUps[1:]
	}
	limit := max(set.CrashFactor*set.Capacity()*x.Speed(now)*set.CrashWindow.Seconds(), 1)
	return float64(len(x.recentSetUps)) > limit
}

// Cancel ends an attempt that is not established. A queued set-up costs no work then; the answer of a later phase is
// not sent.
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

// Release ends an attempt from the callers' side: it releases an established call and cancels an open one.
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

// ConnectionLost handles the loss of a controller's connection: its open attempts end, its established calls go on.
func (x *Exchange) ConnectionLost(now Time, from string) {
	for _, c := range x.calls {
		if c.controller == from && c.isOpen() {
			x.Canceled++
			x.abort(c)
		}
	}
	x.startNextJob(now)
}
