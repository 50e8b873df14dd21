package numbering

import (
	"errors"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// Rules is the content of a numbering rules file, which an operator writes in TOML.
type Rules struct {
	Plan      []Plan        `toml:"plan"`
	Translate []Translation `toml:"translate"`
	Emergency []Emergency   `toml:"emergency"`
	Barred    []Barred      `toml:"barred"`
	Prefix    []Prefix      `toml:"prefix"`
	Range     []Range       `toml:"range"`
	Route     []Route       `toml:"route"`
	When      []Condition   `toml:"when"`
	Default   string        `toml:"default"`    // route of numbers that no prefix matches; "": unallocated
	Version   string        `toml:"version"`    // for display only
	MaxDigits int           `toml:"max_digits"` // of a number in E.164 form, without the plus; default 15
}

// Plan is a dialling plan: the country code, and the prefixes that callers dial before national and international
// numbers. Numbers as dialled are converted to E.164 form with it.
type Plan struct {
	Name          string `toml:"name"`
	Country       string `toml:"country"`       // "56"
	International string `toml:"international"` // "00"
	National      string `toml:"national"`      // "0"; "": national numbers are dialled without a prefix
	MinDigits     int    `toml:"min_digits"`    // of a national number; shorter numbers are short forms
	MaxDigits     int    `toml:"max_digits"`
}

// Translation changes the digits of a number before analysis: in a number that begins with Match, the first Strip
// digits are replaced by Add. Short numbers of an organisation are translations with Exact.
type Translation struct {
	Match string `toml:"match"`
	Exact bool   `toml:"exact"` // the whole number is Match
	Strip int    `toml:"strip"`
	Add   string `toml:"add"`
}

// Emergency is an emergency number. It is routed as dialled: bars, translations and portability look-ups do not apply.
type Emergency struct {
	Number string `toml:"number"` // as dialled
	Route  string `toml:"route"`
}

// Barred is a prefix of numbers to which calls are rejected with a Q.850 cause.
type Barred struct {
	Prefix  string   `toml:"prefix"`
	Cause   int      `toml:"cause"`   // default 21, call rejected
	Classes []string `toml:"classes"` // classes of the calls that are rejected; empty: all
}

// Prefix assigns a route to the numbers with a prefix.
type Prefix struct {
	Prefix string `toml:"prefix"` // E.164 digits, without the plus
	Route  string `toml:"route"`
	Ported bool   `toml:"ported"` // numbers may have been ported: a look-up is required
}

// Range assigns a route to a block of numbers of equal length, from First to Last.
type Range struct {
	First  string `toml:"first"`
	Last   string `toml:"last"`
	Route  string `toml:"route"`
	Ported bool   `toml:"ported"`
}

// Route is a list of targets, tried in the order of their steps. Within a step, the first target for a call is chosen
// by weight from the seed of the call, and the others follow.
type Route struct {
	Name   string   `toml:"name"`
	Target []Target `toml:"target"`
}

// Target is a pool that is open always, or only while a condition holds.
type Target struct {
	Pool   int    `toml:"pool"`
	Step   int    `toml:"step"`   // steps are tried in ascending order
	Weight int    `toml:"weight"` // default 1
	When   string `toml:"when"`   // name of a condition; "": always
}

// Condition is a set of times. It holds at a time if the weekday, the time of day and the date match and the day is not
// a holiday.
type Condition struct {
	Name     string   `toml:"name"`
	Zone     string   `toml:"zone"`     // IANA name; default UTC
	Weekdays []string `toml:"weekdays"` // "mon" to "sun"; empty: all
	Hours    []string `toml:"hours"`    // "08:00-18:30", end excluded; "22:00-06:00" spans midnight; empty: all
	Dates    []string `toml:"dates"`    // "2026-12-24" or "2026-12-24/2026-12-31"; empty: all
	Holidays []string `toml:"holidays"` // days on which the condition does not hold
	Not      bool     `toml:"not"`      // inverts the condition
}

// Limits on the size of rules, so that a file cannot exhaust the memory.
const (
	maxPrefixes   = 2_000_000
	maxRoutes     = 4096
	maxTargets    = 64 // of a route
	maxConditions = 1024
	maxPlans      = 16
	maxDigits     = 24
	maxPool       = 1<<15 - 1
)

// Parse reads rules from TOML text. An unknown key is an error.
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
