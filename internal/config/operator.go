package config

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/dustin/go-humanize"

	"olivedale/internal/logging"
)

// OperatorPath is where the operator's file is looked for, from the root.
const OperatorPath = "deploy/olivedale.toml"

// An Operator is the operator's own file. A section that is absent is off; the zero value
// is what the program does without a file.
type Operator struct {
	Log       Log              `toml:"log"`
	H248      *H248            `toml:"h248"`
	Records   *Records         `toml:"records"`
	Numbering *Numbering       `toml:"numbers"`
	Overload  *OverloadControl `toml:"share"`
}

// Numbering switches routing by number on.
type Numbering struct {
	File  string `toml:"file" json:"file"`   // rules, as docs/operate/numbering.md describes them
	State string `toml:"state" json:"state"` // folder for the versions loaded in service; "": they do not survive a restart
	// Lookup asks for numbers that may have moved; without servers they are routed as they are.
	Lookup Lookup `toml:"lookup" json:"lookup"`
}

// A Lookup is how numbers that may have moved are asked for.
type Lookup struct {
	Servers  []string `toml:"servers" json:"servers"`   // in their order
	Suffix   string   `toml:"suffix" json:"suffix"`     // domain of numbers
	Share    float64  `toml:"share" json:"share"`       // of a caller's time that a look-up may take
	Fallback string   `toml:"fallback" json:"fallback"` // where nobody can tell: route or refuse
}

// Fallbacks of a Lookup.
const (
	FallbackRoute  = "route"
	FallbackRefuse = "refuse"
)

// Validate tells what is wrong with the section; the rules are read by who uses them.
func (n *Numbering) Validate() error {
	if n.File == "" {
		return bad("file", "missing; name the file of rules")
	}
	l := &n.Lookup
	if l.Suffix == "" {
		l.Suffix = "e164.arpa"
	}
	if l.Share == 0 {
		l.Share = 0.25
	}
	if l.Fallback == "" {
		l.Fallback = FallbackRoute
	}
	for _, s := range l.Servers {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return &KeyError{"lookup.servers", err}
		}
	}
	switch {
	case len(l.Servers) > 8:
		return bad("lookup.servers", "%d are more than 8", len(l.Servers))
	case l.Share < 0 || l.Share > 0.5:
		return bad("lookup.share", "%v is not between 0 and 0.5", l.Share)
	case l.Fallback != FallbackRoute && l.Fallback != FallbackRefuse:
		return bad("lookup.fallback", "%q is neither %q nor %q", l.Fallback, FallbackRoute, FallbackRefuse)
	}
	return nil
}

// Log says how log lines look.
type Log struct {
	Form  string `toml:"form"`  // text (default) or json
	Level string `toml:"level"` // debug, info (default), warn, error
}

// Options are what the logger takes.
func (l Log) Options() logging.Options { return logging.Options{Form: l.Form, Level: l.Level} }

// A Duration is a length of time, written as Go writes it: "200ms", "1h".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no length of time, such as \"200ms\" or \"24h\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// A Size is a number of bytes with its unit: "512KiB", "1GB".
type Size int64

