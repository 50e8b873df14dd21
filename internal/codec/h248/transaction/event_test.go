package transaction

import (
	"testing"

	"olivedale/internal/codec/h248"
)

func TestReleaseEvent(t *testing.T) {
	notify := &h248.Command{Name: "Notify", Descriptors: []*h248.Node{ReleaseEvent(41)}}
	if cause, ok := ParseReleaseEvent(notify); cause != 41 || !ok {
		t.Errorf("got cause %d, %v, want 41, true", cause, ok)
	}
	for name, descriptors := range map[string][]*h248.Node{
		"none":           nil,
		"another event":  {{Name: "ObservedEvents", Children: []*h248.Node{{Name: "al/of"}}}},
		"without cause":  {{Name: "ObservedEvents", Children: []*h248.Node{{Name: releaseEvent}}}},
		"no number":      {{Name: "ObservedEvents", Children: []*h248.Node{{Name: releaseEvent, Children: []*h248.Node{{Name: "cause", Value: "x"}}}}}},
		"another branch": {{Name: "Signals", Children: []*h248.Node{{Name: releaseEvent}}}},
	} {
		if cause, ok := ParseReleaseEvent(&h248.Command{Name: "Notify", Descriptors: descriptors}); ok {
			t.Errorf("%s: got cause %d, want none", name, cause)
		}
	}
}
