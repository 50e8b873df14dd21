package record

import "fmt"

// The stored names of kinds and codes. They are part of the external interface: the text and JSON output, the reports
// and the filters of `olivectl records` use them. A constant may be renamed, its stored name must not change.
var (
	kindNames = [kindCount]string{
		KindNone:           "none",
		KindGap:            "gap",
		KindStart:          "start",
		KindStopping:       "stopping",
		KindEnd:            "end",
		KindCallOffered:    "setup",
		KindDecision:       "order",
		KindAttemptStarted: "try",
		KindAttemptEnded:   "try_end",
		KindAnswer:         "answer",
		KindRelease:        "release",
		KindServer:         "server",
		KindRateLimit:      "ceiling",
		KindConfig:         "config",
		KindLimitReached:   "limit",
		KindClock:          "clock",
		KindNote:           "note",
		KindCounter:        "tally",
	}
	decisionNames = []string{
		DecisionNone:   "hold",
		DecisionSend:   "try",
		DecisionReject: "deny",
		DecisionFail:   "give_up",
		DecisionCancel: "call_off",
	}
	outcomeNames = []string{
		NoOutcome:           "none",
		OutcomeEstablished:  "stood",
		OutcomeRejected:     "refused",
		OutcomeFailed:       "failed",
		OutcomeAbandoned:    "given_up",
		OutcomeOverLimit:    "crowded",
		OutcomeReusedID:     "reused",
		OutcomeInvalid:      "impossible",
		OutcomeShuttingDown: "stopped",
		OutcomeByPolicy:     "barred",
	}
	serverStateNames = []string{
		ServerActive:   "listed",
		ServerDraining: "drains",
		ServerRemoved:  "gone",
	}
	gapCauseNames = []string{
		NoGap:        "none",
		QueueFull:    "queue_full",
		DiskFull:     "disk_full",
		DiskReadOnly: "disk_read_only",
		DiskFailed:   "disk_failed",
		SetAside:     "set_aside",
		Missing:      "missing",
		Damaged:      "damaged",
		NewerFormat:  "newer_format",
	}
)

// storedName returns the name of a code. An unknown code, written by a newer program, is named by its number.
func storedName[Code ~uint8](names []string, code Code) string {
	if int(code) < len(names) {
		return names[code]
	}
	return fmt.Sprintf("code_%d", uint8(code))
}
