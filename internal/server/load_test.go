package server

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A loadGenerator sets up calls from several callers and records the times of the first answer and the end of each call.
type loadGenerator struct {
	answers *answerLog
	callers []testCaller
	timeout time.Duration // of each set-up
	slots   chan struct{} // limits the number of open calls

	mu              sync.Mutex
	sentAt          map[string]time.Time // scheduled time, so that delays of the generator count as latency
	answeredAt      map[string]time.Time
	ended           map[string]bool
	answersAfterEnd int // answers received after the end of a call
	number          map[string]string
}

func newLoadGenerator(answers *answerLog, left time.Duration, open int, callers ...testCaller) *loadGenerator {
	l := &loadGenerator{answers: answers, callers: callers, timeout: left, slots: make(chan struct{}, open), sentAt: make(map[string]time.Time),
		answeredAt: make(map[string]time.Time), ended: make(map[string]bool), number: make(map[string]string)}
	answers.onAnswer = l.recordAnswer
	return l
}

func (l *loadGenerator) recordAnswer(key, what string) {
	if strings.HasSuffix(key, "/pending") || strings.HasPrefix(what, "done") {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended[key] {
		l.answersAfterEnd++
		return
	}
	if _, ok := l.answeredAt[key]; !ok {
		l.answeredAt[key] = time.Now()
	}
	if !strings.HasPrefix(what, "stands") {
		l.ended[key] = true
		<-l.slots
	}
}

// run sets up n calls, at rate calls per second or, if rate is 0, as fast as calls end.
func (l *loadGenerator) run(n int, rate float64, number func(i int) string) {
	began := time.Now()
	for i := range n {
		at := time.Now()
		if rate > 0 {
			at = began.Add(time.Duration(float64(i) / rate * float64(time.Second)))
			time.Sleep(time.Until(at))
		}
		l.slots <- struct{}{}
		to := number(i)
		key := l.callers[i%len(l.callers)].setUp(to, l.timeout)
		l.mu.Lock()
		l.sentAt[key], l.number[key] = at, to
		l.mu.Unlock()
	}
}

// awaitEnds waits until all calls have ended and checks that each was answered in time. It returns the times to the
// first answer of the calls whose first attempt is established.
func (l *loadGenerator) awaitEnds(t testing.TB) *hdrhistogram.Histogram {
	t.Helper()
	open := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.sentAt) - len(l.ended)
	}
	for end := time.Now().Add(l.timeout + 10*time.Second); open() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	took := hdrhistogram.New(1, 60_000_000, 3)
	silent, late := 0, 0
	for key, sent := range l.sentAt {
		first, ok := l.answeredAt[key]
		if !ok || !l.ended[key] {
			silent++
			continue
		}
		if first.Sub(sent) > l.timeout {
			late++
		}
		if l.number[key][len(l.number[key])-1] >= '5' {
			continue // the first attempt is rejected, so the latency depends on the exchange
		}
		_ = took.RecordValue(max(first.Sub(sent).Microseconds(), 1))
	}
	if silent > 0 || late > 0 || l.answersAfterEnd > 0 {
		t.Errorf("of %d calls %d have no answer or no end and %d were answered late; %d answers came after the end", len(l.sentAt), silent, late, l.answersAfterEnd)
	}
	return took
}
