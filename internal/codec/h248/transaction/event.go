package transaction

import (
	"strconv"

	"olivedale/internal/codec/h248"
)

// releaseEvent is the event that reports the release of a call. The H.248 package 'oc' is specific to this project;
// docs/architecture.md lists its contents.
const releaseEvent = "oc/rel"

// ReleaseEvent returns the descriptor that reports a release with a Q.850 cause.
func ReleaseEvent(cause int) *h248.Node {
	event := &h248.Node{
		Name:     releaseEvent,
		Children: []*h248.Node{{Name: "cause", Value: strconv.Itoa(cause)}},
	}
	return &h248.Node{Name: "ObservedEvents", Value: "1", Children: []*h248.Node{event}}
}

// ParseReleaseEvent returns the cause of the release that a Notify reports. ok is false if it reports no release or the
// cause is not a number.
func ParseReleaseEvent(c *h248.Command) (cause int, ok bool) {
	if h248.Find(c.Descriptors, "ObservedEvents", releaseEvent) == nil {
		return 0, false
	}
	cause, err := strconv.Atoi(h248.Value(c.Descriptors, "ObservedEvents", releaseEvent, "cause"))
	return cause, err == nil
}

// Description returns the session description in a command's Local or Remote descriptor, whichever name says. The
// descriptor may be inside a Stream descriptor.
func Description(c *h248.Command, name string) ([]byte, bool) {
	for _, path := range [][]string{{"Media", name}, {"Media", "Stream", name}} {
		n := h248.Find(c.Descriptors, path...)
		if n != nil && n.Octets != nil {
			return n.Octets, true
		}
	}
	return nil, false
}
