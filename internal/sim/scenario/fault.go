package scenario

import "fmt"

// DefaultRedialDelay is the range of the delay before callers of dropped calls redial, unless the fault sets one.
var DefaultRedialDelay = millisecondRange(280, 2900)

// Kinds of faults.
const (
	Slow                  = "slow"       // service times of exchanges are multiplied by Factor
	Crash                 = "crash"      // exchanges stop without releasing their calls
	Unreachable           = "vanish"     // messages to and from exchanges are lost
	Hang                  = "hang"       // exchanges accept messages and answer none
	Replace               = "replace"    // rolling deployment: exchanges drain and stop, new ones start
	LoseCircuits          = "lose_lines" // exchanges of a zone keep only the share Keep of their circuits
	DropCalls             = "cut"        // a share of the established calls is dropped; their callers redial
	Burst                 = "burst"      // the call rate is multiplied by Factor
	DiscoveryUnavailable  = "names_lost" // discovery is unavailable
	DiscoveryDelay        = "names_late" // endpoint updates are delayed by By
	DiscoveryFalseRemoval = "names_lie"  // discovery reports running exchanges as removed
	Reset                 = "reset"      // connections are reset
	LoseAnswers           = "half"       // a share of the answers is lost
	MalformAnswers        = "spoil"      // a share of the answers is malformed: the connection is closed
	DuplicateAnswers      = "twice"      // a share of the answers is duplicated
	ClockSkew             = "skew"       // clocks of exchanges are off by By, which affects the reported start times
	Kill                  = "kill"       // controllers are killed and restarted after By
	LoseSetUps            = "lost"       // a share of the call set-ups is lost
	DeadConnections       = "dead"       // connections to a share of the exchanges lose all messages until redialled
	Partition             = "sever"      // network partition between a zone and the others, without connection errors
	RollingRestart        = "roll"       // all controllers restart, a tenth at a time, over For; each is down for By
)

// Kinds lists all kinds of faults.
var Kinds = []string{
	Slow, Crash, Unreachable, Hang, Replace, LoseCircuits, DropCalls, Burst, DiscoveryUnavailable, DiscoveryDelay,
	DiscoveryFalseRemoval, Reset, LoseAnswers, MalformAnswers, DuplicateAnswers, ClockSkew, Kill, LoseSetUps,
	DeadConnections, Partition, RollingRestart,
}

// A Fault is injected into a run at a given time.
type Fault struct {
	Kind        string        `toml:"kind" json:"kind"`
	At          Duration      `toml:"at" json:"at"`                   // since the start of the run
	For         Duration      `toml:"for" json:"for,omitempty"`       // duration
	Share       float64       `toml:"share" json:"share,omitempty"`   // of exchanges, controllers, calls or answers
	Factor      float64       `toml:"factor" json:"factor,omitempty"` // multiplier of Slow and Burst
	Keep        float64       `toml:"keep" json:"keep,omitempty"`     // remaining share of LoseCircuits
	By          Duration      `toml:"by" json:"by,omitempty"`         // delay, clock offset or downtime
	RedialDelay DurationRange `toml:"back" json:"back"`               // delay until dropped callers redial
}

// String returns the kind, the time and the parameters that are set.
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
