package enum

import (
	"errors"
	"fmt"

	"github.com/miekg/dns"
)

// Errors of DecodeAnswer. ErrNotAnAnswer means that the message answers no query of ours; with all others, the server
// could not say whether the number has been ported.
var (
	ErrTruncated       = errors.New("cut short (TC)")
	ErrServer          = errors.New("the server reports an error")
	ErrUnusableRecords = errors.New("records that are of no use")
	ErrNotAnAnswer     = errors.New("no answer to a question of ours")
)

// ResponseCodeError is the error of an answer with a response code other than NOERROR and NXDOMAIN. It is an ErrServer.
type ResponseCodeError struct{ Code int }

// Error implements error.
func (e *ResponseCodeError) Error() string {
	return fmt.Sprintf("%v: %s", ErrServer, dns.RcodeToString[e.Code])
}

// Unwrap returns ErrServer.
func (e *ResponseCodeError) Unwrap() error { return ErrServer }
