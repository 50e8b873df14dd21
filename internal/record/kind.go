package record

import "fmt"

// A Kind is the type of event that a Record reports. Kinds are stored by number, so new kinds are added at the end.
type Kind uint8

// The kinds. Each comment lists the fields of Record that the kind uses in addition to Seq and At.
const (
	// KindNone is the zero value; no record is stored with it.
	KindNone Kind = iota
	// KindGap replaces lost records. From and Seq: the first and the last lost number; Code: a GapCause;
	// Since: the time of the first loss; Text: the segment concerned, if any.
	KindGap
	// KindStart reports the start of the program. Flag: the previous run shut down cleanly; Text: the result of the
	// recovery; By: the program version.
	KindStart
	// KindStopping reports that SIGTERM arrived.
	KindStopping
	// KindEnd is the last record of a clean shutdown. Count: the number of records of this run.
	KindEnd
	// KindCallOffered reports the set-up of a call. Call, Class, Number; Pool: the preferred pool; Flag: the call was
	// established, was dropped and is set up again; Wait: the time until its deadline; Text: the version of the
	// numbering table.
	KindCallOffered
	// KindDecision reports a decision of the admission engine. Call, Server, Attempt; Code: a Decision; Wait: the
	// attempt's time limit or Retry-After; Text: the reason.
	KindDecision
	// KindAttemptStarted reports the start of an attempt. Call, Server, Attempt; Wait: the attempt's time limit.
	KindAttemptStarted
	// KindAttemptEnded reports the end of an attempt. Call, Server, Attempt; End: how it ended; Took: its duration.
	KindAttemptEnded
	// KindAnswer reports the final answer of a call. Call, Class, Server; Attempt: the number of attempts; Code: an
	// Outcome; Cause: the release cause; Wait: Retry-After; Took: the set-up time.
	KindAnswer
	// KindRelease reports the end of an established call. Call, Class, Server; Cause: the release cause; End: how the
	// call ended; Took: how long it was established.
	KindRelease
	// KindServer reports a change of a server. Server, Pool; Code: a ServerState; Flag: the server is in slow start;
	// Since: its start time; Text: its address.
	KindServer
	// KindRateLimit reports a change of a server's rate limit. Server; Value: the limit in attempts a second, +Inf for
	// none; Text: the reason ("pressed", "lapsed", "excused").
	KindRateLimit
	// KindConfig reports one part of the active configuration. By: the part; Text: its digest and contents. For
	// "class": Class; Wait: the latency objective; Took: the deadline; Value: the weight. For "cold": Wait: the
	// slow-start period; Value: the share of the load at the start of that period.
	KindConfig
	// KindLimitReached reports that a limit rejected calls or clients. By: the limit; Count: the number of
	// rejections; Call: the id, if a single call was rejected.
	KindLimitReached
	// KindClock reports a clock reading. By: the peer; T: the four timestamps of RFC 5905. Without a peer T[0] is the
	// system clock and T[1] the clock of the instance.
	KindClock
	// KindNote reports a message of the admission engine. Server, Text.
	KindNote
	// KindCounter reports the value of a counter. By: the counter; Count: its value.
	KindCounter
	kindCount
)

// String returns the stored name.
func (k Kind) String() string { return storedName(kindNames[:], k) }

// ParseKind returns the kind with the given stored name, or an error that quotes the name. KindNone cannot be parsed.
func ParseKind(name string) (Kind, error) {
	for i, kindName := range kindNames {
		if kindName == name && Kind(i) != KindNone {
			return Kind(i), nil
		}
	}
	return KindNone, fmt.Errorf("record: no kind is named %q", name)
}
