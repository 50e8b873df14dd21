package exchange

// Attempt identifies a set-up. One call may have several attempts at the same exchange.
type Attempt struct {
	Call   string
	Number int // number of the attempt within its call
}

// Kind is the kind of a Message.
type Kind uint8

// Kinds of messages.
const (
	Answered      Kind = iota // the called party answered: the call is established
	ProcessorBusy             // rejected because the processor is overloaded; the set-up did not run
	NoCircuit                 // rejected because no circuit is free; the set-up did not run
	Released                  // an established call ended, for the reason in Message.Cause
	Canceled                  // the set-up was canceled at the controller's request
)

// String returns the name of the kind as it appears in records.
func (k Kind) String() string {
	return [...]string{"answered", "full", "no_line", "released", "dropped"}[k]
}

// Message is what an exchange sends to a call controller.
type Message struct {
	To   string // name of the controller
	Kind Kind
	Attempt
	Cause int // release cause of Q.850; set for Released only
}

// Release causes of Q.850.
const (
	CauseNormal           = 16
	CauseTemporaryFailure = 41
)
