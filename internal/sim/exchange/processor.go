package exchange

import "time"

// processor is the single server of the queueing model. It handles one job at a time, without preemption: rejections
// first, then set-ups and their retransmissions, then answers and releases.
type processor struct {
	settings     *Settings
	rejections   jobQueue
	setUps       jobQueue      // set-ups and their retransmissions
	completions  jobQueue      // answers and releases
	setUpBacklog time.Duration // mean work of the jobs in setUps
	isBusy       bool
	current      job
	finishesAt   Time // of the current job
}

// pushSetUp queues a set-up or a retransmission of one.
func (p *processor) pushSetUp(kind jobKind, c *call) {
	p.setUps.push(job{kind, c})
	p.setUpBacklog += p.settings.meanWork(kind)
}

// removeFromBacklog subtracts the mean work of a job from the backlog of set-ups.
func (p *processor) removeFromBacklog(kind jobKind) {
	p.setUpBacklog -= min(p.settings.meanWork(kind), p.setUpBacklog)
}

// start begins to serve a job.
func (p *processor) start(j job, finishesAt Time) {
	p.isBusy, p.current, p.finishesAt = true, j, finishesAt
}

// nextJob removes and returns the job of the highest priority. It skips jobs whose calls ended while they were queued.
func (p *processor) nextJob() (j job, ok bool) {
	if j, ok = p.rejections.pop(); ok {
		return j, true
	}
	if j, ok = p.nextSetUp(); ok {
		return j, true
	}
	return p.nextCompletion()
}

func (p *processor) nextSetUp() (j job, ok bool) {
	for {
		j, ok = p.setUps.pop()
		switch {
		case !ok:
			return job{}, false
		case j.kind == retransmissionJob:
			p.removeFromBacklog(retransmissionJob)
			return j, true
		case j.call.phase == phaseQueued:
			p.removeFromBacklog(setUpJob)
			j.call.phase = phaseSettingUp
			return j, true
		}
	}
}

func (p *processor) nextCompletion() (j job, ok bool) {
	for {
		j, ok = p.completions.pop()
		if !ok || j.call.phase != phaseOver {
			return j, ok
		}
	}
}
