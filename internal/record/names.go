package record

import "fmt"

// The stored names of kinds and codes. They are interfaces: text, JSON, reports and filters of `olivectl records` use
// them. A constant may be renamed, its stored name may not.
var (
	kindNames = [kindCount]string{
		KindNone:     "none",
		KindGap:      "gap",
		KindStart:    "start",
		KindStopping: "stopping",
		KindEnd:      "end",
		KindSetUp:    "setup",
		KindOrder:    "order",
		KindTry:      "try",
		KindTryEnd:   "try_end",
		KindAnswer:   "answer",
		KindRelease:  "release",
		KindServer:   "server",
		KindCeiling:  "ceiling",
		KindConfig:   "config",
		KindLimit:    "limit",
		KindClock:    "clock",
		KindNote:     "note",
		KindTally:    "tally",
	}
	moveNames = []string{
		Hold:    "hold",
		Try:     "try",
		Deny:    "deny",
		GiveUp:  "give_up",
		CallOff: "call_off",
	}
	outcomeNames = []string{
		NoOutcome:  "none",
		Stood:      "stood",
		Refused:    "refused",
		Failed:     "failed",
		GivenUp:    "given_up",
		Crowded:    "crowded",
		Reused:     "reused",
		Impossible: "impossible",
		Stopped:    "stopped",
		Barred:     "barred",
	}
	phaseNames = []string{
		Listed: "listed",
		Drains: "drains",
		Gone:   "gone",
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

// storedName returns the name of a code. A code that a newer program wrote is named by its number.
func storedName[Code ~uint8](names []string, code Code) string {
	if int(code) < len(names) {
		return names[code]
	}
	return fmt.Sprintf("code_%d", uint8(code))
}
