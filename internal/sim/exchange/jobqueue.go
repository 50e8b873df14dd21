package exchange

type jobKind uint8

const (
	setUpJob jobKind = iota
	retransmissionJob
	answerJob
	releaseJob
	rejectJob
)

// job is a piece of work for the processor.
type job struct {
	kind jobKind
	call *call
}

// minCompactedJobs is how many jobs must have been popped before push reclaims their space.
const minCompactedJobs = 64

// jobQueue is a first-in, first-out queue that reuses its memory. The zero value is an empty queue.
type jobQueue struct {
	jobs []job
	head int // index of the first job; those before it have been popped
}

func (q *jobQueue) push(j job) {
	isMostlyPopped := q.head > minCompactedJobs && q.head*2 > len(q.jobs)
	if isMostlyPopped {
		n := copy(q.jobs, q.jobs[q.head:])
		clear(q.jobs[n:])
		q.jobs, q.head = q.jobs[:n], 0
	}
	q.jobs = append(q.jobs, j)
}

func (q *jobQueue) pop() (j job, ok bool) {
	if q.head == len(q.jobs) {
		q.jobs, q.head = q.jobs[:0], 0
		return job{}, false
	}
	j, q.jobs[q.head] = q.jobs[q.head], job{}
	q.head++
	return j, true
}
