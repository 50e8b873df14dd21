package soak

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// A traceStep is a step in the handling of a message, or a change of the exchange's state.
type traceStep string

const (
	stepReceived traceStep = "received" // read from the socket; waits for the exchange's process
	stepHandled  traceStep = "handled"  // handled by the exchange's process
	stepQueued   traceStep = "queued"   // queued by the exchange's process
	stepWritten  traceStep = "written"  // written to the socket, so the kernel has it
	stepHeld     traceStep = "held"     // had to wait in the queue because the connection carried no messages
	stepState    traceStep = "state"    // the exchange's state has changed
)

// A messageTrace logs the messages between controllers and exchanges, so that a violation can be traced to the bytes on
// the controller's side of a connection. A nil *messageTrace logs nothing. Its methods are safe for concurrent use.
type messageTrace struct {
	startTime time.Time

	mu  sync.Mutex
	out *bufio.Writer
}

func newMessageTrace(out io.Writer, startTime time.Time) *messageTrace {
	return &messageTrace{startTime: startTime, out: bufio.NewWriter(out)}
}

// record logs a step of the messages in a text, with their calls and first lines.
func (t *messageTrace) record(step traceStep, exchangeID, controller string, text []byte) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := time.Since(t.startTime).Seconds()
	first := ""
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if isFirstLine(line) {
			first = line
		}
		call, isCall := strings.CutPrefix(line, "Call-ID: ")
		if isCall {
			_, _ = fmt.Fprintf(t.out, "%9.6f %-8s %s %s %s %s\n", at, step, exchangeID, controller, call, first)
		}
	}
}

// isFirstLine reports whether a line is the first of a request or a response.
func isFirstLine(line string) bool {
	return strings.HasPrefix(line, "SIP/2.0 ") || strings.HasSuffix(line, " SIP/2.0")
}

// recordState logs a change of an exchange's state.
func (t *messageTrace) recordState(exchangeID string, s exchangeState) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.out, "%9.6f %-8s %s %v\n", time.Since(t.startTime).Seconds(), stepState, exchangeID, s)
}

// flush writes buffered output.
func (t *messageTrace) flush() error {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.out.Flush()
}
