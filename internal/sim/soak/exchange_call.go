package soak

import (
	"slices"
	"strconv"
	"time"

	"olivedale/internal/codec/sip"
	"olivedale/internal/sim/invariant"
)

// CSeq numbers and status codes that an exchange sends.
const (
	releaseCSeq              = 9
	statusOK                 = 200
	statusRequestTerminated  = 487
	statusServiceUnavailable = 503
)

// handle handles a request or a response on a connection. exchange.mu is held.
func (x *exchange) handle(c *exchangeConn, m *sip.Message) {
	switch m.Method {
	case "INVITE":
		x.invite(c, m)
	case "CANCEL":
		c.send(response(statusOK, m.CallID, m.CSeq, "CANCEL", ""))
		x.cancel(c, m)
	case "BYE":
		c.send(response(statusOK, m.CallID, m.CSeq, "BYE", ""))
		x.releasedByController(m)
	case "OPTIONS":
		c.send(response(statusOK, m.CallID, m.CSeq, "OPTIONS", ""))
	case "":
		if m.CSeqMethod == "BYE" {
			x.confirm(m.CallID)
		}
	}
}

// invite handles an attempt, which is answered after a random delay.
func (x *exchange) invite(conn *exchangeConn, m *sip.Message) {
	c := &exchangeCall{id: m.CallID, number: m.User(), conn: conn, attempt: m.CSeq - 1}
	c.controller = x.monitor.checkSetup(x.id, m)
	c.isOutdated = x.monitor.hasEndedAfter(c.id, conn.receivedAt)
	if !c.isOutdated {
		x.record(invariant.AttemptSent, c)
	}
	if existing := x.calls[c.id]; existing != nil {
		existing.stopTimer()
	}
	x.calls[c.id] = c
	delay := minAnswerDelay + time.Duration(x.rng.Int64N(int64(maxAnswerDelay-minAnswerDelay)))
	isBusy := x.rng.Float64() < busyShare
	c.timer = time.AfterFunc(delay, func() { x.answer(c, isBusy) })
}

// awaitProcess waits while the exchange's process is stopped, and reports whether it had to wait. exchange.mu is held,
// but released while it waits.
func (x *exchange) awaitProcess() (waited bool) {
	for x.state == exchangeHung {
		waited = true
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-x.done:
			x.mu.Lock()
			return waited
		}
		x.mu.Lock()
	}
	return waited
}

// whenRunning runs f for a call once the exchange's process runs, unless the call has ended by then. wasStopped says
// whether f was delayed because the process was stopped.
func (x *exchange) whenRunning(c *exchangeCall, f func(wasStopped bool)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	wasStopped := x.awaitProcess()
	if x.calls[c.id] == c {
		f(wasStopped)
	}
}

// answer establishes or rejects an attempt.
func (x *exchange) answer(c *exchangeCall, isBusy bool) {
	x.whenRunning(c, func(bool) {
		if c.isOutdated { // it has not been canceled
			x.record(invariant.AttemptSent, c)
		}
		if isBusy {
			x.record(invariant.AttemptRejected, c)
			delete(x.calls, c.id)
			c.conn.send(response(statusServiceUnavailable, c.id, c.attempt+1, "INVITE", "",
				sip.Header{Name: "X-Diagnosis", Value: "cpu_full"}))
			return
		}
		if x.malformedShare > 0 && x.rng.Float64() < x.malformedShare {
			x.sendMalformed(c)
			return
		}
		x.record(invariant.AttemptAnswered, c)
		c.isEstablished = true
		c.conn.send(response(statusOK, c.id, c.attempt+1, "INVITE", x.description(c)))
		hold := minHold + time.Duration(x.rng.ExpFloat64()*float64(x.meanHold))
		c.timer = time.AfterFunc(hold, func() { x.end(c) })
	})
}

