package simproto

import (
	"encoding/json"
	"fmt"
	"time"

	"olivedale/internal/admission"
)

// ms is a time in milliseconds in the settings.
type ms float64

// settings are the keys that are read; all others are ignored.
type settings struct {
	GroupSize int `json:"groupSize"`
	Classes   []struct {
		Name      string  `json:"name"`
		Aim       ms      `json:"aim"`
		Deadline  ms      `json:"deadline"`
		Credit    float64 `json:"credit"`
		LateWorth float64 `json:"lateWorth"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		Window    ms      `json:"dedupWindow"`
	} `json:"classes"`
	Discovery string `json:"discovery"`
	Domain    struct {
		ReleaseGuard ms      `json:"releaseGuard"`
		Resend       ms      `json:"resend"`
		SkilledPools [][]int `json:"skilledPools"`
		Topology     string  `json:"topology"`
	} `json:"domain"`
	Limits struct {
		Cancel      bool  `json:"cancel"`
		MaxAttempts int   `json:"maxAttempts"`
		RetryAfter  *bool `json:"retryAfter"` // absent: waits are told
	} `json:"limits"`
	Safety struct {
		Cold          ms      `json:"cold"`
		StartCapacity float64 `json:"startCapacity"`
		FallMultiple  float64 `json:"fallMultiple"`
	} `json:"safety"`
}

func (d *Decoder) start(r *row) *Item {
	s := &Start{Seed: value[uint64](r, 1, "seed")}
	in := value[settings](r, 2, "profileData")
	s.Settings = in.decode(func(field string, err error) { r.fail("profileData."+field, err) })
	return &Item{Start: s}
}

// ReadSettings decodes the settings object that START carries.
func ReadSettings(text []byte) (admission.Settings, error) {
	var in settings
	if err := json.Unmarshal(text, &in); err != nil {
		return admission.Settings{}, fmt.Errorf("settings: %w", err)
	}
	var first error
	s := in.decode(func(field string, err error) {
		if first == nil {
			first = fmt.Errorf("settings: %s: %w", field, err)
		}
	})
	return s, first
}

// decode makes the module's settings and calls fail for each value that can't be.
func (in *settings) decode(fail func(field string, err error)) admission.Settings {
	dur := func(v ms, field string) time.Duration {
		t, err := millis(float64(v))
		if err != nil {
			fail(field, err)
		}
		return t
	}
	s := admission.Settings{
		ControllerCount: in.GroupSize, Topology: in.Domain.Topology,
		WatchServersOnRequest: in.Discovery == "ask",
		MaxAttempts:           in.Limits.MaxAttempts, CanCancel: in.Limits.Cancel,
		OmitRetryAfter:  in.Limits.RetryAfter != nil && !*in.Limits.RetryAfter,
		ResendInterval:  dur(in.Domain.Resend, "domain.resend"),
		RetryGuard:      dur(in.Domain.ReleaseGuard, "domain.releaseGuard"),
		SlowStartPeriod: dur(in.Safety.Cold, "safety.cold"), SlowStartShare: in.Safety.StartCapacity, SlowStartFactor: in.Safety.FallMultiple,
	}
	for i, c := range in.Classes {
		class := admission.Class{Name: c.Name, LatencyObjective: dur(c.Aim, "classes.aim"),
			Deadline: dur(c.Deadline, "classes.deadline"), Weight: c.Credit, LateWeightFactor: c.LateWorth,
			Repeatability: effect(c.Effect), DeduplicationScope: scope(c.Group), DeduplicationWindow: dur(c.Window, "classes.dedupWindow")}
		if i < len(in.Domain.SkilledPools) {
			class.Pools = in.Domain.SkilledPools[i]
		}
		s.Classes = append(s.Classes, class)
	}
	return s
}

// effect reads what a repeat does. A word that is not known is taken for the strictest.
func effect(word string) admission.Repeatability {
	switch word {
	case "", "pure":
		return admission.Idempotent
	case "token":
		return admission.Deduplicated
	}
	return admission.NonRepeatable
}

// scope reads which servers know a repeat. A word that is not known is taken for the narrowest.
func scope(word string) admission.DeduplicationScope {
	switch word {
	case "all":
		return admission.ScopeFleet
	case "zone":
		return admission.ScopeZone
	}
	return admission.ScopePool
}
