package record

// A Decision is the Code of a KindDecision record: what the admission engine decided for a call
// (admission.DecisionKind). Decisions are stored by number.
type Decision uint8

// The decisions, one for each admission.DecisionKind.
const (
	DecisionNone   Decision = iota // no action now; the call stays open
	DecisionSend                   // start an attempt
	DecisionReject                 // reject the call
	DecisionFail                   // fail the call
	DecisionCancel                 // cancel the open attempt
)

// String returns the stored name.
func (d Decision) String() string { return storedName(decisionNames, d) }

// An Outcome is the Code of a KindAnswer record: the result of a call as given in its final answer
// (call.Outcome). Outcomes are stored by number.
type Outcome uint8

// The outcomes. The admission engine decides OutcomeRejected and OutcomeFailed. OutcomeOverLimit, OutcomeReusedID and
// OutcomeInvalid are decided without it.
const (
	NoOutcome           Outcome = iota
	OutcomeEstablished          // established
	OutcomeRejected             // rejected by the admission engine
	OutcomeFailed               // failed after attempts that may have run
	OutcomeAbandoned            // abandoned by the caller
	OutcomeOverLimit            // rejected because a limit was reached
	OutcomeReusedID             // rejected because a completed call has the same id
	OutcomeInvalid              // rejected because the set-up is invalid
	OutcomeShuttingDown         // rejected because the program is shutting down
	OutcomeByPolicy             // rejected by policy because of the called number
)

// OutcomeCount is the number of outcomes, for arrays indexed by Outcome.
const OutcomeCount = int(OutcomeByPolicy) + 1

// String returns the stored name.
func (o Outcome) String() string { return storedName(outcomeNames, o) }

// A ServerState is the Code of a KindServer record: the state of the server in the endpoint list
// (admission.ServerState). States are stored by number.
type ServerState uint8

// The states of a server.
const (
	ServerActive   ServerState = iota // may receive attempts
	ServerDraining                    // completes its calls and receives no new ones
	ServerRemoved                     // no longer in the endpoint list
)

// String returns the stored name.
func (s ServerState) String() string { return storedName(serverStateNames, s) }

// A GapCause is the Code of a KindGap record: why records were lost. Causes are stored by number.
type GapCause uint8

// The causes of gaps. A Log writes the causes up to SetAside; a Reader detects the others.
const (
	NoGap        GapCause = iota
	QueueFull             // records arrived faster than they could be written
	DiskFull              // no space left on the device, or quota exceeded
	DiskReadOnly          // the file system is read-only
	DiskFailed            // any other I/O error
	SetAside              // recovery renamed a damaged or unreadable segment
	Missing               // a segment is missing
	Damaged               // part of a segment is not an intact frame
	NewerFormat           // a segment has a newer format version
)

// String returns the stored name.
func (g GapCause) String() string { return storedName(gapCauseNames, g) }

// MarshalText returns the stored name. It implements encoding.TextMarshaler.
func (g GapCause) MarshalText() ([]byte, error) { return []byte(g.String()), nil }

// CodeName returns the stored name of the record's Code, or "" where the kind has no codes.
func (r *Record) CodeName() string {
	switch r.Kind {
	case KindGap:
		return GapCause(r.Code).String()
	case KindDecision:
		return Decision(r.Code).String()
	case KindAnswer:
		return Outcome(r.Code).String()
	case KindServer:
		return ServerState(r.Code).String()
	default:
		return ""
	}
}
