package numbering

import "slices"

// States of a version, as printed by olivectl.
const (
	StateActive    = "in force"
	StatePrevious  = "before"  // active before; Rollback activates it
	StateScheduled = "waiting" // scheduled to be activated at Status.Due
	StateLoaded    = "loaded"
)

// VersionStatus is the state of one loaded version. Its JSON names are an interface of olivectl.
type VersionStatus struct {
	Digest      string `json:"Digest"`
	Name        string `json:"Name"`
	State       string `json:"State"`
	Prefixes    int    `json:"Entries"` // prefixes of the table
	Calls       int    `json:"Pins"`    // calls that use the version
	LoadedAt    Time   `json:"Loaded"`
	ActivatedAt Time   `json:"Since"` // last activation; 0: it has never been active
	ScheduledAt Time   `json:"Due"`   // scheduled activation, if State is Waiting
}

// List returns the states of all versions, the last loaded first.
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
		Calls:       v.pins,
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
