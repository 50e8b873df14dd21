package numbering

import (
	"errors"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// Rules are the contents of a TOML file that an operator writes.
type Rules struct {
	Plan      []Plan        `toml:"plan"`
	Translate []Translation `toml:"translate"`
	Emergency []Emergency   `toml:"emergency"`
	Barred    []Barred      `toml:"barred"`
	Prefix    []Prefix      `toml:"prefix"`
	Range     []Range       `toml:"range"`
	Route     []Route       `toml:"route"`
	When      []Condition   `toml:"when"`
	Default   string        `toml:"default"`    // route of numbers without a match; "": they are unallocated
	Version   string        `toml:"version"`    // a name for people
	MaxDigits int           `toml:"max_digits"` // of a number in E.164 form, without the plus; default 15
}

// Plan is a dialling plan: the country code, and the prefixes that callers dial before national and international
// numbers. It brings numbers as dialled into E.164 form.
type Plan struct {
	Name          string `toml:"name"`
	Country       string `toml:"country"`       // "56"
	International string `toml:"international"` // "00"
	National      string `toml:"national"`      // "0"; "": national numbers are dialled without a prefix
	MinDigits     int    `toml:"min_digits"`    // of a national number; shorter numbers are short forms
	MaxDigits     int    `toml:"max_digits"`
}

// Translation changes the digits of a number before analysis: a number that begins with Match loses Strip digits and
// gets Add before the rest. Short numbers of an organisation are translations with Exact.
type Translation struct {
	Match string `toml:"match"`
	Exact bool   `toml:"exact"` // the number has no digits after Match
	Strip int    `toml:"strip"`
	Add   string `toml:"add"`
}

// Emergency is an emergency number. It is routed as dialled; bars, translations and look-ups do not apply.
type Emergency struct {
	Number string `toml:"number"` // as dialled
	Route  string `toml:"route"`
}

// Barred is a prefix whose numbers are rejected with a Q.850 cause.
type Barred struct {
	Prefix  string   `toml:"prefix"`
	Cause   int      `toml:"cause"`   // default 21, call rejected
	Classes []string `toml:"classes"` // classes of calls that are rejected; none: all
}

// Prefix is a prefix of numbers with their route.
type Prefix struct {
	Prefix string `toml:"prefix"` // E.164 digits, without the plus
	Route  string `toml:"route"`
	Ported bool   `toml:"ported"` // numbers may have moved: they are looked up first
}

// Range is a block of numbers of one length, from First to Last, with their route.
type Range struct {
	First  string `toml:"first"`
	Last   string `toml:"last"`
	Route  string `toml:"route"`
	Ported bool   `toml:"ported"`
}

// Route is a list of targets, tried in the order of their steps. Of the targets of one step, a call tries one first
// that is chosen by weight, and then the others.
type Route struct {
	Name   string   `toml:"name"`
	Target []Target `toml:"target"`
}

// Target is a pool that is used always, or while a condition holds.
type Target struct {
	Pool   int    `toml:"pool"`
	Step   int    `toml:"step"`   // the lowest first
	Weight int    `toml:"weight"` // default 1
	When   string `toml:"when"`   // name of a condition; "": always
}

// Condition is a set of times. It holds at a time if the weekday, the hours and the dates allow it and the day is no
// holiday.
type Condition struct {
	Name     string   `toml:"name"`
	Zone     string   `toml:"zone"`     // IANA name; default UTC
	Weekdays []string `toml:"weekdays"` // "mon" to "sun"; none: all
	Hours    []string `toml:"hours"`    // "08:00-18:30" without its end, "22:00-06:00" over midnight; none: all
	Dates    []string `toml:"dates"`    // "2026-12-24" or "2026-12-24/2026-12-31"; none: all
	Holidays []string `toml:"holidays"` // days on which the condition does not hold
	Not      bool     `toml:"not"`      // the condition holds at all other times instead
}

// Bounds of rules, so that a file cannot fill the memory.
const (
	maxPrefixes   = 2_000_000
	maxRoutes     = 4096
	maxTargets    = 64 // of a route
	maxConditions = 1024
	maxPlans      = 16
	maxDigits     = 24
	maxPool       = 1<<15 - 1
)

// Parse reads rules from TOML text. Unknown keys are errors.
func Parse(text []byte) (*Rules, error) {
	var r Rules
	meta, err := toml.Decode(string(text), &r)
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return nil, fmt.Errorf("line %d: %s", parse.Position.Line, parse.Message)
	}
	if err != nil {
		return nil, errors.New(strings.TrimPrefix(err.Error(), "toml: "))
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	return &r, nil
}
