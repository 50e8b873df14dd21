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

// defaultRecordsDir is the directory of an instance's records, relative to its working directory.
const defaultRecordsDir = "records"

// instanceName matches valid names of instances. A name is also used as a directory name, so it must not be a path such
// as "../x".
var instanceName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

var errInvalidName = errors.New("invalid instance name")

// A Spec is the specification of a desired instance. It is stored in etcd as JSON under the instance's name.
type Spec struct {
	Config    json.RawMessage         `json:"config"` // content of the platform's file (RELAY_CONFIG)
	H248      *config.H248            `json:"h248"`   // nil disables the H.248 frontend
	Log       config.Log              `json:"log"`
	Records   *config.Records         `json:"records"` // nil disables records; Dir defaults to defaultRecordsDir
	Numbering *config.Numbering       `json:"numbers"` // nil disables routing by number
	Overload  *config.OverloadControl `json:"share"`   // nil disables overload control between instances
	AdminAddr string                  `json:"reach"`   // address of a forwarder to H248.Admin; "": H248.Admin itself
}

// parseSpec parses and validates the specification of an instance. With an error it returns the part that it has
// parsed.
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

// adminAddr returns the address for admin requests, or "" if the instance accepts none.
func (s *Spec) adminAddr() string {
	if s.H248 == nil || s.H248.Admin == "" {
		return ""
	}
	return cmp.Or(s.AdminAddr, s.H248.Admin)
}

// operatorFile returns the content of the operator's file for the instance.
func (s *Spec) operatorFile() *config.OperatorConfig {
	return &config.OperatorConfig{
		Log:       s.Log,
		H248:      s.H248,
		Records:   s.Records,
		Numbering: s.Numbering,
		Overload:  s.Overload,
	}
}
