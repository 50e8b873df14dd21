package enum

import (
	"errors"
	"fmt"

	"github.com/miekg/dns"
)

// Errors of DecodeAnswer. ErrNotAnAnswer means that the message is not an answer to a query of this client. All others
// mean that the server did not tell whether the number has been ported.
var (
	ErrTruncated       = errors.New("truncated answer (TC)")
	ErrServer          = errors.New("the server reported an error")
	ErrUnusableRecords = errors.New("no usable NAPTR record")
	ErrNotAnAnswer     = errors.New("not an answer to an ENUM query")
)

// ResponseCodeError is the error for an answer with a response code other than NOERROR and NXDOMAIN. It wraps
// ErrServer.
type ResponseCodeError struct{ Code int }

// Error implements error.
func (e *ResponseCodeError) Error() string {
	return fmt.Sprintf("%v: %s", ErrServer, dns.RcodeToString[e.Code])
}

// Unwrap returns ErrServer.
func (e *ResponseCodeError) Unwrap() error { return ErrServer }
