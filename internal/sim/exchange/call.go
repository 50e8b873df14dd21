package exchange

import "time"

type callPhase uint8

const (
	phaseQueued      callPhase = iota // the set-up waits for the processor
	phaseSettingUp                    // the processor handles the set-up
	phaseRinging                      // the called party has not answered
	phaseAnswering                    // the answer waits for the processor
	phaseEstablished                  // the called party has answered
	phaseReleasing                    // the release waits for the processor
	phaseOver
)

// call is an attempt at the exchange, or the call that it established.
type call struct {
	Attempt
	controller       string
	class            string
	phase            callPhase
	receivedAt       Time
	work             time.Duration // processor time spent so far
	holdsCircuit     bool
	isDropped        bool // a fault causes the release
	isCallerReleased bool // the caller's side released the call, so no release is sent to the controller
	establishedIndex int  // position in Exchange.established
}

// isOpen reports whether the call has not been established and is not over.
func (c *call) isOpen() bool { return c.phase < phaseEstablished }
