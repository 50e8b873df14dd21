package console

import (
	"slices"
	"time"
)

// maxEvents bounds the events of a snapshot.
const maxEvents = 200

// EventKind is the kind of an event. Besides the kinds below it may be the new State of an instance or the new Phase of
// a server. The texts are values in the JSON form, so their wording does not change.
type EventKind string

// The kinds of events.
const (
	EventCrashed          EventKind = "ended without a word"
	EventRecordsLost      EventKind = "records lost"
	EventStarted          EventKind = "start"
	EventStopping         EventKind = "stopping"
	EventEnded            EventKind = "end"
	EventRestarted        EventKind = "started anew"
	EventNumberingChanged EventKind = "numbers"
	EventSlowStart        EventKind = "cold start"
	EventOverloadStarted  EventKind = "under pressure"
	EventOverloadEnded    EventKind = "pressure over"
	EventLimitReached     EventKind = "limit"
	EventClockSet         EventKind = "clock set"
)

// String implements fmt.Stringer.
func (k EventKind) String() string { return string(k) }

// An Event is a change of the fleet.
type Event struct {
	At       time.Time
	Instance string
	Server   string // "" if the event concerns no server
	Kind     EventKind
	Text     string
	IsFault  bool
}

// numberingText describes the change of an instance to a numbering table.
func numberingText(digest string) string { return "table " + shortDigest(digest) + " is in force" }

// An eventLog keeps the latest events. Its zero value is empty.
type eventLog struct {
	events []Event // the oldest first
}

func (l *eventLog) add(e Event) {
	l.events = append(l.events, e)
	if len(l.events) > 2*maxEvents {
		l.events = slices.Delete(l.events, 0, len(l.events)-maxEvents)
	}
}

// latest returns up to maxEvents events, the latest first.
func (l *eventLog) latest() []Event {
	var latest []Event
	for _, e := range slices.Backward(l.events) {
		if len(latest) >= maxEvents {
			break
		}
		latest = append(latest, e)
	}
	return latest
}
