package numbering

import (
	"errors"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// Rules are what an operator writes: one TOML file.
type Rules struct {
	Plan       []Plan        `toml:"plan"`
	Translate  []Translation `toml:"translate"`
	Emergency  []Emergency   `toml:"emergency"`
	Barred     []Barred      `toml:"barred"`
	Prefix     []Prefix      `toml:"prefix"`
	Range      []Range       `toml:"range"`
	Route      []Route       `toml:"route"`
	When       []Condition   `toml:"when"`
	Default    string        `toml:"default"`    // route of numbers that nothing matches; "": they are unallocated
	Version    string        `toml:"version"`    // a name for people
	MostDigits int           `toml:"max_digits"` // of a number in E.164 form, without the plus; default 15
}

// A Plan brings numbers as callers write them into E.164 form: a country code and the prefixes
// that callers dial in front of national and international numbers.
type Plan struct {
	Name          string `toml:"name"`
	Country       string `toml:"country"`       // "56"
	International string `toml:"international"` // "00"
	National      string `toml:"national"`      // "0"; "": national numbers are dialled as they are
	MinDigits     int    `toml:"min_digits"`    // of a national number; what is shorter is a short form
	MaxDigits     int    `toml:"max_digits"`
}

// A Translation changes digits before analysis: a number that begins with Match loses Strip
// digits and gets Add in front. Short forms of a house are translations with Exact.
type Translation struct {
	Match string `toml:"match"`
	Exact bool   `toml:"exact"`
	Strip int    `toml:"strip"`
	Add   string `toml:"add"`
}

// An Emergency number goes its route at once: nothing bars it, translates it or looks it up.
type Emergency struct {
	Number string `toml:"number"` // as dialled
	Route  string `toml:"route"`
}

// Barred numbers are refused with a cause of Q.850.
type Barred struct {
	Prefix  string   `toml:"prefix"`
	Cause   int      `toml:"cause"`   // default 21, call rejected
	Classes []string `toml:"classes"` // barred for these only; none: for all
}

// A Prefix says which route numbers take that begin with it.
type Prefix struct {
	Prefix string `toml:"prefix"` // E.164 digits, without the plus
	Route  string `toml:"route"`
	Ported bool   `toml:"ported"` // numbers may have moved: ask first
}

// A Range says which route the numbers of a block take, First to Last, of one length.
type Range struct {
	First  string `toml:"first"`
	Last   string `toml:"last"`
	Route  string `toml:"route"`
	Ported bool   `toml:"ported"`
}

// A Route is a list of targets, tried in the order of their steps; of targets in one step a call
// takes one first by weight and the others after.
type Route struct {
	Name   string   `toml:"name"`
	Target []Target `toml:"target"`
}

// A Target is a pool, under a condition of time if one is named.
type Target struct {
	Pool   int    `toml:"pool"`
	Step   int    `toml:"step"`   // the lowest first
	Weight int    `toml:"weight"` // default 1
	When   string `toml:"when"`   // name of a condition; "": always
}

// A Condition is a set of times: a time is in it if weekday, hours and dates all allow it and it
// is no holiday that is left out.
type Condition struct {
	Name     string   `toml:"name"`
	Zone     string   `toml:"zone"`     // IANA name; default UTC
	Weekdays []string `toml:"weekdays"` // "mon" to "sun"; none: all
	Hours    []string `toml:"hours"`    // "08:00-18:30", the end left out; "22:00-06:00" goes over midnight; none: all
	Dates    []string `toml:"dates"`    // "2026-12-24" or "2026-12-24/2026-12-31"; none: all
	Holidays []string `toml:"holidays"` // days of this list are out, whatever else allows them
	Not      bool     `toml:"not"`      // the set is turned round
}

// Bounds of rules, so that a file cannot fill memory.
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

// A RuleError is one thing wrong with rules.
type RuleError struct {
	Entry string // "prefix 3 (569)"
	Err   error
}

func (f *RuleError) Error() string { return f.Entry + ": " + f.Err.Error() }

// Unwrap implements errors.Unwrap.
func (f *RuleError) Unwrap() error { return f.Err }

// isDigits tells whether a text is digits alone, so many at the most.
func isDigits(s string) bool {
	if s == "" || len(s) > maxDigits {
		return false
	}
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return true
}
