package loopback

import (
	"time"

	"olivedale/internal/codec/jsonl"
	"olivedale/internal/sim/invariant"
)

// Release causes of ITU-T Q.850.
const (
	causeNormalClearing = 16
	causeNoCircuit      = 34
)

// A loadCall is an open or established call of a LoadGenerator.
type loadCall struct {
	due         time.Time // scheduled send time
	conn        *loadConn
	established bool
	timer       *time.Timer // abandons the call
}

// abandon cancels a call whose final answer did not arrive within CallerTimeout.
func (l *LoadGenerator) abandon(id string) {
	call := l.removeOpen(id)
	if call == nil {
		return
	}
	_ = call.conn.send(&jsonl.Message{
		Verb:          jsonl.Finish,
		Tag:           id,
		ResultCode:    causeNormalClearing,
		HasResultCode: true,
	})
}

// removeOpen removes an open call and counts it as abandoned. It returns nil if the call is not open.
func (l *LoadGenerator) removeOpen(id string) *loadCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	call := l.calls[id]
	if call == nil || call.established {
		return nil
	}
	l.stats[call.conn.index].Abandoned++
	delete(l.calls, id)
	return call
}

// handle handles a message from a controller.
func (l *LoadGenerator) handle(c *loadConn, m *jsonl.Message) {
	switch m.Verb {
	case jsonl.Started:
		l.establish(c, m.Tag)
	case jsonl.Finish:
		l.finish(c, m)
		_ = c.send(&jsonl.Message{Verb: jsonl.Finished, Tag: m.Tag})
	default: // callers ignore all other messages
	}
}

// establish handles the final answer that a call is established.
func (l *LoadGenerator) establish(c *loadConn, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(c.index, invariant.Event{Kind: invariant.CallEstablished, Call: id})
	call := l.calls[id]
	if call == nil || call.established {
		return
	}
	call.established = true
	stats := &l.stats[c.index]
	stats.Established++
	_ = stats.SetUpTimes.RecordValue(max(time.Since(call.due).Microseconds(), 1))
}

// finish handles the rejection, the failure or the release of a call.
func (l *LoadGenerator) finish(c *loadConn, m *jsonl.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call := l.calls[m.Tag]
	if call == nil {
		return
	}
	stats := &l.stats[c.index]
	switch {
	case call.established && m.ResultCode == causeNormalClearing:
		stats.Released++
	case call.established:
		stats.Dropped++
	case m.ResultCode == causeNoCircuit:
		stats.Rejected++
	default:
		stats.Failed++
	}
	if !call.established {
		l.observe(c.index, invariant.Event{Kind: invariant.CallRejected, Call: m.Tag})
	}
	delete(l.calls, m.Tag)
}

// loseOpenCalls removes the open calls of a closed connection and counts them as lost.
func (l *LoadGenerator) loseOpenCalls(c *loadConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, call := range l.calls {
		if call.conn == c && !call.established {
			l.stats[c.index].Lost++
			delete(l.calls, id)
		}
	}
}
