package h248

import (
	"errors"
	"fmt"
)

// Error codes of error descriptors, with their descriptions from H.248.8.
const (
	SyntaxInMessage       = 400 // Syntax error in message
	ProtocolError         = 401 // Protocol error
	SyntaxInTransaction   = 403 // Syntax error in TransactionRequest
	VersionNotSupported   = 406 // Version not supported
	UnknownContext        = 411 // The transaction refers to an unknown ContextID
	UnknownAction         = 421 // Unknown action or illegal combination of actions
	SyntaxInAction        = 422 // Syntax error in action
	UnknownTermination    = 430 // Unknown TerminationID
	NoTerminationMatched  = 431 // No TerminationID matched a wildcard
	NoTermination         = 432 // Out of TerminationIDs or no TerminationID available
	TerminationInContext  = 433 // TerminationID is already in a context
	MissingRemote         = 441 // Missing Remote or Local descriptor
	SyntaxInCommand       = 442 // Syntax error in command
	UnknownCommand        = 443 // Unsupported or unknown command
	UnknownProperty       = 445 // Unsupported or unknown property
	UnsupportedValue      = 449 // Unsupported or unknown parameter or property value
	InternalFailure       = 500 // Internal software failure in the MG
	NotImplemented        = 501 // Not implemented
	NotReady              = 502 // Not ready
	ServiceUnavailable    = 503 // Service unavailable
	InsufficientResources = 510 // Insufficient resources
	TemporaryFailure      = 530 // Temporary network failure
)

// ErrTooLong is returned for a message that is longer than MaxMessageSize.
var ErrTooLong = errors.New("h248: a message is longer than 16 KiB")

// An Error is an error descriptor. Errors returned by Parse may be sent to the peer.
type Error struct {
	Code int
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("h248: error %d: %s", e.Code, e.Text) }
