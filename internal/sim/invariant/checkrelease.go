package invariant

// recordEstablished records that a call is established. It may have ended before its caller got the answer.
func (c *Checker) recordEstablished(e Event, call *callState) {
	if e.Kind != CallEstablished || !c.limits.CheckReleases {
		return
	}
	call.release.isEstablished = true
	call.release.server, call.release.attempt = e.Server, e.Attempt
	c.scheduleNotification(e, call)
}

// checkReleaseEvent checks an event of an established call.
func (c *Checker) checkReleaseEvent(e Event, call *callState) {
	r := &call.release
	if !c.limits.CheckReleases {
		return
	}
	switch e.Kind {
	case CallEnded:
		if r.isOtherAttempt(e.Server, e.Attempt) {
			return
		}
		isEarlier := r.isEnded && r.isEndOf(e) && e.Deadline < r.deadline // its release could be sent later
		if !r.isEnded || isEarlier {
			r.isEnded, r.endedAt, r.endedAttempt, r.deadline = true, e.Server, e.Attempt, e.Deadline
			c.scheduleNotification(e, call)
		}
	case CallerNotified, CallerReleased:
		if !r.isOver {
			r.isOver, r.overAt = true, e.At
		}
	case CallStillEstablished:
		c.checkOrphan(e, call)
	default: // not an event of an established call
	}
}

// scheduleNotification schedules the deadline for notifying a caller whose established call has ended.
func (c *Checker) scheduleNotification(e Event, call *callState) {
	r := &call.release
	if r.isEnded && r.isOtherAttempt(r.endedAt, r.endedAttempt) {
		r.isEnded = false // an earlier attempt, whose answer was lost, had ended
	}
	if r.isEstablished && r.isEnded && !r.isOver {
		c.notifications.Push(max(r.deadline, e.At)+c.limits.Slack, callKey{e.Controller, e.Call})
	}
}

// expireNotifications reports the calls whose caller was not notified in time.
func (c *Checker) expireNotifications(now Time) {
	for c.notifications.NextTime() < now {
		due, key := c.notifications.Pop()
		call := c.calls[key]
		if call == nil || call.release.isOver {
			continue
		}
		call.release.isOver, call.release.overAt = true, due
		e := Event{At: due, Kind: CallEnded, Controller: key.controller, Call: key.call}
		c.report(ReleasedInTime, e, call, "%s ended and %s did not notify its caller in time",
			key.call, key.controller)
	}
}

// checkOrphan checks whether a call that is established at its server when the run ends has long ended for its caller.
func (c *Checker) checkOrphan(e Event, call *callState) {
	overAt := call.answer.overAt
	if call.release.isEstablished {
		overAt = call.release.overAt
	}
	isOver := call.release.isOver || call.answer.isOver && !call.release.isEstablished
	if isOver && e.At-overAt > c.limits.MaxOrphanTime+c.limits.Slack {
		c.report(NoOrphanedCall, e, call, "%s is still established at %s but ended for its caller at %.3f s",
			e.Call, e.Server, overAt.Seconds())
	}
}

// retainsForRelease reports whether the state of a call must be kept because it is still established.
func (c *Checker) retainsForRelease(call *callState) bool {
	return c.limits.CheckReleases && call.release.isEstablished && !call.release.isOver
}
