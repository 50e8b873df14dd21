package exchange

// A queue is first in, first out; it keeps its memory.
type queue struct {
	jobs []job
	head int
}

func (q *queue) push(j job) {
	if q.head > 64 && q.head*2 > len(q.jobs) {
		n := copy(q.jobs, q.jobs[q.head:])
		clear(q.jobs[n:])
		q.jobs, q.head = q.jobs[:n], 0
	}
	q.jobs = append(q.jobs, j)
}

func (q *queue) pop() (j job, ok bool) {
	if q.head == len(q.jobs) {
		q.jobs, q.head = q.jobs[:0], 0
		return j, false
	}
	j, q.jobs[q.head] = q.jobs[q.head], job{}
	q.head++
	return j, true
}

type timerKind uint8

const (
	timerAgain timerKind = iota // a set-up that waits is sent once more
	timerRung                   // the called side answers
	timerHeld                   // the call has stood long enough
)

type timer struct {
	kind timerKind
	call *call
	gap  Time
}
