package transaction

import (
	"fmt"
	"strings"

	"olivedale/internal/codec/h248"
)

// A MismatchError reports a reply that names another command than its transaction had.
type MismatchError struct {
	ID              uint32 // of the transaction
	Want, Got       string // names of the commands
	WantTermination string
	GotTermination  string
}

// Error describes the mismatch.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("the reply to transaction %d names %s=%s instead of %s=%s",
		e.ID, e.Got, e.GotTermination, e.Want, e.WantTermination)
}

// AllTerminations is the wildcard for all terminations of a context.
const AllTerminations = "*"

// CheckReply returns a *MismatchError if a reply names another command or termination than the only command of its
// transaction. Names are not case-sensitive (H.248.1, B.2). An error may stand in place of the command, and any
// termination in place of AllTerminations.
func CheckReply(reply *h248.Transaction, command, termination string) error {
	for _, a := range reply.Actions {
		for _, c := range a.Commands {
			isNamed := termination == AllTerminations || strings.EqualFold(c.Termination, termination)
			if c.Name != command || !isNamed {
				return &MismatchError{
					ID:              reply.ID,
					Want:            command,
					Got:             c.Name,
					WantTermination: termination,
					GotTermination:  c.Termination,
				}
			}
		}
	}
	return nil
}
