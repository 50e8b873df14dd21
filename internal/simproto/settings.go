package simproto

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"olivedale/internal/admission"
)

// Keys of the settings and the fields of admission.Settings that they fill. Keys that are not listed are ignored.
// Times are in milliseconds.
//
//	key                   Go field
//	groupSize             ControllerCount
//	discovery             WatchServersOnRequest ("ask": true)
//	domain.topology       Topology
//	domain.resend         ResendInterval
//	domain.releaseGuard   RetryGuard
//	domain.skilledPools   Classes[i].Pools, in the order of the classes
//	limits.cancel         CanCancel
//	limits.maxAttempts    MaxAttempts
//	limits.retryAfter     OmitRetryAfter (false: omit)
//	safety.cold           SlowStartPeriod
//	safety.startCapacity  SlowStartShare
//	safety.fallMultiple   SlowStartFactor
//	classes.name          Class.Name
//	classes.aim           Class.LatencyObjective
//	classes.deadline      Class.Deadline
//	classes.credit        Class.Weight
//	classes.lateWorth     Class.LateWeightFactor
//	classes.effect        Class.Repeatability
//	classes.group         Class.DeduplicationScope
//	classes.dedupWindow   Class.DeduplicationWindow

// milliseconds is a duration in the settings.
type milliseconds float64

// settings is the JSON form of the settings.
type settings struct {
	GroupSize int             `json:"groupSize"`
	Classes   []classSettings `json:"classes"`
	Discovery string          `json:"discovery"`
	Domain    domainSettings  `json:"domain"`
	Limits    limitSettings   `json:"limits"`
	Safety    safetySettings  `json:"safety"`
}

type classSettings struct {
	Name             string       `json:"name"`
	LatencyObjective milliseconds `json:"aim"`
	Deadline         milliseconds `json:"deadline"`
	Weight           float64      `json:"credit"`
	LateWeightFactor float64      `json:"lateWorth"`
	Effect           string       `json:"effect"`
	Group            string       `json:"group"`
	Window           milliseconds `json:"dedupWindow"`
}

type domainSettings struct {
	ReleaseGuard milliseconds `json:"releaseGuard"`
	Resend       milliseconds `json:"resend"`
	SkilledPools [][]int      `json:"skilledPools"`
	Topology     string       `json:"topology"`
}

type limitSettings struct {
	Cancel      bool  `json:"cancel"`
	MaxAttempts int   `json:"maxAttempts"`
	RetryAfter  *bool `json:"retryAfter"` // nil: true
}

type safetySettings struct {
	Cold          milliseconds `json:"cold"`
	StartCapacity float64      `json:"startCapacity"`
	FallMultiple  float64      `json:"fallMultiple"`
}

// discoveryOnRequest is the value of the key discovery if servers are announced only on request.
const discoveryOnRequest = "ask"

// readStart reads seed, profileData.
func readStart(_ *Decoder, r *row) *Item {
	start := &Start{Seed: value[uint64](r, 1, "seed")}
	in := value[settings](r, 2, "profileData")
	var err error
	start.Settings, err = in.convert()
	var fieldError *FieldError
	if errors.As(err, &fieldError) {
		r.fail("profileData."+fieldError.Field, fieldError.Err)
	}
	return &Item{Start: start}
}

// ReadSettings decodes the settings object of a START row. Its errors name the key.
func ReadSettings(text []byte) (admission.Settings, error) {
	var in settings
	if err := json.Unmarshal(text, &in); err != nil {
		return admission.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return in.convert()
}

// A durationReader converts the durations of settings and keeps the first error.
type durationReader struct{ err error }

func (d *durationReader) read(v milliseconds, key string) time.Duration {
	duration, err := fromMilliseconds(float64(v))
	if err != nil && d.err == nil {
		d.err = &FieldError{Row: "settings", Field: key, Err: err}
	}
	return duration
}

// convert returns the settings for the decision module. An error is a FieldError.
func (in *settings) convert() (admission.Settings, error) {
	var durations durationReader
	s := admission.Settings{
		ControllerCount:       in.GroupSize,
		Topology:              in.Domain.Topology,
		WatchServersOnRequest: in.Discovery == discoveryOnRequest,
		MaxAttempts:           in.Limits.MaxAttempts,
		CanCancel:             in.Limits.Cancel,
		OmitRetryAfter:        in.Limits.RetryAfter != nil && !*in.Limits.RetryAfter,
		ResendInterval:        durations.read(in.Domain.Resend, "domain.resend"),
		RetryGuard:            durations.read(in.Domain.ReleaseGuard, "domain.releaseGuard"),
		SlowStartPeriod:       durations.read(in.Safety.Cold, "safety.cold"),
		SlowStartShare:        in.Safety.StartCapacity,
		SlowStartFactor:       in.Safety.FallMultiple,
	}
	for i := range in.Classes {
		class := in.Classes[i].convert(&durations)
		if i < len(in.Domain.SkilledPools) {
			class.Pools = in.Domain.SkilledPools[i]
		}
		s.Classes = append(s.Classes, class)
	}
	return s, durations.err
}

func (in *classSettings) convert(durations *durationReader) admission.Class {
	return admission.Class{
		Name:                in.Name,
		LatencyObjective:    durations.read(in.LatencyObjective, "classes.aim"),
		Deadline:            durations.read(in.Deadline, "classes.deadline"),
		Weight:              in.Weight,
		LateWeightFactor:    in.LateWeightFactor,
		Repeatability:       repeatability(in.Effect),
		DeduplicationScope:  deduplicationScope(in.Group),
		DeduplicationWindow: durations.read(in.Window, "classes.dedupWindow"),
	}
}

// repeatability converts classes.effect. An unknown value counts as the strictest one.
func repeatability(effect string) admission.Repeatability {
	switch effect {
	case "", "pure":
		return admission.Idempotent
	case "token":
		return admission.Deduplicated
	}
	return admission.NonRepeatable
}

// deduplicationScope converts classes.group. An unknown value counts as the narrowest one.
func deduplicationScope(group string) admission.DeduplicationScope {
	switch group {
	case "all":
		return admission.ScopeFleet
	case "zone":
		return admission.ScopeZone
	}
	return admission.ScopePool
}
