package overload

import (
	"errors"
	"fmt"
)

// MaxMessageBytes is the maximum length of a message. The deployment permits datagrams of 256 bytes, of which 16 are
// reserved for a signature.
const MaxMessageBytes = 256 - 16

// protocolVersion is the version of the messages. A message of another version is not decoded, so its sender is treated
// like one that sends nothing.
const protocolVersion = 1

// priorityCount is the number of call priorities, as package admission defines them: 0 is the lowest.
const priorityCount = 4

// Bounds of the values in a message.
const (
	maxMembers = 1600    // limited by the bits that fit in a membership digest
	maxCount   = 1 << 14 // events in the span of a report
	maxWait    = 6000    // time units: one minute
)

// timeUnit is the unit of times in messages: 10 ms, in nanoseconds.
const timeUnit = 10_000_000

// Errors of messages that cannot be decoded. Test for them with errors.Is.
var (
	ErrTooLong     = errors.New("message too long")
	ErrTruncated   = errors.New("message truncated")
	ErrUnsupported = errors.New("unsupported message version or kind") // both are in the first byte
	ErrOutOfRange  = errors.New("value out of range")
)

// A SenderError reports a message whose claimed sender is not the one that sent it.
type SenderError struct {
	Claimed int // number of the sender according to the message
	Actual  int // number of the sender according to its address or signature; -1: unknown
}

// Error implements error.
func (e *SenderError) Error() string {
	return fmt.Sprintf("overload: message claims controller %d as its sender but was sent by %d", e.Claimed, e.Actual)
}

// A messageKind is the kind of a message, which is encoded in its first byte.
type messageKind int

// Kinds of messages.
const (
	kindLoadReport       messageKind = iota + 1 // from a member to its aggregator
	kindLimitUpdate                             // from an aggregator to the members that report to it
	kindMembershipDigest                        // from an aggregator to the living members
)

// A message is a *loadReport, a *limitUpdate or a *membershipDigest.
type message interface {
	header() *messageHeader
	append(b []byte) []byte // appends the encoded message
}

// A messageHeader is the start of every message.
type messageHeader struct {
	kind        messageKind
	sender      int
	incarnation uint32 // of the sender: increases with each of its restarts
	sequence    uint32 // number of the message among the sender's messages of this kind, from 1
}

func (h *messageHeader) header() *messageHeader { return h }

// A serverSample holds what a member measured at a server in the span of a report.
type serverSample struct {
	key        uint32             // of the server: ServerKey
	offered    [priorityCount]int // calls that have the server as their first choice
	overflow   int                // set-ups sent to the server that are not a call's first choice
	answered   int
	wait       int  // the greater of set-up time and age of the oldest pending set-up, in time units; 0: unknown
	overloaded bool // the admission module found the server overloaded
}

// A loadReport holds what a member measured since its previous report.
type loadReport struct {
	messageHeader
	span       int  // time units
	overloaded bool // the member has evidence of overload
	samples    []serverSample
}

// minSpanSeconds is the shortest span over which rates are calculated.
const minSpanSeconds = 0.1

// seconds returns the span over which the report's rates are calculated.
func (r *loadReport) seconds() float64 { return max(secondsOf(r.span), minSpanSeconds) }

// maxShare is the encoding of the share 1 in a message.
const maxShare = 255

// A serverLimit is the throttling that an aggregator requests for a server. Calls of a lower priority than that of the
// limit are throttled by maxThrottle, calls of the same priority by throttle, calls of a higher priority not at all.
type serverLimit struct {
	key              uint32 // of the server: ServerKey
	priority         int
	throttle         int // of 255; 0: no priority is throttled
	overflowThrottle int // of 255, for set-ups that are not a call's first choice
	wait             int // set-up time that the aggregator claims for the server, in time units
}

// A limitUpdate holds all limits that an aggregator requests. An update without limits only requests load reports.
type limitUpdate struct {
	messageHeader
	aliveMembers int // estimated
	limits       []serverLimit
}

// A membershipDigest lists the members that may be alive.
type membershipDigest struct {
	messageHeader
	aliveMembers int    // estimated
	peakMembers  int    // highest number of living members in the last minutes
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
