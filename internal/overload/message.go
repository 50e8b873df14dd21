package overload

import (
	"errors"
	"fmt"
)

// MaxMessageBytes is the length of the longest message. The deployment permits datagrams of 256 bytes; the rest is
// left for a signature.
const MaxMessageBytes = 256 - 16

// protocolVersion is the version of the messages. A message of another version is not decoded: its sender counts
// as silent.
const protocolVersion = 1

// priorityCount is the number of call priorities, as package admission defines them: 0 is the lowest.
const priorityCount = 4

// Bounds of the values in a message.
const (
	maxMembers = 1600    // as many bits as fit a membership digest
	maxCount   = 1 << 14 // of events in the span of a report
	maxWait    = 6000    // time units: a minute
)

// timeUnit is the unit of times in messages, in nanoseconds: 10 ms.
const timeUnit = 10_000_000

// Errors of messages that cannot be decoded. Test for them with errors.Is.
var (
	ErrTooLong     = errors.New("the message is too long")
	ErrTruncated   = errors.New("it ends too soon")
	ErrUnsupported = errors.New("it is of another version") // also: of an unknown kind
	ErrOutOfRange  = errors.New("a figure is out of range")
)

// A SenderError says that a message names a sender that cannot have sent it.
type SenderError struct {
	Claimed int // the number of the sender by the message
	Actual  int // the number by address or signature; -1: unknown
}

// Error implements error.
func (e *SenderError) Error() string {
	return fmt.Sprintf("share: the message names controller %d as its sender and came from %d", e.Claimed, e.Actual)
}

// A messageKind is the kind of a message, as its first byte gives it.
type messageKind int

// Kinds of messages.
const (
	kindLoadReport       messageKind = iota + 1 // from a member to its aggregator
	kindLimitUpdate                             // from an aggregator to the members that report to it
	kindMembershipDigest                        // from an aggregator to the members that are alive
)

// A message is a *loadReport, a *limitUpdate or a *membershipDigest.
type message interface {
	header() *messageHeader
	append(b []byte) []byte // appends the encoded message
}

// A messageHeader begins each message.
type messageHeader struct {
	kind        messageKind
	sender      int
	incarnation uint32 // of the sender: greater after each of its restarts
	sequence    uint32 // of the sender's messages of this kind, from 1 on
}

func (h *messageHeader) header() *messageHeader { return h }

// A serverSample is what a member measured at a server in the span of a report.
type serverSample struct {
	key        uint32             // of the server: ServerKey
	offered    [priorityCount]int // calls whose first choice it is
	overflow   int                // set-ups sent there that are not a call's first choice
	answered   int
	wait       int  // set-up time or the age of the oldest pending set-up, in time units; 0: unknown
	overloaded bool // the admission module found the server overloaded
}

// A loadReport is what a member measured since its previous report.
type loadReport struct {
	messageHeader
	span       int  // time units
	overloaded bool // the member has evidence of overload
	samples    []serverSample
}

// minSpanSeconds is the shortest span that rates are calculated from.
const minSpanSeconds = 0.1

// seconds is the span that the report's counts are divided by.
func (r *loadReport) seconds() float64 { return max(secondsOf(r.span), minSpanSeconds) }

// maxShare stands for the share 1 in a message.
const maxShare = 255

// A serverLimit is the throttling that an aggregator wants at a server. Calls below its priority are throttled by
// maxThrottle, calls of it by the given share, calls above it not at all.
type serverLimit struct {
	key              uint32 // of the server: ServerKey
	priority         int
	throttle         int // of 255; 0: no priority is throttled
	overflowThrottle int // of 255: for set-ups that are not a call's first choice
	wait             int // set-up time there that the aggregator claims, in time units
}

// A limitUpdate is all throttling that an aggregator wants. An update without limits only requests load reports.
type limitUpdate struct {
	messageHeader
	aliveMembers int // estimated
	limits       []serverLimit
}

// A membershipDigest says which members are alive.
type membershipDigest struct {
	messageHeader
	aliveMembers int    // estimated
	peakMembers  int    // the most that were alive in the last minutes
	members      []byte // bit n: member n is not known to be dead
}

// secondsOf converts time units to seconds.
func secondsOf(units int) float64 { return float64(units) * timeUnit / 1e9 }

// unitsOfSeconds converts seconds to time units.
func unitsOfSeconds(seconds float64) int { return int(seconds * 1e9 / timeUnit) }

// durationOf converts time units to a duration.
func durationOf(units int) Time { return Time(units) * timeUnit }

// unitsOf converts a duration to time units.
func unitsOf(d Time) int { return int(d / timeUnit) }
