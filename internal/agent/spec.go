package agent

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"regexp"

	"olivedale/internal/config"
)

// defaultRecordsDir is the directory of an instance's records, within its working directory.
const defaultRecordsDir = "records"

// instanceName matches the names of instances. A name becomes a directory, so it must not be a path such as "../x".
var instanceName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

var errInvalidName = errors.New("invalid instance name")

// A Spec is the specification of a desired instance. etcd stores it as JSON under the instance's name.
type Spec struct {
	Config    json.RawMessage         `json:"config"` // content of the file that RELAY_CONFIG names
	H248      *config.H248            `json:"h248"`   // nil disables the H.248 front end
	Log       config.Log              `json:"log"`
	Records   *config.Records         `json:"records"` // nil disables records; the directory has a default
	Numbering *config.Numbering       `json:"numbers"` // nil disables routing by number
	Overload  *config.OverloadControl `json:"share"`   // nil disables overload control between instances
	AdminAddr string                  `json:"reach"`   // admin address behind a forwarder; empty: H248.Admin
}

// parseSpec parses and validates the specification of the instance with that name. It returns what it has parsed even
// if that is invalid.
func parseSpec(name string, value []byte) (Spec, error) {
	var s Spec
	if !instanceName.MatchString(name) {
		return s, errInvalidName
	}
	if err := json.Unmarshal(value, &s); err != nil {
		return s, err
	}
	if _, err := config.Parse(s.Config); err != nil {
		return s, err
	}
	if s.Records != nil && s.Records.Dir == "" {
		s.Records.Dir = defaultRecordsDir
	}
	if s.AdminAddr != "" {
		if _, err := netip.ParseAddrPort(s.AdminAddr); err != nil {
			return s, fmt.Errorf("reach: %w", err)
		}
	}
	return s, s.operatorFile().Validate()
}

// adminAddr returns the address for admin requests, "" if the instance has none.
func (s *Spec) adminAddr() string {
	if s.H248 == nil || s.H248.Admin == "" {
		return ""
	}
	return cmp.Or(s.AdminAddr, s.H248.Admin)
}

// operatorFile returns the content of the instance's operator file.
func (s *Spec) operatorFile() *config.Operator {
	return &config.Operator{
		Log:       s.Log,
		H248:      s.H248,
		Records:   s.Records,
		Numbering: s.Numbering,
		Overload:  s.Overload,
	}
}
