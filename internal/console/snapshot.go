// Package console shows a fleet of call controllers on a terminal: its present state, polled from agents or read from
// live stores, or its past state, replayed from records.
//
// A Source produces Snapshots, and the Model turns a Snapshot and the operator's keys into a screen. The package owns
// the sources, the rates, the tables and the screen. It only reads: it never changes an instance or a store.
package console

import "time"

// State is the state of an instance. An agent may report further states, which are shown as they are.
type State string

// The states that the console tells apart.
const (
	StateRunning      State = "running"
	StateDraining     State = "draining" // as an agent reports a shutdown in progress
	StateStopping     State = "stopping" // as the instance reports it
	StateEnded        State = "ended"
	StateKilled       State = "killed"
	StateUnresponsive State = "silent" // it does not answer; its data is that of the time Seen
)

// String implements fmt.Stringer.
func (s State) String() string { return string(s) }

// isTerminal reports whether an instance in this state takes no more calls.
func (s State) isTerminal() bool { return s == StateEnded || s == StateKilled }

// isFault reports whether the state is marked on the screen.
func (s State) isFault() bool { return s == StateUnresponsive || s == StateKilled }

// Phase is the state of a server in the endpoint list, by its name in records and statistics.
type Phase string

// phaseActive is the phase of a server that takes calls.
const phaseActive Phase = "listed"

// String implements fmt.Stringer.
func (p Phase) String() string { return string(p) }

// An Instance is one call controller.
type Instance struct {
	Name             string
	Agent            string // address of its agent, "" if the data comes from records
	State            State
	Problem          string // why the instance could not be polled, "" if it could
	PID              string
	Starts           int
	Seen             time.Time // the time to which the data refers
	Total            Counts
	Rates            Rates
	OpenCalls        int
	EstablishedCalls int
	LostRecords      uint64
	NumberingDigest  string // of the numbering table in force, "" if there is none or it is unknown
	HasGap           bool   // records are lost shortly before Seen
	Classes          []Class
	Servers          []Server
}

// hasOtherNumbering reports whether a running instance has another numbering table than the majority.
func (i *Instance) hasOtherNumbering(majority string) bool {
	return majority != "" && i.State == StateRunning && i.NumberingDigest != majority
}

// A Class is a class of calls of one instance or of the fleet.
type Class struct {
	Name string
	Counts
	Rates Rates
}

// A Server is a backend as one instance, or the fleet, knows it.
type Server struct {
	Name        string
	Pool        int
	Phase       Phase
	InSlowStart bool
	RateLimit   float64 // attempts per second, +Inf for no limit
	LimitedBy   int     // number of instances that limit their rate, in the view of the fleet
	KnownBy     int     // number of instances that know the server, in the view of the fleet
	Attempts    uint64
	Established uint64
	Dropped     uint64
	AttemptRate float64 // attempts per second, NaN if unknown
}

// A Call is one call, as its records describe it so far.
type Call struct {
	ID       string
	Class    string
	Server   string // of the last attempt
	Outcome  string // outcome of the final answer, then how the call ended; outcomeOpen before
	Instance string
	At       time.Time // when it was offered
	Took     time.Duration
	Attempts int
	Lines    []string // the records of the call, as text
}

// key identifies the call in the fleet.
func (c *Call) key() string { return c.Instance + "/" + c.ID }

// A Snapshot is the state of a fleet at one time.
type Snapshot struct {
	At        time.Time
	Source    string // origin of the data, for the operator
	HasCalls  bool   // the source reports individual calls
	IsReplay  bool
	Speed     float64 // of a replay; 0 if it is paused
	AtEnd     bool    // the replay has reached the last record
	Instances []Instance
	Events    []Event // the latest first
	Calls     []Call  // the latest first
}
