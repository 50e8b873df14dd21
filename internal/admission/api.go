package admission

import (
	"fmt"
	"time"
)

// A Time is a clock reading: the time passed since an origin that only the
// host knows. The module compares readings and never asks a clock itself.
type Time = time.Duration

// Settings describe the deployment. They are given once, at the start.
type Settings struct {
	GroupSize   int           // access nodes like this one, itself included
	Topology    string        // "pools": all nodes share the servers; New takes no other
	Classes     []Class       // in the order of the host's class names
	MaxAttempts int           // attempts a call may have
	MayCancel   bool          // the host can call an attempt off
	NoWait      bool          // callers are not told how long to keep away
	AskList     bool          // the list of servers comes only when asked for
	Resend      time.Duration // a waiting set-up is repeated after this; 0: never
	Release     time.Duration // guard before a call may be sent again
	Cold        time.Duration // a started server is warm after this
	Start       float64       // share of its capacity a started server has
	Multiple    float64       // of what it can do by then, that all nodes may send it; 0: not told
}

// Told is what a caller who is turned down is told of a wait: nothing where the deployment has none told.
func (s Settings) Told(wait time.Duration) time.Duration {
	if s.NoWait {
		return 0
	}
	return wait
}

// check tells what a deployment's settings cannot be.
func (s Settings) check() error {
	switch {
	case s.Topology != "pools":
		return fmt.Errorf("topology %q is not supported", s.Topology)
	case len(s.Classes) == 0:
		return fmt.Errorf("no classes")
	case s.GroupSize < 1 || s.MaxAttempts < 1:
		return fmt.Errorf("group size %d or max attempts %d is below 1", s.GroupSize, s.MaxAttempts)
	case min(s.Resend, s.Release, s.Cold) < 0:
		return fmt.Errorf("a time is negative")
	case !(s.Start >= 0 && s.Start <= 1):
		return fmt.Errorf("start share %v is not within 0 and 1", s.Start)
	}
	for _, k := range s.Classes {
		if k.Aim <= 0 || k.Deadline < k.Aim || !(k.Credit >= 0) {
			return fmt.Errorf("class %q: aim %v, deadline %v, credit %v", k.Name, k.Aim, k.Deadline, k.Credit)
		}
	}
	return nil
}

// A Class is a kind of call.
type Class struct {
	Name      string
	Aim       time.Duration // a call that stands within this earns its credit
	Deadline  time.Duration // callers give up for good after this
	Credit    float64
	LateWorth float64 // share of the credit for a call that stands late
	Pools     []int   // pools that can take it; nil: all
	Effect    Effect
	Scope     Scope         // of Once: which servers know a repeat
	Window    time.Duration // of Once: from the first send that may have run
}

// An Effect says what a call that runs twice does.
type Effect int

// Effects. Of a call that may have run, one of Once goes only to servers that would know the repeat, and one
// of Never to none; neither is refused as one that may safely come again.
const (
	Harmless Effect = iota
	Once            // servers within its Scope discard a repeat for a while
	Never           // it may not be repeated
)

// A Scope is the part of the servers that discard a repeat together.
type Scope int

// Scopes.
const (
	Everywhere Scope = iota
	WithinZone
	WithinPool
)

// An Event is something the host tells the module: List, Ask, Stands,
// Returned, Gone, Probed or Bell.
type Event interface{ event() }

// A Phase is what the list says of a server.
type Phase int

// Phases of a server.
const (
	In Phase = iota
	Lame
	Out
)

// A Server is one line of the list. Started is 0 when it was long ago.
type Server struct {
	ID      string
	Pool    int
	Zone    string
	Phase   Phase
	Started Time
}

// List carries news of the servers: the whole list (Full), the list last
// held before a restart of the node (Cached too), or changes only.
type List struct {
	Full, Cached bool
	Failed       bool // a Watch failed or broke off; Servers is empty
	Servers      []Server
}

// Ask hands a call to the module, which then owes it one final answer.
type Ask struct {
	Call   string
	Class  string
	Number string // the number called
	First  int    // pool of first choice
	Pools  []int  // pools it may go to, the preferred first; nil: those of its class
	Until  Time   // the caller gives this try up
	Again  bool   // the caller marks it as dialled again
	Cut    bool   // it stood, was cut and comes again
}

// Stands tells that a call's attempt has been answered: the call stands.
type Stands struct {
	Call, Server string
	Attempt      int
	Took         time.Duration
}

// A Code says how an attempt ended.
type Code int

// Codes of Returned. Full, DialFailed and Unused prove that nothing ran.
const (
	Delivered Code = iota
	Error
	Full
	Expired
	DialFailed
	Dropped
	Revoked
	Unused
)

// MayHaveRun tells whether an attempt that ended so may have run.
func (c Code) MayHaveRun() bool { return c != Full && c != DialFailed && c != Unused }

// A Cause is the far end's reason for a Full or an Error, or what is known of a Dropped.
type Cause int

