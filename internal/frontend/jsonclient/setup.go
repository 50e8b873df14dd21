package jsonclient

import (
	"fmt"
	"strconv"
	"strings"

	"olivedale/internal/call"
	"olivedale/internal/codec/callid"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/codec/sip"
	"olivedale/internal/frontend"
)

// A setup is a set-up as requested by a caller.
type setup struct {
	request call.Request
	// isValid is false for a well-formed set-up that no exchange can carry. It is rejected without being offered to
	// an exchange.
	isValid bool
}

// extras holds the additional options of a set-up.
type extras struct {
	preferredPool int
	circuits      int
	reestablish   bool
}

// parseSetup parses a set-up. If it returns an error, the connection must be closed.
func (f *Frontend) parseSetup(m *jsonl.Message) (s setup, err error) {
	s.request = call.Request{
		ID:            m.Tag,
		Class:         m.Option("class"),
		Number:        m.Option("key"),
		PreferredPool: frontend.AnyPool,
		Description:   m.Blob,
	}
	r := &s.request
	if !callid.Valid(r.ID) {
		return s, fmt.Errorf("invalid tag %.20q", m.Tag)
	}
	wait, err := strconv.ParseFloat(m.Option("left"), 64)
	if err != nil || !frontend.IsValidWait(wait) {
		return s, fmt.Errorf("invalid option left %.20q", m.Option("left"))
	}
	cfg := f.host.Config
	r.RepeatUnsafe = cfg.RepeatUnsafe(r.Class)
	r.Deadline = f.host.Deadline(r.Class, frontend.Milliseconds(wait))
	if !sip.IsSafeValue(r.Class) || !sip.IsSafeValue(r.Number) {
		return s, fmt.Errorf("invalid class %.20q or key %.20q", r.Class, r.Number)
	}
	e, err := parseExtras(m.Option("extras"))
	if err != nil {
		return s, err
	}
	r.PreferredPool = e.preferredPool
	r.Reestablish = e.reestablish
	hasCircuits := e.circuits >= 1 && e.circuits <= cfg.MaxCircuits(r.Class)
	s.isValid = hasCircuits && f.host.IsPoolAllowed(r.Class, r.PreferredPool)
	return s, nil
}

// parseExtras parses additional options such as 'dest:2;width:1'. Unknown names are ignored if their value is a number.
func parseExtras(text string) (e extras, err error) {
	e = extras{preferredPool: frontend.AnyPool, circuits: 1}
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		if name == "" {
			continue
		}
		number, err := strconv.Atoi(value)
		if err != nil {
			return e, fmt.Errorf("invalid extras %.40q", text)
		}
		switch name {
		case "dest":
			e.preferredPool = number
		case "width":
			e.circuits = number
		case "again":
			e.reestablish = number == 1
		}
	}
	return e, nil
}
