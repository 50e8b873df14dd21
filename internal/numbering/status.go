package numbering

import "slices"

// Values of VersionStatus.State, as printed by olivectl.
const (
	StateActive    = "in force"
	StatePrevious  = "before"  // active before the current one; Rollback activates it
	StateScheduled = "waiting" // to be activated at VersionStatus.ScheduledAt
	StateLoaded    = "loaded"
)

// VersionStatus describes a loaded version. Its JSON names are part of the interface of olivectl.
type VersionStatus struct {
	Digest      string `json:"Digest"`
	Name        string `json:"Name"`
	State       string `json:"State"`
	Prefixes    int    `json:"Entries"` // number of prefixes of the table
	Calls       int    `json:"Pins"`    // number of calls that use the version
	LoadedAt    Time   `json:"Loaded"`
	ActivatedAt Time   `json:"Since"` // time of the last activation; 0: never active
	ScheduledAt Time   `json:"Due"`   // time of the scheduled activation, if State is StateScheduled
}

// List returns the status of all versions, the last loaded first.
func (r *Registry) List() []VersionStatus {
	var all []VersionStatus
	for _, v := range slices.Backward(r.versions) {
		all = append(all, r.status(v))
	}
	return all
}

func (r *Registry) status(v *version) VersionStatus {
	s := VersionStatus{
		Digest:      v.digest(),
		Name:        v.table.Version,
		State:       StateLoaded,
		Prefixes:    v.table.PrefixCount(),
		Calls:       v.refCount,
		LoadedAt:    v.loadedAt,
		ActivatedAt: v.activatedAt,
	}
	switch v {
	case r.active:
		s.State = StateActive
	case r.scheduled:
		s.State = StateScheduled
		s.ScheduledAt = r.scheduledAt
	case r.previous:
		s.State = StatePrevious
	}
	return s
}
