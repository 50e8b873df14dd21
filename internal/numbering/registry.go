package numbering

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// maxVersions bounds the tables that are loaded at once.
const maxVersions = 8

// Errors of a Registry.
var (
	// ErrVersionConflict tells that another version has come into force, or is about to, since the operator
	// looked: of two who activate at once, one wins and the other gets this.
	ErrVersionConflict = errors.New("the version in force is not the one you saw")
	// ErrUnknownVersion tells that no version of that digest is loaded.
	ErrUnknownVersion = errors.New("no such version is loaded")
	// ErrTooManyVersions tells that all places are taken by versions that calls hold or that may be needed.
	ErrTooManyVersions = errors.New("no room for another version")
	// ErrNoPrevious tells that there is nothing to go back to.
	ErrNoPrevious = errors.New("there was no other version in force")
)

// A Registry keeps the versions of a table: which are loaded, which is in force, which comes into
// force when, and how many calls hold which. It is a pure state machine for one goroutine; the zero
// value has no version, and Pin gives none.
type Registry struct {
	all    []*version
	active *version
	before *version // in force before it; kept for a rollback
	next   *version // to come into force at due
	due    Time
	serial uint64
}

type version struct {
	table  *Table
	serial uint64
	loaded Time
	since  Time // in force since, 0: never was
	pins   int
}

// A Pin is one call's hold on one version. Whatever comes into force meanwhile, the call's table
// stays. The nil Pin holds none.
type Pin struct{ v *version }

// Table is the one that is held; nil if none is.
func (p *Pin) Table() *Table {
	if p == nil || p.v == nil {
		return nil
	}
	return p.v.table
}

// Release ends the hold. A second Release does nothing: it must not free what another call holds.
func (p *Pin) Release() {
	if p != nil && p.v != nil {
		p.v.pins--
		p.v = nil
	}
}

// Pin holds the version in force; nil if there is none.
func (r *Registry) Pin() *Pin {
	if r.active == nil {
		return nil
	}
	r.active.pins++
	return &Pin{r.active}
}

// Active is the table in force, nil if there is none.
func (r *Registry) Active() *Table {
	if r.active == nil {
		return nil
	}
	return r.active.table
}

func (r *Registry) find(digest string) *version {
	if i := slices.IndexFunc(r.all, func(v *version) bool { return v.table.Digest() == digest }); i >= 0 {
		return r.all[i]
	}
	return nil
}

// Load takes a compiled table and puts nothing in force. A table that is loaded already is not
// loaded twice. Where there is no room the oldest that nobody holds or needs gives way.
func (r *Registry) Load(now Time, t *Table) error {
	if v := r.find(t.Digest()); v != nil {
		return nil
	}
	if len(r.all) >= maxVersions && !r.evict() {
		return fmt.Errorf("%w: %d are loaded, all in use", ErrTooManyVersions, len(r.all))
	}
	r.serial++
	r.all = append(r.all, &version{table: t, serial: r.serial, loaded: now})
	return nil
}

// evict lets the oldest version go that nobody holds or needs.
func (r *Registry) evict() bool {
	for i, v := range r.all {
		if v.pins == 0 && v != r.active && v != r.before && v != r.next {
			r.all = slices.Delete(r.all, i, i+1)
			return true
		}
	}
	return false
}

// Activate puts a loaded version in force, at once or at a later time. saw is the digest of the
// version that the operator saw in force, "" for none. Another activation that waits is an ErrStale
// too, unless it is of the same version: then its time is changed.
func (r *Registry) Activate(now Time, digest, saw string, at Time) error {
	v := r.find(digest)
	switch {
	case v == nil:
		return fmt.Errorf("%w: %s", ErrUnknownVersion, digest)
	case r.digest(r.active) != saw:
		return fmt.Errorf("%w: %s is in force", ErrVersionConflict, cmp.Or(r.digest(r.active), "none"))
	case r.next != nil && r.next != v:
		return fmt.Errorf("%w: %s is to come into force; cancel that first", ErrVersionConflict, r.digest(r.next))
	}
	if at > now {
		r.next, r.due = v, at
		return nil
	}
	r.put(now, v)
	return nil
}

// Cancel drops an activation that waits.
func (r *Registry) Cancel() { r.next = nil }

// Rollback puts the version in force that was before; saw as for Activate.
func (r *Registry) Rollback(now Time, saw string) error {
	switch {
	case r.digest(r.active) != saw:
		return fmt.Errorf("%w: %s is in force", ErrVersionConflict, cmp.Or(r.digest(r.active), "none"))
	case r.before == nil:
		return ErrNoPrevious
	}
	r.put(now, r.before)
	return nil
}

// put makes a version the one in force. What waits was asked for over another and is dropped.
func (r *Registry) put(now Time, v *version) {
	r.next = nil
	if v == r.active {
		return
	}
	r.before, r.active = r.active, v
	v.since = now
}

// Tick puts in force what is due, and tells whether something was.
func (r *Registry) Tick(now Time) bool {
	if r.next == nil || now < r.due {
		return false
	}
	r.put(now, r.next)
	return true
}

// Next is when Tick is due.
func (r *Registry) Next() Time {
	if r.next == nil {
		return math.MaxInt64
	}
	return r.due
}

func (*Registry) digest(v *version) string {
	if v == nil {
		return ""
	}
	return v.table.Digest()
}

// States of a version.
const (
	InForce  = "in force"
	Previous = "before"  // Rollback leads there
	Waiting  = "waiting" // comes into force at Due
	Loaded   = "loaded"
)

// Status is the state of one loaded version. Its JSON names are an interface of olivectl and stay.
type Status struct {
	Digest  string `json:"Digest"`
	Name    string `json:"Name"`
	State   string `json:"State"`
	Entries int    `json:"Entries"` // prefixes of the table
	Pins    int    `json:"Pins"`    // calls that use the version
	Loaded  Time   `json:"Loaded"`
	Since   Time   `json:"Since"` // in force since; 0: it has never been in force
	Due     Time   `json:"Due"`   // of a waiting version
}

// List tells of all versions, the last loaded first.
func (r *Registry) List() []Status {
	var all []Status
	for _, v := range slices.Backward(r.all) {
		s := Status{Digest: v.table.Digest(), Name: v.table.Version, Entries: v.table.Entries(), Pins: v.pins, Loaded: v.loaded, Since: v.since, State: Loaded}
		switch v {
		case r.active:
			s.State = InForce
		case r.next:
			s.State, s.Due = Waiting, r.due
		case r.before:
			s.State = Previous
		}
		all = append(all, s)
	}
	return all
}
