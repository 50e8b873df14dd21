package admission

import (
	"container/heap"
	"time"
)

// An Engine wraps a StateMachine for a host that prefers method calls to events and actions: Place submits a call,
// Report reports the outcome of an attempt, Tick advances time. It manages the timers and makes no decisions itself.
// Like StateMachine, it is not safe for concurrent use.
type Engine struct {
	machine  *StateMachine
	timers   timerHeap
	deferred []Decision // about calls other than the one a method was called for; Tick returns them
	log      func(string)
	// OnRateLimitChange, if not nil, is called on each change of a server's rate limit.
	OnRateLimitChange func(RateLimitChanged)
}

// A Request describes a call to place.
type Request struct {
	CallID        string // unique among the open calls
	Class         string // name of a Class
	Number        string // the called number; "": unknown
	PreferredPool int    // pool of first choice
	Pools         []int  // permitted pools, the preferred one first; nil: those of its class
	Deadline      Time   // time at which the caller abandons the call
	Reestablish   bool   // the call had been established and was interrupted
	Emergency     bool   // an emergency call; it has the same priority as a call to reestablish
}

// A ReportKind is the kind of an AttemptReport.
type ReportKind int

// Kinds of reports.
const (
	ReportEstablished ReportKind = iota // the attempt is answered and the call established
	ReportEnded                         // the attempt has ended with Result
	ReportAbandoned                     // the caller has hung up; only CallID is used
	ReportLoad                          // the server has reported its load; only Server and Load are used
)

// An AttemptReport reports the outcome of an attempt.
type AttemptReport struct {
	CallID, Server string
	Attempt        int // attempts of a call are numbered from 0
	Kind           ReportKind
	Result         AttemptResult
	Cause          FailureCause
	RetryAfter     time.Duration // retry-after time requested by a busy server; 0: none
	Elapsed        time.Duration // since the start of the attempt
	Load           LoadReport
	Final          bool // the call has ended and needs no further answer
}

// A DecisionKind is the kind of a Decision.
type DecisionKind int

// Kinds of decisions.
const (
	DecisionNone   DecisionKind = iota // do nothing for now; Tick may return a later decision on the call
	DecisionSend                       // send an attempt to Server, with Wait as its timeout
	DecisionReject                     // reject the call, with Wait as its retry-after time
	DecisionFail                       // fail the call, with Wait as its retry-after time
	DecisionCancel                     // cancel the open attempt
)

// A Decision tells the host what to do with one call.
type Decision struct {
	CallID  string
	Kind    DecisionKind
	Server  string        // for DecisionSend
	Attempt int           // for DecisionCancel
	Wait    time.Duration // for DecisionSend, DecisionReject and DecisionFail
	Reason  Reason        // for DecisionReject, DecisionFail and DecisionCancel
}

// NewEngine returns the Engine of a controller that starts at now. The seed initializes its random number generator,
// and log receives messages for the operators. The error wraps a *SettingsError.
func NewEngine(now Time, settings Settings, seed uint64, log func(string)) (*Engine, error) {
	machine, err := NewStateMachine(settings, seed)
	if err != nil {
		return nil, err
	}
	e := &Engine{machine: machine, log: log}
	e.apply(machine.Begin(now))
	return e, nil
}

// LatencyThreshold returns the setup time above which an answer is evidence of overload.
func (e *Engine) LatencyThreshold() time.Duration { return e.machine.latencyThreshold }

// SetOverloadControl sets the overload control that all later decisions consult.
func (e *Engine) SetOverloadControl(control OverloadControl) { e.machine.overloadControl = control }

// Place submits a call and returns the decision on it.
func (e *Engine) Place(now Time, r Request) Decision {
	return e.handle(now, r.CallID, CallOffered{
		CallID:        r.CallID,
		Class:         r.Class,
		Number:        r.Number,
		PreferredPool: r.PreferredPool,
		Pools:         r.Pools,
		Deadline:      r.Deadline,
		Reestablish:   r.Reestablish || r.Emergency,
	})
}

