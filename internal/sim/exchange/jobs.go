package exchange

// startNextJob starts the next job if the processor is idle.
func (x *Exchange) startNextJob(now Time) {
	if x.state != Running || x.processor.isBusy {
		return
	}
	j, ok := x.processor.nextJob()
	if !ok {
		return
	}
	if j.kind == setUpJob {
		x.TotalQueueingDelay += now - j.call.receivedAt
		x.Served++
	}
	work := x.randomWork(j.kind, now)
	x.Work += work
	j.call.work += work
	x.processor.start(j, now+work)
}

// finishJob applies the result of a job that the processor has finished.
func (x *Exchange) finishJob(now Time, j job) {
	c := j.call
	switch j.kind {
	case rejectJob:
		x.Rejected++
		x.Wasted += c.work
		x.send(c, ProcessorBusy, 0)
	case setUpJob:
		if c.phase == phaseSettingUp { // otherwise it was canceled meanwhile
			x.finishSetUp(now, c)
		}
	case answerJob:
		if c.phase == phaseAnswering {
			x.establish(now, c)
		}
	case releaseJob:
		x.finishRelease(c)
	case retransmissionJob: // costs processor time only
	}
}

// finishSetUp allocates a circuit to a call and starts ringing. It rejects the call if no circuit is free.
func (x *Exchange) finishSetUp(now Time, c *call) {
	if x.circuitsInUse >= x.circuits {
		x.NoCircuit++
		x.send(c, NoCircuit, 0)
		x.abort(c)
		return
	}
	x.circuitsInUse++
	c.holdsCircuit = true
	c.phase = phaseRinging
	x.scheduleTimer(now, answerTimer, c, x.settings.MeanRingTime)
}

func (x *Exchange) establish(now Time, c *call) {
	x.Established++
	c.phase = phaseEstablished
	c.establishedIndex = len(x.established)
	x.established = append(x.established, c)
	x.send(c, Answered, 0)
	x.scheduleTimer(now, holdingTimer, c, x.settings.MeanHoldingTime[c.class])
}

// beginRelease queues the release of an established call.
func (x *Exchange) beginRelease(c *call) {
	last := len(x.established) - 1
	moved := x.established[last]
	x.established[c.establishedIndex] = moved
	moved.establishedIndex = c.establishedIndex
	x.established = x.established[:last]
	c.phase = phaseReleasing
	x.processor.completions.push(job{releaseJob, c})
}

func (x *Exchange) finishRelease(c *call) {
	cause := CauseNormal
	x.Ended++
	if c.isDropped {
		cause = CauseTemporaryFailure
		x.Dropped++
	}
	if !c.isCallerReleased {
		x.send(c, Released, cause)
	}
	x.remove(c)
}

// abort ends an attempt that is not established and counts its work as wasted.
func (x *Exchange) abort(c *call) {
	if c.phase == phaseQueued {
		x.processor.removeFromBacklog(setUpJob)
	}
	x.Wasted += c.work
	x.remove(c)
}

// remove deletes a call and frees its circuit.
func (x *Exchange) remove(c *call) {
	c.phase = phaseOver
	delete(x.calls, c.Attempt)
	if c.holdsCircuit {
		c.holdsCircuit = false
		x.circuitsInUse--
	}
}
