// Package jsonl implements the codec of the callers' protocol: one JSON object per line.
//
// It contains the message type, the incremental reader and the writer. It keeps no call state and opens no connections.
// It does not use encoding/json because session descriptions must be preserved byte for byte, whether or not they are
// valid UTF-8.
package jsonl

// MaxMessageSize is the maximum size of a message in bytes, including its line feed.
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
	ResultCode    int // result code; written only if HasResultCode is set
	HasResultCode bool
	Blob          []byte // session description; nil if the message has none
}

// An Option is one member of a message's options. The value of a number is its text as received.
type Option struct{ Name, Value string }

// Option returns the value of the first option with the given name, or "" if there is none.
func (m *Message) Option(name string) string {
	for _, o := range m.Options {
		if o.Name == name {
			return o.Value
		}
	}
	return ""
}
