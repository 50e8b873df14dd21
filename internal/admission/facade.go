package admission

import (
	"container/heap"
	"time"
)

// A Engine is the module in blocking style, for a host that does not want to know
// its events and actions: Pick hands in a call, Report says what became of an
// attempt, Tick lets time pass. It keeps the module's timers and decides nothing.
// Like the Controller it is not safe for concurrent use.
type Engine struct {
	c     *StateMachine
	bells bells
	later []Decision // for other calls than the one at hand; Tick hands them out
	log   func(string)
	// OnRateLimitChange, if set, is told of each ceiling that changes.
	OnRateLimitChange func(RateLimitChanged)
}

// A Request is a call that the module is asked to place.
type Request struct {
	CallID        string
	Class         string
	Number        string // the number called
	PreferredPool int    // pool of first choice
	Pools         []int  // pools it may go to, the preferred first; nil: those of its class
	Deadline      Time   // the caller gives up
	Reestablish   bool   // it stood, was cut and comes again
	Emergency     bool   // an emergency: it comes first, as a call that was cut does
}

// A ReportKind says how far an attempt of which Report tells has come.
type ReportKind int

// Stages of an attempt.
const (
	ReportEstablished ReportKind = iota // the call stands
	ReportEnded                         // the attempt is over, as Code tells
	ReportAbandoned                     // the caller left; Attempt does not count
	ReportLoad                          // the server tells of itself by Load; Call and Attempt do not count
)

// A AttemptReport is what Report tells of an attempt.
type AttemptReport struct {
	CallID, Server string
	Attempt        int
	Kind           ReportKind
	Result         AttemptResult
	Cause          FailureCause
	RetryAfter     time.Duration // wait that a full server asks for; 0: none
	Elapsed        time.Duration
	Load           LoadReport
	Final          bool // the call is finished; no order for it is wanted
}

// A DecisionKind is what is to be done with a call.
type DecisionKind int

// Moves. With None the call stays open and a later Tick tells more.
const (
	None   DecisionKind = iota
	Send                // start an attempt at Server that may last for Wait
	Reject              // answer that the call is refused, and may come back after Wait
	Fail                // answer that the call has failed, and may come back after Wait
	Cancel              // end the attempt that is out
)

// An Decision is the module's word on one call.
type Decision struct {
	CallID  string
	Kind    DecisionKind
	Server  string
	Attempt int
	Wait    time.Duration
	Reason  Reason // as far as the module tells it
}

// NewEngine starts the module of a node. Lines for the staff go to log.
func NewEngine(now Time, set Settings, seed uint64, log func(string)) (*Engine, error) {
	c, err := NewStateMachine(set, seed)
	if err != nil {
		return nil, err
	}
	d := &Engine{c: c, log: log}
	d.take(c.Begin(now))
	return d, nil
}

// LatencyThreshold is what the module takes for a late answer.
func (d *Engine) LatencyThreshold() time.Duration { return d.c.late }

// SetOverloadControl has the module tell f what it does and ask it what the fleet holds back, from now on.
func (d *Engine) SetOverloadControl(f OverloadControl) { d.c.fleet = f }

// Pick asks where a call is to go.
func (d *Engine) Place(now Time, r Request) Decision {
	return d.one(r.CallID, d.c.Handle(now, CallOffered{CallID: r.CallID, Class: r.Class, Number: r.Number,
		PreferredPool: r.PreferredPool, Pools: r.Pools, Deadline: r.Deadline, Reestablish: r.Reestablish || r.Emergency}))
}

// Report tells what became of an attempt and asks what is to follow.
func (d *Engine) Report(now Time, p AttemptReport) Decision {
	var e Event
	switch p.Kind {
	case ReportEstablished:
		e = CallEstablished{CallID: p.CallID, Server: p.Server, Attempt: p.Attempt, SetupTime: p.Elapsed}
	case ReportEnded:
		e = AttemptEnded{CallID: p.CallID, Server: p.Server, Attempt: p.Attempt, Result: p.Result,
			Cause: p.Cause, RetryAfter: p.RetryAfter, Elapsed: p.Elapsed, Final: p.Final, Load: p.Load}
	case ReportLoad:
		e = LoadReported{Server: p.Server, OK: true, Load: p.Load}
	default:
		e = CallAbandoned{CallID: p.CallID}
	}
	return d.one(p.CallID, d.c.Handle(now, e))
}

// Tick lets time pass up to now and returns the orders that this brings.
func (d *Engine) Tick(now Time) []Decision {
	orders := d.later
	d.later = nil
	for len(d.bells) > 0 && d.bells[0].At <= now {
		b := heap.Pop(&d.bells).(SetTimer)
		orders = append(orders, d.take(d.c.Handle(now, TimerFired{Key: b.Key}))...)
	}
	return orders
}

// Next is when Tick is due. The periods of the module never end, so there is always a time.
func (d *Engine) NextDeadline() Time {
	if len(d.later) > 0 || len(d.bells) == 0 {
		return 0
	}
	return d.bells[0].At
}

// List tells of the servers: all of them (full) or those that changed.
func (d *Engine) UpdateServers(now Time, servers []Server, full bool) {
	d.later = append(d.later, d.take(d.c.Handle(now, ServersUpdated{Full: full, Cached: full, Servers: servers}))...)
}

// one returns the order for a call and keeps those for others.
func (d *Engine) one(call string, acts []Action) Decision {
	found := Decision{CallID: call}
	for _, o := range d.take(acts) {
		if o.CallID == call && found.Kind == None {
			found = o
		} else {
			d.later = append(d.later, o)
		}
	}
	return found
}

// take turns actions into orders, sets timers and writes log lines.
func (d *Engine) take(acts []Action) (orders []Decision) {
	for _, a := range acts {
		switch a := a.(type) {
		case SendAttempt:
			orders = append(orders, Decision{CallID: a.CallID, Kind: Send, Server: a.Server, Wait: a.Timeout})
		case RejectCall:
			orders = append(orders, Decision{CallID: a.CallID, Kind: Reject, Wait: a.RetryAfter, Reason: a.Reason})
		case FailCall:
			orders = append(orders, Decision{CallID: a.CallID, Kind: Fail, Wait: a.RetryAfter, Reason: a.Reason})
		case CancelAttempt:
			orders = append(orders, Decision{CallID: a.CallID, Kind: Cancel, Attempt: a.Attempt, Reason: a.Reason})
		case SetTimer:
			heap.Push(&d.bells, a)
		case LogMessage:
			d.log(a.Text)
		case RateLimitChanged:
			if d.OnRateLimitChange != nil {
				d.OnRateLimitChange(a)
			}
		}
	}
	return orders
}

// bells are the timers that run, the next to ring first.
type bells []SetTimer

func (b bells) Len() int           { return len(b) }
func (b bells) Less(i, j int) bool { return b[i].At < b[j].At }
func (b bells) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *bells) Push(x any)        { *b = append(*b, x.(SetTimer)) }
func (b *bells) Pop() any {
	old := *b
	x := old[len(old)-1]
	*b = old[:len(old)-1]
	return x
}
