package server

import (
	"time"

	"olivedale/internal/admission"
)

// settingsRecord is the stored form of the active settings. Its printed text and the digest of that text are written to
// the record log, so the names and the order of the fields must never change, even if the fields of admission.Settings
// are renamed.
type settingsRecord struct {
	GroupSize   int
	Topology    string
	Classes     []classRecord
	MaxAttempts int
	MayCancel   bool
	NoWait      bool
	AskList     bool
	Resend      time.Duration
	Release     time.Duration
	Cold        time.Duration
	Start       float64
	Multiple    float64
}

// classRecord is the stored form of one class in a settingsRecord. The same restriction applies.
type classRecord struct {
	Name      string
	Aim       time.Duration
	Deadline  time.Duration
	Credit    float64
	LateWorth float64
	Pools     []int
	Effect    int
	Scope     int
	Window    time.Duration
}

// newSettingsRecord converts the settings to their stored form.
func newSettingsRecord(s admission.Settings) settingsRecord {
	r := settingsRecord{
		GroupSize:   s.ControllerCount,
		Topology:    s.Topology,
		MaxAttempts: s.MaxAttempts,
		MayCancel:   s.CanCancel,
		NoWait:      s.OmitRetryAfter,
		AskList:     s.WatchServersOnRequest,
		Resend:      s.ResendInterval,
		Release:     s.RetryGuard,
		Cold:        s.SlowStartPeriod,
		Start:       s.SlowStartShare,
		Multiple:    s.SlowStartFactor,
	}
	for _, c := range s.Classes {
		r.Classes = append(r.Classes, classRecord{
			Name:      c.Name,
			Aim:       c.LatencyObjective,
			Deadline:  c.Deadline,
			Credit:    c.Weight,
			LateWorth: c.LateWeightFactor,
			Pools:     c.Pools,
			Effect:    int(c.Repeatability),
			Scope:     int(c.DeduplicationScope),
			Window:    c.DeduplicationWindow,
		})
	}
	return r
}
