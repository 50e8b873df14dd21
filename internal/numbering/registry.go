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
	// ErrVersionConflict means that another version has become active, or has been scheduled, since the operator
	// looked: of two operators who activate at the same time, one gets this error.
	ErrVersionConflict = errors.New("the version in force is not the one you saw")
	// ErrUnknownVersion means that no version with the digest is loaded.
	ErrUnknownVersion = errors.New("no such version is loaded")
	// ErrTooManyVersions means that all loaded versions are in use or may be needed.
	ErrTooManyVersions = errors.New("no room for another version")
	// ErrNoPrevious means that there is no version to roll back to.
	ErrNoPrevious = errors.New("there was no other version in force")
)

// Registry keeps the versions of a table: which are loaded, which is active, which is scheduled, and how many calls use
// each. It is a state machine without I/O for one goroutine. The zero value has no versions.
type Registry struct {
	versions    []*version // in the order of loading
	active      *version
	previous    *version // active before, kept for a rollback
	scheduled   *version // to be activated at scheduledAt
	scheduledAt Time
}

// version is a loaded table.
type version struct {
	table       *Table
	loadedAt    Time
	activatedAt Time // 0: it has never been active
	pins        int
}

// digest returns the digest of the version's table, "" for nil.
func (v *version) digest() string {
	if v == nil {
		return ""
	}
	return v.table.Digest()
}

// TableRef is the reference of one call to one version: the call uses this table to its end, whatever is activated
// meanwhile. A nil TableRef refers to no version.
type TableRef struct{ version *version }

// Table returns the table of the version; nil if there is none or the pin has been released.
func (p *TableRef) Table() *Table {
	if p == nil || p.version == nil {
		return nil
	}
	return p.version.table
}

// Release ends the reference. A second Release has no effect.
func (p *TableRef) Release() {
	if p != nil && p.version != nil {
		p.version.pins--
		p.version = nil
	}
}

// Acquire returns a reference to the active version; nil if there is none.
func (r *Registry) Acquire() *TableRef {
	if r.active == nil {
		return nil
	}
	r.active.pins++
	return &TableRef{r.active}
}

// Active returns the active table; nil if there is none.
func (r *Registry) Active() *Table {
	if r.active == nil {
		return nil
	}
	return r.active.table
}

// find returns the version with a digest; nil if it is not loaded.
func (r *Registry) find(digest string) *version {
	for _, v := range r.versions {
		if v.digest() == digest {
			return v
		}
	}
	return nil
}

// Load adds a compiled table and activates nothing. A table that is loaded already is not added again. If there are too
// many, the oldest version that is not in use is removed.
func (r *Registry) Load(now Time, t *Table) error {
	if r.find(t.Digest()) != nil {
		return nil
	}
	if len(r.versions) >= maxVersions && !r.evictOldest() {
		return fmt.Errorf("%w: %d are loaded, all in use", ErrTooManyVersions, len(r.versions))
	}
	r.versions = append(r.versions, &version{table: t, loadedAt: now})
	return nil
}

// evictOldest removes the oldest version that is not in use; false if there is none.
func (r *Registry) evictOldest() bool {
	i := slices.IndexFunc(r.versions, func(v *version) bool { return !r.isInUse(v) })
	if i < 0 {
		return false
	}
	r.versions = slices.Delete(r.versions, i, i+1)
	return true
}

// isInUse reports whether calls use a version, or an activation or a rollback may need it.
func (r *Registry) isInUse(v *version) bool {
	return v.pins > 0 || v == r.active || v == r.previous || v == r.scheduled
}

// Activate activates a loaded version at once, or schedules it if at is later than now. seen is the digest of the
// version that the operator saw as active, "" for none. If another version is scheduled, the error is an
// ErrVersionConflict; if the same one is, its time is changed.
func (r *Registry) Activate(now Time, digest, seen string, at Time) error {
	v := r.find(digest)
	if v == nil {
		return fmt.Errorf("%w: %s", ErrUnknownVersion, digest)
	}
	if err := r.checkActive(seen); err != nil {
		return err
	}
	if r.scheduled != nil && r.scheduled != v {
		return fmt.Errorf("%w: %s is to come into force; cancel that first", ErrVersionConflict, r.scheduled.digest())
	}
	if at > now {
		r.scheduled = v
		r.scheduledAt = at
		return nil
	}
	r.setActive(now, v)
	return nil
}

// Cancel drops a scheduled activation.
func (r *Registry) Cancel() { r.scheduled = nil }

// Rollback activates the version that was active before; seen as for Activate.
func (r *Registry) Rollback(now Time, seen string) error {
	if err := r.checkActive(seen); err != nil {
		return err
	}
	if r.previous == nil {
		return ErrNoPrevious
	}
	r.setActive(now, r.previous)
	return nil
}

// checkActive returns an ErrVersionConflict unless the active version has a digest.
func (r *Registry) checkActive(digest string) error {
	active := r.active.digest()
	if active == digest {
		return nil
	}
	return fmt.Errorf("%w: %s is in force", ErrVersionConflict, cmp.Or(active, "none"))
}

// setActive makes a version the active one. It drops a scheduled activation, which was ordered over another version.
func (r *Registry) setActive(now Time, v *version) {
	r.scheduled = nil
	if v == r.active {
		return
	}
	r.previous = r.active
	r.active = v
	v.activatedAt = now
}

// Tick performs a scheduled activation that is due and reports whether there was one.
func (r *Registry) Tick(now Time) bool {
	if r.scheduled == nil || now < r.scheduledAt {
		return false
	}
	r.setActive(now, r.scheduled)
	return true
}

// NextActivation returns the time at which Tick is due, math.MaxInt64 if nothing is scheduled.
func (r *Registry) NextActivation() Time {
	if r.scheduled == nil {
		return math.MaxInt64
	}
	return r.scheduledAt
}
