package invariant

// checkCallEvent checks an event of a call.
func (c *Checker) checkCallEvent(e Event) {
	call := c.lookUpCall(e)
	if call == nil {
		return
	}
	call.appendEvent(e)
	switch e.Kind {
	case CallOffered:
		c.offer(e, call)
	case CallEstablished, CallRejected:
		c.checkFinalAnswer(e, call)
		c.recordEstablished(e, call)
	case CallAbandoned:
		call.answer.isDue, call.answer.isOver, call.answer.overAt = false, true, e.At
		call.answer.wasAbandoned = true
	case AttemptSent:
		c.startAttempt(e, call)
	case AttemptCanceled, AttemptBroken:
		if call.attempt.isOpen(e) {
			call.attempt.openAt = ""
			call.attempt.mayHaveRun, call.attempt.endedAt = true, e.At
		}
	case AttemptUnsent, AttemptRejected, AttemptAnswered:
		if call.attempt.isOpen(e) {
			call.attempt.openAt = ""
		}
	case CallEnded, CallerNotified, CallerReleased, CallStillEstablished:
		c.checkReleaseEvent(e, call)
	case ServerUpdated, ControllerEnded, ServerCrashed, ControllerPaused: // not events of a call, see Checker.Record
	}
}

// lookUpCall returns the state of the event's call, which CallOffered creates. For an unknown call it returns nil, and
// reports the event if it is a violation without a known call.
func (c *Checker) lookUpCall(e Event) *callState {
	key := callKey{e.Controller, e.Call}
	call := c.calls[key]
	if call != nil {
		return call
	}
	switch e.Kind {
	case CallOffered:
		call = &callState{}
		c.calls[key] = call
	case CallEstablished, CallRejected, AttemptSent:
		c.report(OneAnswer, e, nil, "event %q of a call that was never offered or ended long ago", e.Kind)
	default: // late messages about a call that has ended are allowed
	}
	return call
}

// offer starts the check of a call. A repeated offer changes nothing.
func (c *Checker) offer(e Event, call *callState) {
	answer := &call.answer
	if answer.isDue || answer.isOver {
		return
	}
	answer.isDue = true
	answer.deadline = e.Deadline
	answer.mayBeLate = c.isPaused[e.Controller]
	c.deadlines.Push(e.Deadline+c.limits.Slack, callKey{e.Controller, e.Call})
}

func (c *Checker) checkFinalAnswer(e Event, call *callState) {
	answer := &call.answer
	isLate := e.At > answer.deadline+c.limits.Slack && !answer.mayBeLate
	switch {
	case answer.isMissed:
		answer.isMissed = false
	case !answer.isDue:
		c.report(OneAnswer, e, call, "a second final answer to %s: %v", e.Call, e.Kind)
	case isLate:
		c.report(InTime, e, call, "the final answer to %s came %v after its caller's deadline",
			e.Call, e.At-answer.deadline)
	}
	answer.isDue, answer.isOver, answer.overAt = false, true, e.At
}

// startAttempt checks a new attempt by all rules on attempts, and records it as open.
func (c *Checker) startAttempt(e Event, call *callState) {
	attempt := &call.attempt
	if attempt.openAt != "" {
		c.report(OneAttempt, e, call, "%s was sent to %s while its attempt %d was open at %s",
			e.Call, e.Server, attempt.number, attempt.openAt)
	}
	isInGrace := call.answer.wasAbandoned && e.At-call.answer.overAt < c.limits.AbandonGrace
	if call.answer.isOver && !isInGrace {
		c.report(OneAnswer, e, call, "%s was sent to %s after its final answer", e.Call, e.Server)
	}
	isWithinRetryGuard := e.At-attempt.endedAt < c.limits.RetryGuard-c.limits.Slack
	if attempt.mayHaveRun && isWithinRetryGuard {
		c.report(RetryGuardRespected, e, call, "%s was retried %v after an attempt that may have run",
			e.Call, e.At-attempt.endedAt)
	}
	since, isInactive := c.inactiveSince[serverKey{e.Controller, e.Server}]
	if isInactive && e.At-since > c.limits.Drain+c.limits.Slack {
		c.report(DrainRespected, e, call, "%s was sent to %s %v after the update that it drains or is removed",
			e.Call, e.Server, e.At-since)
	}
	attempt.openAt, attempt.number, attempt.mayHaveRun = e.Server, e.Attempt, false
}
