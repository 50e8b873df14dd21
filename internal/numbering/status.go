package numbering

import "slices"

// States of a version, as printed by olivectl.
const (
	InForce       = "in force"
	StatePrevious = "before"  // active before; Rollback activates it
	Waiting       = "waiting" // scheduled to be activated at Status.Due
	Loaded        = "loaded"
)

// Status is the state of one loaded version. Its JSON names are an interface of olivectl.
type Status struct {
	Digest  string `json:"Digest"`
	Name    string `json:"Name"`
	State   string `json:"State"`
	Entries int    `json:"Entries"` // prefixes of the table
	Pins    int    `json:"Pins"`    // calls that use the version
	Loaded  Time   `json:"Loaded"`
	Since   Time   `json:"Since"` // last activation; 0: it has never been active
	Due     Time   `json:"Due"`   // scheduled activation, if State is Waiting
}

// List returns the states of all versions, the last loaded first.
func (r *Registry) List() []Status {
	var all []Status
	for _, v := range slices.Backward(r.versions) {
		all = append(all, r.status(v))
	}
	return all
}

func (r *Registry) status(v *version) Status {
	s := Status{
		Digest:  v.digest(),
		Name:    v.table.Version,
		State:   Loaded,
		Entries: v.table.Entries(),
		Pins:    v.pins,
		Loaded:  v.loadedAt,
		Since:   v.activatedAt,
	}
	switch v {
	case r.active:
		s.State = InForce
	case r.scheduled:
		s.State = Waiting
		s.Due = r.scheduledAt
	case r.previous:
		s.State = StatePrevious
	}
	return s
}