// UnmarshalText implements encoding.TextUnmarshaler. A bare number is refused: whether it
// meant bytes or megabytes shows when the disk is full.
func (s *Size) UnmarshalText(text []byte) error {
	v, err := humanize.ParseBytes(string(text))
	if last := len(text) - 1; err != nil || last < 0 || text[last] >= '0' && text[last] <= '9' || v > 1<<50 {
		return fmt.Errorf("%q is no size with a unit, such as \"64MiB\" or \"1GB\"", text)
	}
	*s = Size(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%dB", s), nil }

// String implements fmt.Stringer.
func (s Size) String() string { return humanize.IBytes(uint64(max(s, 0))) }

// Records switches the durable records on.
type Records struct {
	Dir     string   `toml:"dir" json:"dir"`         // of this instance alone
	Queue   Size     `toml:"queue" json:"queue"`     // between the loop and the disk
	Sync    Duration `toml:"sync" json:"sync"`       // the longest that a record waits for the disk
	Segment Size     `toml:"segment" json:"segment"` // a file is closed at this size
	Total   Size     `toml:"total" json:"total"`     // of all files together
	Age     Duration `toml:"age" json:"age"`         // files older than this are removed; 0: never
}

// Bounds of Records.
const (
	leastQueue, mostQueue     = 64 << 10, 64 << 20
	leastSync, mostSync       = 10 * time.Millisecond, 10 * time.Second
	leastSegment, mostSegment = 256 << 10, 1 << 30
)

// A KeyError tells of one key of the operator's file.
type KeyError struct {
	Key string
	Err error
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap implements errors.Unwrap.
func (e *KeyError) Unwrap() error { return e.Err }

func bad(key, format string, args ...any) error { return &KeyError{key, fmt.Errorf(format, args...)} }

// defaults fills in what was left out.
func (r *Records) defaults() {
	for _, f := range []struct {
		field *Size
		value Size
	}{{&r.Queue, 1 << 20}, {&r.Segment, 16 << 20}, {&r.Total, 512 << 20}} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	if r.Sync == 0 {
		r.Sync = Duration(200 * time.Millisecond)
	}
}

// Validate fills in the defaults and tells what is wrong with the section.
func (r *Records) Validate() error {
	r.defaults()
	switch {
	case r.Dir == "":
		return bad("dir", "missing; name a folder that only this instance writes to")
	case r.Queue < leastQueue || r.Queue > mostQueue:
		return bad("queue", "%v is not between %v and %v", r.Queue, Size(leastQueue), Size(mostQueue))
	case time.Duration(r.Sync) < leastSync || time.Duration(r.Sync) > mostSync:
		return bad("sync", "%v is not between %v and %v", time.Duration(r.Sync), leastSync, mostSync)
	case r.Segment < leastSegment || r.Segment > mostSegment:
		return bad("segment", "%v is not between %v and %v", r.Segment, Size(leastSegment), Size(mostSegment))
	case r.Total < 4*r.Segment:
		return bad("total", "%v is less than four times segment (%v)", r.Total, r.Segment)
	case r.Age < 0:
		return bad("age", "%v is negative", time.Duration(r.Age))
	}
	return nil
}

// Validate fills in the defaults and tells what is wrong with the file, as a KeyError where it
// is one key.
func (o *Operator) Validate() error {
	if err := o.Log.Options().Check(); err != nil {
		return &KeyError{"log", err}
	}
	type section struct {
		name  string
		check func() error
	}
	var sections []section
	if o.H248 != nil {
		sections = append(sections, section{"h248", o.H248.Validate})
	}
	if o.Records != nil {
		sections = append(sections, section{"records", o.Records.Validate})
	}
	if o.Numbering != nil {
		sections = append(sections, section{"numbers", o.Numbering.Validate})
	}
	if o.Overload != nil {
		sections = append(sections, section{"share", o.Overload.Validate})
	}
	for _, s := range sections {
		if err := s.check(); err != nil {
			var key *KeyError
			if errors.As(err, &key) {
				return &KeyError{s.name + "." + key.Key, key.Err}
			}
			return &KeyError{s.name, err}
		}
	}
	return nil
}

// ParseOperator reads the text of an operator's file; errors name line and key.
func ParseOperator(text []byte) (*Operator, error) {
	var o Operator
	meta, err := toml.Decode(string(text), &o)
	var parse toml.ParseError
	switch {
	case errors.As(err, &parse):
		if parse.LastKey != "" {
			return nil, fmt.Errorf("line %d: %s: %w", parse.Position.Line, parse.LastKey, short(parse))
		}
		return nil, fmt.Errorf("line %d: %w", parse.Position.Line, short(parse))
	case err != nil: // of a type; the text names line and key already
		return nil, errors.New(strings.TrimPrefix(err.Error(), "toml: "))
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		key := unknown[0].String()
		return nil, fmt.Errorf("line %d: %s: unknown key", lineOf(text, key), key)
	}
	if err := o.Validate(); err != nil {
		var key *KeyError
		if errors.As(err, &key) {
			return nil, fmt.Errorf("line %d: %w", lineOf(text, key.Key), err)
		}
		return nil, err
	}
	return &o, nil
}

// short is what a parser's error says without its own account of line and key.
func short(p toml.ParseError) error {
	if p.Message != "" {
		return errors.New(p.Message)
	}
	return errors.Unwrap(p)
}

// LoadOperator reads the operator's file under root, "" being the working directory.
// Without a file everything is off. The file of the H.248 front that stood alone before is
// read where the new one has no such section, and old tells so.
func LoadOperator(root string) (o *Operator, old bool, err error) {
	path := filepath.Join(root, OperatorPath)
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		o = &Operator{}
	case err != nil:
		return nil, false, fmt.Errorf("config: %w", err)
	default:
		if o, err = ParseOperator(text); err != nil {
			return nil, false, fmt.Errorf("config: %s: %w", path, err)
		}
	}
	h, err := LoadH248(filepath.Join(root, H248Path))
	if err != nil || h == nil {
		return o, false, err
	}
	if o.H248 != nil {
		return nil, false, fmt.Errorf("config: %s and section [h248] of %s both stand; remove the former", H248Path, path)
	}
	o.H248 = h
	return o, true, nil
}

// CheckOperator tells what is wrong with the file at path.
func CheckOperator(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if _, err := ParseOperator(text); err != nil {
		return fmt.Errorf("config: %s: %w", path, err)
	}
	return nil
}