// end ends an established call and sends its release.
func (x *exchange) end(c *exchangeCall) {
	x.whenRunning(c, func(wasStopped bool) {
		delete(x.calls, c.id)
		x.unconfirmed = append(x.unconfirmed, c)
		x.release(c, wasStopped)
	})
}

// release sends the release of a call that has ended. Its controller has a second from the time at which the release is
// written, and the longer limit if the release cannot be sent. A release that is queued when the process stops has not
// been sent.
func (x *exchange) release(c *exchangeCall, wasStopped bool) {
	x.recordEnd(c, lossNotifyLimit)
	conn := x.connFor(c)
	if conn == nil {
		return
	}
	message := queuedMessage{text: c.release()}
	// While the process was stopped, its connections may have been closed, which it detects only now.
	if !wasStopped && x.state.carriesTraffic() {
		message.onWritten = func() { x.monitor.recordReleaseSent(x.endOf(c, releaseNotifyLimit)) }
	}
	conn.queue(message)
}

// connFor returns the connection for the release of a call: that of its INVITE, or the latest one; nil: there is none.
func (x *exchange) connFor(c *exchangeCall) *exchangeConn {
	if c.conn.isUsable() {
		return c.conn
	}
	return x.latestConn(c.conn.controller)
}

// latestConn returns the latest connection of a controller that can carry messages; nil: there is none.
func (x *exchange) latestConn(controller string) *exchangeConn {
	for _, conn := range slices.Backward(x.conns) {
		if conn.isUsable() && conn.controller == controller {
			return conn
		}
	}
	return nil
}

// release returns the BYE that releases the call.
func (c *exchangeCall) release() []byte {
	return sip.AppendRequest(nil, &sip.Request{
		Method: "BYE", Number: c.number, CallID: c.id, CSeq: releaseCSeq,
		Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=16"}},
	})
}

// confirm records that a controller has confirmed a release.
func (x *exchange) confirm(id string) {
	x.unconfirmed = slices.DeleteFunc(x.unconfirmed, func(c *exchangeCall) bool { return c.id == id })
}

// resendReleases sends the unconfirmed releases for a controller on the given connection.
func (x *exchange) resendReleases(conn *exchangeConn) {
	for _, c := range x.unconfirmed {
		if c.conn.controller == conn.controller {
			conn.send(c.release())
		}
	}
}

// cancel ends an attempt that has not been answered.
func (x *exchange) cancel(conn *exchangeConn, m *sip.Message) {
	c := x.calls[m.CallID]
	if c == nil || c.isEstablished {
		return
	}
	c.stopTimer()
	delete(x.calls, c.id)
	x.record(invariant.AttemptCanceled, c)
	conn.send(response(statusRequestTerminated, c.id, c.attempt+1, "INVITE", ""))
}

// releasedByController ends a call that its controller releases.
func (x *exchange) releasedByController(m *sip.Message) {
	c := x.calls[m.CallID]
	if c == nil {
		return
	}
	c.stopTimer()
	delete(x.calls, c.id)
	if c.isEstablished {
		x.recordEnd(c, releaseNotifyLimit)
	} else {
		x.record(invariant.AttemptCanceled, c)
	}
}

// connectionLost ends the open attempts of a connection that has ended.
func (x *exchange) connectionLost(conn *exchangeConn) {
	for id, c := range x.calls {
		if c.conn == conn && !c.isEstablished {
			c.stopTimer()
			delete(x.calls, id)
			x.record(invariant.AttemptBroken, c)
		}
	}
}

// response returns a response to a request.
func response(status int, callID string, cseq int, method, body string, headers ...sip.Header) []byte {
	b := []byte("SIP/2.0 " + strconv.Itoa(status) + " X\r\nCall-ID: " + callID + "\r\nCSeq: " + strconv.Itoa(cseq) +
		" " + method + "\r\n")
	for _, h := range headers {
		b = append(b, h.Name+": "+h.Value+"\r\n"...)
	}
	return append(b, "Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body...)
}
