package soak

import (
	"fmt"
	"time"

	"olivedale/internal/sim/scenario"
)

// A FaultKind says what goes wrong. Its text is the value of the key "kind" in results.
type FaultKind int

// Kinds of faults. Target is the number of an exchange or of a controller.
const (
	// FaultVanish makes an exchange vanish: for good, or until a new process starts after Duration at its address.
	FaultVanish FaultKind = iota + 1
	// FaultPartition cuts an exchange off for Duration; its calls stand.
	FaultPartition
	// FaultHang stops an exchange's process for Duration; its calls stand and connections come up.
	FaultHang
	// FaultCrash ends an exchange's process; a new one starts after Duration at its address.
	FaultCrash
	// FaultReplace starts another exchange, drains the target for Duration and ends it.
	FaultReplace
	// FaultReset resets the connections to an exchange.
	FaultReset
	// FaultLateConnections lets no connection to an exchange come up for Duration.
	FaultLateConnections
	// FaultSpoil spoils a share of an exchange's answers for Duration.
	FaultSpoil
	// FaultSilentDiscovery makes discovery ignore all queries for Duration.
	FaultSilentDiscovery
	// FaultReload moves the discovery of a controller several times in quick succession.
	FaultReload
	// FaultTerminate sends SIGTERM to a controller, and SIGKILL at the earliest time; it starts again at once.
	FaultTerminate
	// FaultTerminateInReload sends SIGTERM right behind several SIGHUPs.
	FaultTerminateInReload
	// FaultKill sends SIGKILL to a controller; it starts again at once.
	FaultKill
	// FaultCrowd makes the callers of all controllers call several times as often for Duration.
	FaultCrowd
)

var faultNames = map[FaultKind]string{
	FaultVanish: "vanish", FaultPartition: "partition", FaultHang: "hang", FaultCrash: "crash",
	FaultReplace: "replace", FaultReset: "reset", FaultLateConnections: "late_connections", FaultSpoil: "spoil",
	FaultSilentDiscovery: "silent_discovery", FaultReload: "reload", FaultTerminate: "terminate",
	FaultTerminateInReload: "terminate_in_reload", FaultKill: "kill", FaultCrowd: "crowd",
}

// String returns the kind's name.
func (k FaultKind) String() string { return faultNames[k] }

// MarshalText implements encoding.TextMarshaler.
func (k FaultKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// A Fault is one thing that goes wrong.
type Fault struct {
	At       scenario.Duration `json:"at"` // since calls began
	Kind     FaultKind         `json:"kind"`
	Target   int               `json:"target"`
	Duration scenario.Duration `json:"duration"`
}

// String formats the fault as a line of a log.
func (f Fault) String() string {
	return fmt.Sprintf("%s %d for %v", f.Kind, f.Target, f.Duration.D())
}

// A Deployment is the size and the settings of a trial.
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

// CallerHabits are shares of the callers that make it hard.
type CallerHabits struct {
	SlowWriters  float64 `json:"slow_writers"`  // write their set-up in pieces
	EarlyLeavers float64 `json:"early_leavers"` // give up before they are answered
	ClosesAtOnce float64 `json:"closes_at_once"`
	AreBad       bool    `json:"bad"` // bad clients come as well
}

// A Story is what happens in a trial.
type Story struct {
	Seed        uint64            `json:"seed"`
	Combination string            `json:"combination"`
	Deployment  Deployment        `json:"deployment"`
	Callers     CallerHabits      `json:"callers"`
	CallTime    scenario.Duration `json:"call_time"` // how long calls are made
	Faults      []Fault           `json:"faults"`
}

// Settings that all trials share; times in milliseconds.
const (
	retryGuardMS     = 300
	connectTimeoutMS = 500
	resendMS         = 500
	maxAttempts      = 4
	slowStartMS      = 2000
	slowStartShare   = 0.5
)

// latencyShare is the part of the deadline within which a call is worth all.
const latencyShare = 0.3

// settings returns the platform's settings of a controller.
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

// seconds converts to a Duration.
func seconds(s float64) scenario.Duration { return scenario.Duration(s * float64(time.Second)) }
