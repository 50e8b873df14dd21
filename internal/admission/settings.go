package admission

import (
	"fmt"
	"time"
)

// topologyPools is the only Settings.Topology that is supported.
const topologyPools = "pools"

// Settings describe the deployment that a controller is part of. They do not change while it runs.
type Settings struct {
	// ControllerCount is the number of controllers that share the servers, including this one; at least 1.
	ControllerCount int
	// Topology is the way in which controllers and servers are connected. It must be "pools", which means that all
	// controllers share all servers.
	Topology string
	// Classes are the classes of calls; at least one. Calls of those with the highest Weight have priority.
	Classes []Class
	// MaxAttempts is the maximum number of attempts per call; at least 1.
	MaxAttempts int
	// CanCancel means that the host supports CancelAttempt. If false, that action is never returned.
	CanCancel bool
	// OmitRetryAfter sets all retry-after times to 0, so that callers receive none.
	OmitRetryAfter bool
	// WatchServersOnRequest means that the host sends ServersUpdated only after WatchServers.
	WatchServersOnRequest bool
	// ResendInterval is the time after which the signaling protocol retransmits an unanswered setup; 0: never. It is
	// an upper bound on the latency threshold.
	ResendInterval time.Duration
	// RetryGuard is the delay between an attempt that may still be running and the next one; 0: none.
	RetryGuard time.Duration
	// SlowStartPeriod is the time after its start in which a server reaches its full capacity; 0: immediately.
	SlowStartPeriod time.Duration
	// SlowStartShare is the share of its capacity, from 0 to 1, that a server has when it starts.
	SlowStartShare float64
	// SlowStartFactor limits the attempts that all controllers together may send to a server in slow start, as a
	// multiple of its capacity at that age; 0: not specified.
	SlowStartFactor float64
}

// RetryAfter returns the retry-after time to send to a caller: 0 (none) if OmitRetryAfter is set, else wait.
func (s Settings) RetryAfter(wait time.Duration) time.Duration {
	if s.OmitRetryAfter {
		return 0
	}
	return wait
}

// A SettingsError describes an invalid setting. Validate returns it; NewStateMachine and NewEngine return it wrapped.
type SettingsError struct {
	Field   string // name of the field of Settings
	Problem string
}

// Error returns the description of the problem.
func (e *SettingsError) Error() string { return e.Problem }

func newSettingsError(field, format string, args ...any) error {
	return &SettingsError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Validate returns a *SettingsError for the first invalid setting.
func (s Settings) Validate() error {
	const countsProblem = "group size %d and max attempts %d must be at least 1"
	switch {
	case s.Topology != topologyPools:
		return newSettingsError("Topology", "topology %q is not supported", s.Topology)
	case len(s.Classes) == 0:
		return newSettingsError("Classes", "no classes are configured")
	case s.ControllerCount < 1:
		return newSettingsError("ControllerCount", countsProblem, s.ControllerCount, s.MaxAttempts)
	case s.MaxAttempts < 1:
		return newSettingsError("MaxAttempts", countsProblem, s.ControllerCount, s.MaxAttempts)
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
	const negativeProblem = "a duration is negative"
	switch {
	case s.ResendInterval < 0:
		return newSettingsError("ResendInterval", negativeProblem)
	case s.RetryGuard < 0:
		return newSettingsError("RetryGuard", negativeProblem)
	case s.SlowStartPeriod < 0:
		return newSettingsError("SlowStartPeriod", negativeProblem)
	}
	isShare := s.SlowStartShare >= 0 && s.SlowStartShare <= 1 // false for NaN
	if !isShare {
		return newSettingsError("SlowStartShare", "start share %v must be between 0 and 1", s.SlowStartShare)
	}
	return nil
}

// A Class is a class of calls.
type Class struct {
	Name                string
	LatencyObjective    time.Duration // calls established within this time have their full weight; positive
	Deadline            time.Duration // time after which callers give up the call for good; at least LatencyObjective
	Weight              float64       // value of a call relative to that of other classes; not negative
	LateWeightFactor    float64       // share of Weight of calls that are established late
	Pools               []int         // pools that accept calls of the class; nil: all
	Repeatability       Repeatability
	DeduplicationScope  DeduplicationScope // for Deduplicated: the servers that recognize a repeat
	DeduplicationWindow time.Duration      // for Deduplicated: for how long, from the start of the first such attempt
}

func (c Class) validate() error {
	hasWeight := c.Weight >= 0 // false for NaN
	if c.LatencyObjective > 0 && c.Deadline >= c.LatencyObjective && hasWeight {
		return nil
	}
	return newSettingsError("Classes", "class %q: want 0 < aim (%v) <= deadline (%v) and credit (%v) >= 0",
		c.Name, c.LatencyObjective, c.Deadline, c.Weight)
}

// isRepeatableEverywhere reports whether a caller may repeat a call of the class that may have run.
func (c Class) isRepeatableEverywhere() bool {
	return c.Repeatability != NonRepeatable && c.DeduplicationScope == ScopeFleet
}

// A Repeatability says whether a call that may have run may be repeated.
type Repeatability int

// Values of Repeatability. They apply to unsuccessful calls that may have run (see AttemptResult.MayHaveRun).
const (
	// Idempotent calls may be repeated at any server.
	Idempotent Repeatability = iota
	// Deduplicated calls are repeated only at servers within the DeduplicationScope, which discard the repeat,
	// and only within the DeduplicationWindow.
	Deduplicated
	// NonRepeatable calls are not repeated; they fail instead of being rejected.
	NonRepeatable
)

// A DeduplicationScope is the set of servers that recognize the repeat of a call that one of them may have run.
type DeduplicationScope int

// Values of DeduplicationScope.
const (
	ScopeFleet DeduplicationScope = iota // all servers
	ScopeZone                            // servers in the same zone
	ScopePool                            // servers in the same pool
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