// Report records the outcome of an attempt and returns the resulting decision on its call.
func (e *Engine) Report(now Time, r AttemptReport) Decision {
	return e.handle(now, r.CallID, r.event())
}

// event converts the report to the corresponding event.
func (r AttemptReport) event() Event {
	switch r.Kind {
	case ReportEstablished:
		return CallEstablished{CallID: r.CallID, Server: r.Server, Attempt: r.Attempt, SetupTime: r.Elapsed}
	case ReportEnded:
		return AttemptEnded{
			CallID:     r.CallID,
			Server:     r.Server,
			Attempt:    r.Attempt,
			Result:     r.Result,
			Cause:      r.Cause,
			RetryAfter: r.RetryAfter,
			Elapsed:    r.Elapsed,
			Final:      r.Final,
			Load:       r.Load,
		}
	case ReportLoad:
		return LoadReported{Server: r.Server, OK: true, Load: r.Load}
	default:
		return CallAbandoned{CallID: r.CallID}
	}
}

// Tick fires the timers that are due. It returns the deferred decisions, then those that result from the timers.
func (e *Engine) Tick(now Time) []Decision {
	decisions := e.deferred
	e.deferred = nil
	for len(e.timers) > 0 && e.timers[0].At <= now {
		timer := heap.Pop(&e.timers).(SetTimer)
		decisions = append(decisions, e.apply(e.machine.Handle(now, TimerFired{Key: timer.Key}))...)
	}
	return decisions
}

// NextDeadline returns the time at which Tick is due; 0: immediately. There always is one, because the StateMachine
// always has a timer set for the end of its current period.
func (e *Engine) NextDeadline() Time {
	if len(e.deferred) > 0 || len(e.timers) == 0 {
		return 0
	}
	return e.timers[0].At
}

// UpdateServers updates the server list. If full, servers is the whole list, else only the servers that have changed.
func (e *Engine) UpdateServers(now Time, servers []Server, full bool) {
	update := ServersUpdated{Full: full, Cached: full, Servers: servers}
	e.deferred = append(e.deferred, e.apply(e.machine.Handle(now, update))...)
}

// handle applies an event, returns the first decision on the given call and defers all others.
func (e *Engine) handle(now Time, callID string, event Event) Decision {
	first := Decision{CallID: callID}
	for _, decision := range e.apply(e.machine.Handle(now, event)) {
		if decision.CallID == callID && first.Kind == DecisionNone {
			first = decision
		} else {
			e.deferred = append(e.deferred, decision)
		}
	}
	return first
}

// apply converts actions to decisions, sets timers, and forwards log messages and rate limit changes.
func (e *Engine) apply(actions []Action) (decisions []Decision) {
	decide := func(d Decision) { decisions = append(decisions, d) }
	for _, action := range actions {
		switch a := action.(type) {
		case SendAttempt:
			decide(Decision{CallID: a.CallID, Kind: DecisionSend, Server: a.Server, Wait: a.Timeout})
		case RejectCall:
			decide(Decision{CallID: a.CallID, Kind: DecisionReject, Wait: a.RetryAfter, Reason: a.Reason})
		case FailCall:
			decide(Decision{CallID: a.CallID, Kind: DecisionFail, Wait: a.RetryAfter, Reason: a.Reason})
		case CancelAttempt:
			decide(Decision{CallID: a.CallID, Kind: DecisionCancel, Attempt: a.Attempt, Reason: a.Reason})
		case SetTimer:
			heap.Push(&e.timers, a)
		case LogMessage:
			e.log(a.Text)
		case RateLimitChanged:
			if e.OnRateLimitChange != nil {
				e.OnRateLimitChange(a)
			}
		}
	}
	return decisions
}

// A timerHeap implements heap.Interface, ordered by the time at which the timers are due.
type timerHeap []SetTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].At < h[j].At }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(timer any) { *h = append(*h, timer.(SetTimer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	*h = (*h)[:last]
	return timer
}
