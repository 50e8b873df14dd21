package admission

import (
	"fmt"
	"time"
)

// topologyPools is the only Settings.Topology that is supported.
const topologyPools = "pools"

// Settings describe a deployment to one of its controllers. They do not change while it runs.
type Settings struct {
	// ControllerCount is the number of controllers that share the servers, this one included; at least 1.
	ControllerCount int
	// Topology says how controllers and servers are connected. It must be "pools": all controllers share all servers.
	Topology string
	// Classes are the classes of calls, at least one. Those of the highest Weight have priority.
	Classes []Class
	// MaxAttempts is the number of attempts that a call may have; at least 1.
	MaxAttempts int
	// CanCancel says that the host can carry out CancelAttempt. If false, there is no such action.
	CanCancel bool
	// OmitRetryAfter makes all retry-after times 0, which means that callers get no advice.
	OmitRetryAfter bool
	// WatchServersOnRequest says that the host sends ServersUpdated only after WatchServers.
	WatchServersOnRequest bool
	// ResendInterval is the time after which the signaling repeats an unanswered setup; 0: it does not. The
	// latency threshold is not longer.
	ResendInterval time.Duration
	// RetryGuard is the time between an attempt that may still be running and the next one; 0: none.
	RetryGuard time.Duration
	// SlowStartPeriod is the age at which a started server has its full capacity; 0: it has it at once.
	SlowStartPeriod time.Duration
	// SlowStartShare is the share of its capacity, from 0 to 1, that a server has when it starts.
	SlowStartShare float64
	// SlowStartFactor limits what all controllers together may send a server in slow start, as a multiple of its
	// capacity at that age; 0: not specified.
	SlowStartFactor float64
}

// RetryAfter returns the retry-after time to tell a caller: 0, no advice, if OmitRetryAfter is set, else wait.
func (s Settings) RetryAfter(wait time.Duration) time.Duration {
	if s.OmitRetryAfter {
		return 0
	}
	return wait
}

// A SettingsError says what is wrong with Settings. NewStateMachine and NewEngine return it wrapped.
type SettingsError struct {
	Field   string // name of the field of Settings
	Problem string
}

// Error returns the problem, which names the setting.
func (e *SettingsError) Error() string { return e.Problem }

func settingsError(field, format string, args ...any) error {
	return &SettingsError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// validate returns a *SettingsError for the first setting that is out of range.
func (s Settings) validate() error {
	const countsProblem = "group size %d or max attempts %d is below 1"
	switch {
	case s.Topology != topologyPools:
		return settingsError("Topology", "topology %q is not supported", s.Topology)
	case len(s.Classes) == 0:
		return settingsError("Classes", "no classes")
	case s.ControllerCount < 1:
		return settingsError("ControllerCount", countsProblem, s.ControllerCount, s.MaxAttempts)
	case s.MaxAttempts < 1:
		return settingsError("MaxAttempts", countsProblem, s.ControllerCount, s.MaxAttempts)
	}
	if err := s.validateSlowStartAndTimes(); err != nil {
		return err
	}
	for _, class := range s.Classes {
		if err := class.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (s Settings) validateSlowStartAndTimes() error {
	const negativeProblem = "a time is negative"
	switch {
	case s.ResendInterval < 0:
		return settingsError("ResendInterval", negativeProblem)
	case s.RetryGuard < 0:
		return settingsError("RetryGuard", negativeProblem)
	case s.SlowStartPeriod < 0:
		return settingsError("SlowStartPeriod", negativeProblem)
	}
	isShare := s.SlowStartShare >= 0 && s.SlowStartShare <= 1 // false for NaN
	if !isShare {
		return settingsError("SlowStartShare", "start share %v is not within 0 and 1", s.SlowStartShare)
	}
	return nil
}

// A Class is a class of calls.
type Class struct {
	Name                string
	LatencyObjective    time.Duration // a call established within this time has its full weight; above 0
	Deadline            time.Duration // callers abandon the call for good after this; at least LatencyObjective
	Weight              float64       // value of a call relative to other classes; not negative
	LateWeightFactor    float64       // share of Weight that a call established late has
	Pools               []int         // pools that can take calls of the class; nil: all
	Repeatability       Repeatability
	DeduplicationScope  DeduplicationScope // for Deduplicated: the servers that recognize a repeat
	DeduplicationWindow time.Duration      // for Deduplicated: how long they do, from the first send that may have run
}

func (c Class) validate() error {
	hasWeight := c.Weight >= 0 // false for NaN
	if c.LatencyObjective > 0 && c.Deadline >= c.LatencyObjective && hasWeight {
		return nil
	}
	return settingsError("Classes", "class %q: aim %v, deadline %v, credit %v",
		c.Name, c.LatencyObjective, c.Deadline, c.Weight)
}

// isRepeatableEverywhere reports whether a caller may repeat a call of the class that may have run.
func (c Class) isRepeatableEverywhere() bool {
	return c.Repeatability != NonRepeatable && c.DeduplicationScope == ScopeFleet
}

// A Repeatability says what happens if a call runs twice.
type Repeatability int

// Values of Repeatability. They matter for calls that may have run (see AttemptResult.MayHaveRun) without success.
const (
	// Idempotent calls may be repeated at any server.
	Idempotent Repeatability = iota
	// Deduplicated calls are repeated only at servers within the DeduplicationScope, which discard the repeat,
	// and only within the DeduplicationWindow.
	Deduplicated
	// NonRepeatable calls are not repeated, and fail instead of being rejected.
	NonRepeatable
)

// A DeduplicationScope is the set of servers that recognize the repeat of a call that one of them may have run.
type DeduplicationScope int

// Values of DeduplicationScope.
const (
	ScopeFleet DeduplicationScope = iota // all servers
	ScopeZone                            // those of the same zone
	ScopePool                            // those of the same pool
)

// includes reports whether two servers recognize each other's repeats.
func (d DeduplicationScope) includes(a, b Server) bool {
	switch d {
	case ScopeFleet:
		return true
	case ScopeZone:
		return a.Zone == b.Zone
	case ScopePool:
		return a.Pool == b.Pool
	default:
		return false
	}
}
