package loopback

import (
	"fmt"
	"net"

	"olivedale/internal/codec/sip"
	"olivedale/internal/sim/exchange"
)

const (
	// maxQueuedMessages is the limit of queued messages for a controller that does not read.
	maxQueuedMessages = 4096
	readBufferBytes   = 16 << 10
)

// SIP status codes that an exchange sends.
const (
	statusOK                 = 200
	statusRequestTerminated  = 487
	statusServiceUnavailable = 503
)

// Values of the header X-Diagnosis.
const (
	diagnosisProcessorBusy = "cpu_full"
	diagnosisNoCircuit     = "all_trunks_busy"
)

// An exchangeConn is a controller's connection to an exchange.
type exchangeConn struct {
	name string
	conn net.Conn
	out  chan []byte // send queue; the connection is closed when it is full
}

// accept accepts connections until the listener is closed.
func (e *Exchange) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		c := e.register(conn)
		if c == nil {
			_ = conn.Close()
			return
		}
		go c.writeQueued()
		go e.serve(c)
	}
}

// register adds a connection. It returns nil if the exchange is closed.
func (e *Exchange) register(conn net.Conn) *exchangeConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil
	}
	e.nextConn++
	c := &exchangeConn{name: fmt.Sprint("p", e.nextConn), conn: conn, out: make(chan []byte, maxQueuedMessages)}
	e.conns[c.name] = c
	return c
}

// writeQueued writes queued messages until forgetConn closes the queue. A failed write closes the connection, which
// ends serve.
func (c *exchangeConn) writeQueued() {
	for message := range c.out {
		if _, err := c.conn.Write(message); err != nil {
			_ = c.conn.Close()
		}
	}
}

// send queues a message, or closes the connection if the queue is full. The caller holds Exchange.mu.
func (c *exchangeConn) send(message []byte) {
	select {
	case c.out <- message:
	default:
		_ = c.conn.Close()
	}
}

// reset closes the connection with a TCP reset.
func (c *exchangeConn) reset() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}

// serve reads and handles the messages of a connection until it is closed.
func (e *Exchange) serve(c *exchangeConn) {
	var reader sip.Reader
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := c.conn.Read(buffer)
		if err == nil {
			err = reader.Feed(buffer[:n], func(m *sip.Message) bool {
				e.handle(c, m)
				return true
			})
		}
		if err != nil {
			break
		}
	}
	_ = c.conn.Close()
	e.forgetConn(c)
}

// encode returns the SIP encoding of a message of the model, or nil if it has none.
func encode(m exchange.Message, d *dialog) []byte {
	invite := &sip.Message{CallID: m.Call, CSeq: d.cseq}
	switch m.Kind {
	case exchange.Answered:
		return newResponse(statusOK, invite, "INVITE", []byte("v=0\r\ns="+d.number+"\r\n"))
	case exchange.ProcessorBusy:
		return unavailable(invite, diagnosisProcessorBusy)
	case exchange.NoCircuit:
		return unavailable(invite, diagnosisNoCircuit)
	case exchange.Canceled:
		return newResponse(statusRequestTerminated, invite, "INVITE", nil)
	case exchange.Released:
		cause := sip.Header{Name: "Reason", Value: fmt.Sprint("Q.850;cause=", m.Cause)}
		return sip.AppendRequest(nil, &sip.Request{
			Method: "BYE", Number: d.number, CallID: m.Call, CSeq: releaseCSeq, Headers: []sip.Header{cause},
		})
	default:
		return nil
	}
}

// unavailable returns the 503 response with which an exchange rejects an INVITE.
func unavailable(invite *sip.Message, diagnosis string) []byte {
	header := sip.Header{Name: "X-Diagnosis", Value: diagnosis}
	return newResponse(statusServiceUnavailable, invite, "INVITE", nil, header)
}

// newResponse encodes a response to a request with the given method.
func newResponse(status int, request *sip.Message, method string, body []byte, headers ...sip.Header) []byte {
	b := fmt.Appendf(nil, "SIP/2.0 %d X\r\nCall-ID: %s\r\nCSeq: %d %s\r\n",
		status, request.CallID, request.CSeq, method)
	for _, h := range headers {
		b = fmt.Appendf(b, "%s: %s\r\n", h.Name, h.Value)
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(body), body)
}
