package modelcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// callState is the state of a call as observed by its caller and on the connections.
type callState struct {
	isOffered         bool
	hasCallerReleased bool
	isDisconnected    bool // the connection was lost before the final answer
	finalAnswers      int
	isEstablished     bool
	isReleased        bool // by either side, after it was established
	openServer        int  // server of the open attempt, or of the established call; noServer: none
	attemptNumber     int  // of the latest attempt
	attemptCount      int
	deadline          time.Duration // of the caller
	attemptDeadline   time.Duration
}

func (c *callState) isCallerConnected() bool { return !c.hasCallerReleased && !c.isDisconnected }

// isOpen reports whether the caller waits for the final answer.
func (c *callState) isOpen() bool { return c.isOffered && c.isCallerConnected() && c.finalAnswers == 0 }

func (c *callState) hasOpenAttempt() bool { return c.openServer != noServer }

// isOpenAttempt reports whether an attempt is the open one.
func (c *callState) isOpenAttempt(server, number int) bool {
	return c.openServer == server && c.attemptNumber == number
}

// serverAttempt is the state of an attempt at its server.
type serverAttempt struct {
	call, server, number int
	isCanceled           bool
	isAnswered           bool
	isOver               bool
}

func compareAttempts(a, b serverAttempt) int {
	return cmp.Or(a.call-b.call, a.server-b.server, a.number-b.number)
}

// stateKey identifies the state. Two states with the same key behave alike from then on.
func (m *model) stateKey() string {
	var b strings.Builder
	for i := range m.calls {
		b.WriteString(m.callKey(&m.calls[i]))
	}
	attempts := slices.Clone(m.attempts)
	slices.SortFunc(attempts, compareAttempts)
	for _, a := range attempts {
		if !a.isOver {
			fmt.Fprint(&b, a, ";")
		}
	}
	fmt.Fprint(&b, m.manager.OpenCalls(), m.manager.EstablishedCalls())
	return b.String()
}

// callKey identifies the state of one call. It includes deadlines relative to now, as long as they have an effect.
func (m *model) callKey(c *callState) string {
	remaining, attemptRemaining := time.Duration(0), time.Duration(0)
	if c.isOpen() {
		remaining = c.deadline - m.now
	}
	if c.hasOpenAttempt() && !c.isEstablished {
		attemptRemaining = c.attemptDeadline - m.now
	}
	return fmt.Sprint(c.isOffered, c.hasCallerReleased, c.isDisconnected, c.finalAnswers, c.isEstablished, c.isReleased,
		c.openServer, c.attemptNumber, c.attemptCount, remaining, attemptRemaining, m.manager.Contains(callID(0)), ";")
}
