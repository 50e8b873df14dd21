package record

// A Decision is the Code of a KindOrder record: the decision of the admission engine on a call
// (admission.DecisionKind). Moves are stored by number.
type Decision uint8

// The moves, with the term that the admission engine uses.
const (
	DecisionNone   Decision = iota // admission.None
	DecisionSend                   // admission.Send
	DecisionReject                 // admission.Reject
	DecisionFail                   // admission.Fail
	DecisionCancel                 // admission.Cancel
)

// String implements fmt.Stringer by the stored name.
func (m Decision) String() string { return storedName(moveNames, m) }

// An Outcome is the Code of a KindAnswer record: how a call came to its final answer (call.Outcome). Outcomes are
// stored by number.
type Outcome uint8

// The outcomes. The admission engine decides OutcomeRejected and OutcomeFailed. OutcomeOverLimit, OutcomeReusedID and
// OutcomeInvalid are answered without it.
const (
	NoOutcome           Outcome = iota
	OutcomeEstablished          // established
	OutcomeRejected             // rejected by the admission engine
	OutcomeFailed               // failed after attempts that may have run
	OutcomeAbandoned            // abandoned by the caller
	OutcomeOverLimit            // rejected over a limit
	OutcomeReusedID             // rejected because the id is that of a completed call
	OutcomeInvalid              // rejected because the offer is not valid
	OutcomeShuttingDown         // rejected because the program shuts down
	OutcomeByPolicy             // rejected by policy because of the called number
)

// OutcomeCount is the number of outcomes, for arrays that count by them.
const OutcomeCount = int(OutcomeByPolicy) + 1

// String implements fmt.Stringer by the stored name.
func (o Outcome) String() string { return storedName(outcomeNames, o) }

// A ServerState is the Code of a KindServer record: the state of the server in the endpoint list
// (admission.ServerState). Phases are stored by number.
type ServerState uint8

// The phases.
const (
	ServerActive   ServerState = iota // active
	ServerDraining                    // draining
	ServerRemoved                     // removed
)

// String implements fmt.Stringer by the stored name.
func (p ServerState) String() string { return storedName(phaseNames, p) }

// A GapCause is the Code of a KindGap record: why records are lost. Causes are stored by number.
type GapCause uint8

// The causes of gaps. A Log writes those up to SetAside, a Reader detects the others.
const (
	NoGap        GapCause = iota
	QueueFull             // records came faster than the disk took them
	DiskFull              // no space is left, or a quota is used up
	DiskReadOnly          // the file system is read-only
	DiskFailed            // any other error of the disk
	SetAside              // recovery set a damaged segment aside
	Missing               // a segment is missing
	Damaged               // bytes are not an intact frame
	NewerFormat           // a segment has a newer format version
)

// String implements fmt.Stringer by the stored name.
func (g GapCause) String() string { return storedName(gapCauseNames, g) }

// MarshalText implements encoding.TextMarshaler by the stored name.
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