// Causes.
const (
	NoCause Cause = iota
	NoLine
	TurnedBack
	ProcessorFull
	NumberBusy
	DeadLink // of a Dropped: the connection stayed open and brought nothing more
)

// Returned is the end of an attempt; each Send gets exactly one.
type Returned struct {
	Call, Server string
	Attempt      int
	Code         Code
	Cause        Cause
	Hint         time.Duration // wait that a full server asks for; 0: none
	Took         time.Duration
	Terminal     bool // the call is finished, no answer is owed
	Load         Load
}

// A Figure is a number that may not have been given.
type Figure struct {
	Value float64
	Given bool
}

// Load is a server's report of itself; times are in seconds.
type Load struct {
	Wait     Figure // wait at the processor
	Backlog  Figure // messages waiting there
	CanTake  Figure // set-ups a second it can take from all senders
	HoldBack Figure // share of set-ups it asks each sender to hold back
	Free     Figure // free lines of the pool
	Lines    Figure // lines of the pool
}

// Gone tells that the caller left.
type Gone struct{ Call string }

// Probed carries an unasked or asked report of a server.
type Probed struct {
	Server string
	OK     bool
	Load   Load
}

// Bell tells that a timer set with Defer is due.
type Bell struct{ Key int64 }

func (List) event()     {}
func (Ask) event()      {}
func (Stands) event()   {}
func (Returned) event() {}
func (Gone) event()     {}
func (Probed) event()   {}
func (Bell) event()     {}

// A Why is the module's reason for an order or a ceiling, as far as it tells it.
type Why string

// Reasons.
const (
	NoClass      Why = "no_class"      // no such class
	NumberJammed Why = "number_jammed" // all lines of the number were busy just now
	NoServer     Why = "no_server"     // none that may take the call has room for it in time
	Exhausted    Why = "exhausted"     // no attempt or no time is left
	NumberIsBusy Why = "number_busy"   // a server answered so
	LostOnWay    Why = "lost"          // a later set-up stands already
	ServerSilent Why = "silent"        // the server answers nothing, and another would
	Pressed      Why = "pressed"       // evidence that the server is slow
	Lapsed       Why = "lapsed"        // none of it for long
	Excused      Why = "excused"       // the evidence was a loss on the way
	FleetHolds   Why = "fleet"         // as no_server, and the fleet's word made the difference
)

// An Action is what the module wants done: Send, Refuse, Fail, Cancel, Defer,
// Watch, Log or Ceiling, to be carried out in the order given.
type Action interface{ action() }

// Send starts an attempt; the first of a call is number 0.
type Send struct {
	Call, Server string
	Wait         time.Duration // time-out
}

// Refuse is the final answer to a call that is not taken. The caller should
// keep away for Wait; 0: no advice.
type Refuse struct {
	Call string
	Wait time.Duration
	Why  Why
}

// Fail is the final answer to a call that could not be made to stand. The
// caller should keep away for Wait; 0: no advice.
type Fail struct {
	Call string
	Wait time.Duration
	Why  Why
}

// Cancel calls an attempt off.
type Cancel struct {
	Call    string
	Attempt int
	Why     Why
}

// Defer asks for a Bell with Key at or after At.
type Defer struct {
	At  Time
	Key int64
}

// Watch asks that changes of the list be told from now on.
type Watch struct{}

// Log is a line for the staff.
type Log struct{ Text string }

// Ceiling tells that the ceiling of a server is another now; nothing is to be done.
type Ceiling struct {
	Server    string
	PerSecond float64 // set-ups; +Inf: none
	Why       Why
}

func (Send) action()    {}
func (Refuse) action()  {}
func (Fail) action()    {}
func (Cancel) action()  {}
func (Defer) action()   {}
func (Watch) action()   {}
func (Log) action()     {}
func (Ceiling) action() {}

// A Fleet is what the module tells of what it does, and asks of what all controllers together hold back. Its
// methods are called within Handle, must not block and must not call the module. It is asked only of servers
// that the module would send to by its list and its own evidence.
type Fleet interface {
	// Offered tells of a new call of a tier whose first choice is a server.
	Offered(now Time, server string, tier int)
	// Sent tells of a set-up; first: to the first choice, by the call's first attempt.
	Sent(now Time, server string, first bool)
	// Back tells that a set-up waits no more: it stood after took, or ended otherwise.
	Back(now Time, server string, stood bool, took time.Duration)
	// Pressed tells of evidence that a server is slow.
	Pressed(now Time, server string)
	// Holds tells why the fleet holds a call back from a server, "" if it does not; told: it has a word on the
	// server, which then stands in the place of this node's own ceiling.
	Holds(now Time, server string, tier int, first bool) (holds Why, told bool)
}

// alone is the Fleet of a node that shares nothing.
type alone struct{}

func (alone) Offered(Time, string, int)                 {}
func (alone) Sent(Time, string, bool)                   {}
func (alone) Back(Time, string, bool, time.Duration)    {}
func (alone) Pressed(Time, string)                      {}
func (alone) Holds(Time, string, int, bool) (Why, bool) { return "", false }
