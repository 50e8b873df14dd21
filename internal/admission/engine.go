package admission

import (
	"container/heap"
	"time"
)

// An Engine wraps a StateMachine for a host that prefers calls to events and actions: Place hands in a call, Report
// says what became of an attempt, Tick lets time pass. It keeps the timers and makes no decision.
// Like the StateMachine it is not safe for concurrent use.
type Engine struct {
	machine  *StateMachine
	timers   timerHeap
	deferred []Decision // about other calls than that of the method which caused them; Tick returns them
	log      func(string)
	// OnRateLimitChange, if not nil, is called for each change of a server's rate limit.
	OnRateLimitChange func(RateLimitChanged)
}

// A Request is a call to place.
type Request struct {
	CallID        string // unique among the open calls
	Class         string // name of a Class
	Number        string // the called number; "": unknown
	PreferredPool int    // the pool of first choice
	Pools         []int  // pools that the call may use, the preferred first; nil: those of its class
	Deadline      Time   // the caller abandons the call then
	Reestablish   bool   // the call was established before and was interrupted
	Emergency     bool   // an emergency call, which has the priority of a call to reestablish
}

// A ReportKind says what an AttemptReport is about.
type ReportKind int

// Kinds of reports.
const (
	ReportEstablished ReportKind = iota // the attempt is answered and the call established
	ReportEnded                         // the attempt has ended with Result
	ReportAbandoned                     // the caller has left; only CallID counts
	ReportLoad                          // the server has reported its load; only Server and Load count
)

// An AttemptReport says what became of an attempt.
type AttemptReport struct {
	CallID, Server string
	Attempt        int // number of the attempt; the first of a call is 0
	Kind           ReportKind
	Result         AttemptResult
	Cause          FailureCause
	RetryAfter     time.Duration // retry-after time that a busy server asks for; 0: none
	Elapsed        time.Duration // since the start of the attempt
	Load           LoadReport
	Final          bool // the call has ended and needs no answer
}

// A DecisionKind says what to do with a call.
type DecisionKind int

// Kinds of decisions.
const (
	DecisionNone   DecisionKind = iota // nothing now; the call stays open, and Tick may return a decision on it
	DecisionSend                       // start an attempt at Server that times out after Wait
	DecisionReject                     // reject the call, with Wait as its retry-after time
	DecisionFail                       // fail the call, with Wait as its retry-after time
	DecisionCancel                     // cancel the open attempt
)

// A Decision says what to do with one call.
type Decision struct {
	CallID  string
	Kind    DecisionKind
	Server  string        // of Send
	Attempt int           // of Cancel
	Wait    time.Duration // of Send, Reject and Fail
	Reason  Reason        // of Reject, Fail and Cancel
}

// NewEngine returns the Engine of a controller that starts. The seed fixes its random draws. Messages for the
// operators go to log. The error wraps a *SettingsError.
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

// SetOverloadControl makes the decisions depend on an overload control from now on.
func (e *Engine) SetOverloadControl(control OverloadControl) { e.machine.overloadControl = control }

// Place hands in a call and returns the decision on it.
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

// Report records what became of an attempt and returns the decision that follows for its call.
func (e *Engine) Report(now Time, r AttemptReport) Decision {
	return e.handle(now, r.CallID, r.event())
}

// event returns the event that a report stands for.
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

// Tick fires the timers that are due and returns the decisions that follow, after those deferred before.
func (e *Engine) Tick(now Time) []Decision {
	decisions := e.deferred
	e.deferred = nil
	for len(e.timers) > 0 && e.timers[0].At <= now {
		timer := heap.Pop(&e.timers).(SetTimer)
		decisions = append(decisions, e.apply(e.machine.Handle(now, TimerFired{Key: timer.Key}))...)
	}
	return decisions
}

// NextDeadline returns the time at which Tick is due; 0: at once. There always is one, as the StateMachine's
// periods do not end.
func (e *Engine) NextDeadline() Time {
	if len(e.deferred) > 0 || len(e.timers) == 0 {
		return 0
	}
	return e.timers[0].At
}

// UpdateServers brings the server list: all of it if full, else the servers that have changed.
func (e *Engine) UpdateServers(now Time, servers []Server, full bool) {
	update := ServersUpdated{Full: full, Cached: full, Servers: servers}
	e.deferred = append(e.deferred, e.apply(e.machine.Handle(now, update))...)
}

// handle applies an event about a call, returns the first decision on that call and defers all others.
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

// apply returns the decisions among actions, sets timers, and passes on log messages and changes of rate limits.
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

// A timerHeap is a container/heap of timers, the next one first.
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
