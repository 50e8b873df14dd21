package scenario

import "fmt"

// Back is the delay after which callers whose call was dropped redial, unless a fault sets another.
var Back = span(280, 2900)

// Kinds of faults.
const (
	Slow      = "slow"       // service times of exchanges are multiplied by Factor
	Crash     = "crash"      // exchanges stop without closing their calls
	Vanish    = "vanish"     // messages to and from exchanges are lost
	Hang      = "hang"       // exchanges accept messages and answer none
	Replace   = "replace"    // rolling deployment: exchanges drain and stop, new ones begin with slow start
	LoseLines = "lose_lines" // the exchanges of a zone keep the share Keep of their circuits
	Cut       = "cut"        // a share of the established calls is dropped; their callers redial
	Burst     = "burst"      // the call rate is multiplied by Factor
	NamesLost = "names_lost" // discovery is unavailable
	NamesLate = "names_late" // endpoint updates are delayed by By
	NamesLie  = "names_lie"  // discovery reports running exchanges as removed
	Reset     = "reset"      // connections are reset
	Half      = "half"       // a share of the answers is lost
	Spoil     = "spoil"      // a share of the answers is malformed: the connection is closed
	Twice     = "twice"      // a share of the answers is duplicated
	Skew      = "skew"       // clocks of exchanges are off by By, which affects the reported start times
	Kill      = "kill"       // controllers are killed and restarted after By
	Lost      = "lost"       // a share of the call set-ups is lost
	Dead      = "dead"       // connections to a share of the exchanges stay open and lose all until dialled again
	Sever     = "sever"      // a network partition between a zone and the others, without a connection error
	Roll      = "roll"       // rolling restart of the controllers, a tenth at a time, over For; each is away for By
)

// Kinds lists the kinds of faults.
var Kinds = []string{
	Slow, Crash, Vanish, Hang, Replace, LoseLines, Cut, Burst, NamesLost, NamesLate, NamesLie, Reset, Half, Spoil,
	Twice, Skew, Kill, Lost, Dead, Sever, Roll,
}

// A Fault is a disturbance that begins at a time of the run and lasts for a while.
type Fault struct {
	Kind   string   `toml:"kind" json:"kind"`
	At     Duration `toml:"at" json:"at"`                   // since the start of the run
	For    Duration `toml:"for" json:"for,omitempty"`       // duration
	Share  float64  `toml:"share" json:"share,omitempty"`   // of exchanges, controllers, calls or answers
	Factor float64  `toml:"factor" json:"factor,omitempty"` // multiplier of Slow and Burst
	Keep   float64  `toml:"keep" json:"keep,omitempty"`     // remaining share of LoseLines
	By     Duration `toml:"by" json:"by,omitempty"`         // delay, clock offset or downtime
	Back   Span     `toml:"back" json:"back"`               // delay until dropped callers redial
}

// String describes the fault by its kind and the parameters that are set.
func (f Fault) String() string {
	s := fmt.Sprintf("%s at %v", f.Kind, f.At.D())
	if f.For > 0 {
		s += fmt.Sprintf(" for %v", f.For.D())
	}
	parameters := []struct {
		name  string
		value float64
	}{
		{"share", f.Share},
		{"factor", f.Factor},
		{"keep", f.Keep},
	}
	for _, p := range parameters {
		if p.value != 0 {
			s += fmt.Sprintf(", %s %v", p.name, p.value)
		}
	}
	if f.By != 0 {
		s += fmt.Sprintf(", by %v", f.By.D())
	}
	return s
}
