package soak

import (
	"fmt"
	"time"

	"olivedale/internal/sim/scenario"
)

// A FaultKind is the kind of a Fault. Its text is the value of the key "kind" in results.
type FaultKind int

// Kinds of faults. Target is the number of an exchange or of a controller.
const (
	// FaultVanish removes an exchange without closing its connections. After Duration a new process starts at its
	// address; with 0 none does.
	FaultVanish FaultKind = iota + 1
	// FaultPartition isolates an exchange from the network for Duration. Its established calls continue.
	FaultPartition
	// FaultHang stops an exchange's process for Duration. Its calls continue, and connections are still established.
	FaultHang
	// FaultCrash ends an exchange's process. A new one starts at its address after Duration.
	FaultCrash
	// FaultReplace starts a successor of an exchange, which drains for Duration and then ends.
	FaultReplace
	// FaultReset resets the connections to an exchange.
	FaultReset
	// FaultLateConnections leaves new connections to an exchange unanswered for Duration.
	FaultLateConnections
	// FaultMalformedAnswers makes a share of an exchange's answers malformed for Duration.
	FaultMalformedAnswers
	// FaultSilentDiscovery makes discovery ignore all queries for Duration.
	FaultSilentDiscovery
	// FaultReload moves the name service of a controller several times in quick succession, each time with a reload.
	FaultReload
	// FaultTerminate sends SIGTERM to a controller, and SIGKILL at the earliest time, and restarts it at once.
	FaultTerminate
	// FaultTerminateInReload sends SIGTERM to a controller right after several SIGHUPs, and restarts it.
	FaultTerminateInReload
	// FaultKill sends SIGKILL to a controller and restarts it at once.
	FaultKill
	// FaultBrokenReload replaces a controller's configuration with a broken one that names another address of
	// discovery, which does not answer, and sends SIGHUP. The seed selects what is broken. After Duration the valid
	// configuration is back, without a signal.
	FaultBrokenReload
	// FaultFull makes an exchange reset its connections and refuse others for Duration, as one does that holds as many
	// as it accepts. Its calls continue.
	FaultFull
	// FaultLoadSurge multiplies the call rate at all controllers for Duration.
	FaultLoadSurge
)

var faultNames = map[FaultKind]string{
	FaultVanish: "vanish", FaultPartition: "partition", FaultHang: "hang", FaultCrash: "crash",
	FaultReplace: "replace", FaultReset: "reset", FaultLateConnections: "late_connections",
	FaultMalformedAnswers: "spoil", FaultSilentDiscovery: "silent_discovery", FaultReload: "reload",
	FaultTerminate: "terminate", FaultTerminateInReload: "terminate_in_reload", FaultKill: "kill",
	FaultBrokenReload: "broken_reload", FaultLoadSurge: "crowd", FaultFull: "full",
}

// String returns the kind's name.
func (k FaultKind) String() string { return faultNames[k] }

// MarshalText implements encoding.TextMarshaler.
func (k FaultKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// A Fault is a fault that is injected at a given time.
type Fault struct {
	At       scenario.Duration `json:"at"` // since the first calls
	Kind     FaultKind         `json:"kind"`
	Target   int               `json:"target"`
	Duration scenario.Duration `json:"duration"`
}

// String formats the fault for the log.
func (f Fault) String() string {
	return fmt.Sprintf("%s %d for %v", f.Kind, f.Target, f.Duration.D())
}

// A Deployment is the size and the settings of the system under test.
type Deployment struct {
	Controllers int               `json:"controllers"`
	Exchanges   int               `json:"exchanges"`
	Classes     []string          `json:"classes"`
	Deadline    scenario.Duration `json:"deadline"`  // of all classes
	MeanHold    scenario.Duration `json:"mean_hold"` // of calls that exchanges release
	Rate        float64           `json:"rate"`      // calls a second at each controller
	MemoryMB    int               `json:"memory_mb"`
	Sockets     int               `json:"sockets"`
}

// CallerBehavior has the shares of callers that behave in a way that is hard for controllers.
type CallerBehavior struct {
	SlowWriters   float64 `json:"slow_writers"`  // write their set-up in chunks
	EarlyAbandons float64 `json:"early_leavers"` // abandon their call before its deadline
	ClosesAtOnce  float64 `json:"closes_at_once"`
	HasBadClients bool    `json:"bad"` // bad clients connect too
}

// A Plan is the deployment, the behavior of callers and the faults of a run.
type Plan struct {
	Seed        uint64            `json:"seed"`
	Combination string            `json:"combination"`
	Deployment  Deployment        `json:"deployment"`
	Callers     CallerBehavior    `json:"callers"`
	CallTime    scenario.Duration `json:"call_time"` // how long calls are generated
	Faults      []Fault           `json:"faults"`
}

// Settings that all plans share; times are in milliseconds.
const (
	retryGuardMS     = 300
	connectTimeoutMS = 500
	resendMS         = 500
	maxAttempts      = 4
	slowStartMS      = 2000
	slowStartShare   = 0.5
)

// latencyShare is the share of the deadline within which an answer has its full value.
const latencyShare = 0.3

// settings returns the settings in the configuration of a controller.
func (d *Deployment) settings(number int) map[string]any {
	var classes []map[string]any
	var lengths []int64
	for _, name := range d.Classes {
		classes = append(classes, map[string]any{
			"name": name, "aim": latencyShare * float64(d.Deadline.D().Milliseconds()),
			"deadline": d.Deadline.D().Milliseconds(), "credit": 1, "lateWorth": 0.2, "stream": true,
		})
		lengths = append(lengths, d.MeanHold.D().Milliseconds())
	}
	return map[string]any{
		"groupSize": d.Controllers,
		"myNumber":  number,
		"myZone":    zoneName,
		"classes":   classes,
		"domain": map[string]any{
			"topology": "pools", "releaseGuard": retryGuardMS, "resend": resendMS, "callLength": lengths,
		},
		"limits": map[string]any{
			"maxAttempts": maxAttempts, "cancel": true, "connectTimeout": connectTimeoutMS, "probes": false,
			"retryAfter": true, "maxRetryAfter": 2000,
		},
		"safety": map[string]any{
			"startCapacity": slowStartShare, "cold": slowStartMS, "drainGrace": 2000, "fallMultiple": 3,
		},
	}
}

// seconds converts seconds to a Duration.
func seconds(s float64) scenario.Duration { return scenario.Duration(s * float64(time.Second)) }
