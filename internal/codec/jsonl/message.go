// Package jsonl is the codec of the callers' protocol: one JSON object on each line.
//
// It owns the message type, the incremental reader and the writer. It knows nothing of calls and never opens a
// connection. It does not use encoding/json because session descriptions must pass byte for byte, whether or not they
// are valid UTF-8.
package jsonl

// MaxMessageSize is the largest size of a message in bytes, its line feed included.
const MaxMessageSize = 16 << 10

// Verbs of messages.
const (
	Start    = "START"    // a caller requests a call
	Pending  = "PENDING"  // the call is accepted and is being set up
	Started  = "STARTED"  // the call is established
	Finish   = "FINISH"   // a release, or the rejection or failure of a call
	Finished = "FINISHED" // confirms a release
	Echo     = "ECHO"     // a liveness probe
	Echoed   = "ECHOED"   // the response to a probe
	Load     = "LOAD"     // a load report
)

// A Message is the content of one line.
type Message struct {
	Verb, Tag     string
	Options       []Option
	ResultCode    int // the result code; it is sent only if HasRC is set
	HasResultCode bool
	Blob          []byte // the session description; nil if the message has none
}

// An Option is one member of a message's options. A number keeps its text.
type Option struct{ Name, Value string }

// Option returns the value of the first option with that name, "" if there is none.
func (m *Message) Option(name string) string {
	for _, o := range m.Options {
		if o.Name == name {
			return o.Value
		}
	}
	return ""
}
