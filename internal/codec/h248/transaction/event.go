package transaction

import (
	"strconv"

	"olivedale/internal/codec/h248"
)

// releaseEvent is the event that notifies of a call's end. The package 'oc' is the project's own;
// docs/architecture.md lists its contents.
const releaseEvent = "oc/rel"

// ReleaseEvent returns the descriptor that notifies of a release by a cause of Q.850.
func ReleaseEvent(cause int) *h248.Node {
	event := &h248.Node{
		Name:     releaseEvent,
		Children: []*h248.Node{{Name: "cause", Value: strconv.Itoa(cause)}},
	}
	return &h248.Node{Name: "ObservedEvents", Value: "1", Children: []*h248.Node{event}}
}

// ParseReleaseEvent reads the cause of a release; ok is false if the command notifies of another event.
func ParseReleaseEvent(c *h248.Command) (cause int, ok bool) {
	if h248.Find(c.Descriptors, "ObservedEvents", releaseEvent) == nil {
		return 0, false
	}
	cause, err := strconv.Atoi(h248.Value(c.Descriptors, "ObservedEvents", releaseEvent, "cause"))
	return cause, err == nil
}

// Description returns the octets of the descriptor Local or Remote, also from within a Stream.
func Description(c *h248.Command, name string) ([]byte, bool) {
	for _, path := range [][]string{{"Media", name}, {"Media", "Stream", name}} {
		n := h248.Find(c.Descriptors, path...)
		if n != nil && n.Octets != nil {
			return n.Octets, true
		}
	}
	return nil, false
}
