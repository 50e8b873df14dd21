package numbering

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// maxVersions limits the number of tables that are loaded at a time.
const maxVersions = 8

// Errors of a Registry.
var (
	// ErrVersionConflict means that the active version is not the one that the operator saw, or that another version is
	// scheduled. If two operators activate versions at the same time, one of them gets this error.
	ErrVersionConflict = errors.New("the version in force is not the one you saw")
	// ErrUnknownVersion means that no version with the given digest is loaded.
	ErrUnknownVersion = errors.New("no such version is loaded")
	// ErrTooManyVersions means that maxVersions are loaded and none of them can be removed.
	ErrTooManyVersions = errors.New("too many versions")
	// ErrNoPrevious means that there is no version to roll back to.
	ErrNoPrevious = errors.New("there is no previous version")
)

// Registry keeps the loaded versions of the table, which of them is active and which is scheduled, and the number of
// calls that use each. It performs no I/O and must be used by one goroutine only. The zero value has no versions.
type Registry struct {
	versions    []*version // in the order of loading
	active      *version
	previous    *version // active before the current one, kept for a rollback
	scheduled   *version // to be activated at scheduledAt
	scheduledAt Time
}

// version is a loaded table.
type version struct {
	table       *Table
	loadedAt    Time
	activatedAt Time // time of the last activation; 0: never active
	refCount    int  // unreleased references
}

// digest returns the digest of the table, "" if v is nil.
func (v *version) digest() string {
	if v == nil {
		return ""
	}
	return v.table.Digest()
}

// TableRef is the reference of a call to a version. The call uses the table of this version until it ends, even if
// another version is activated meanwhile. A nil TableRef refers to no version.
type TableRef struct{ version *version }

// Table returns the table of the version, or nil if there is none or the reference has been released.
func (r *TableRef) Table() *Table {
	if r == nil || r.version == nil {
		return nil
	}
	return r.version.table
}

// Release releases the reference. Further calls have no effect.
func (r *TableRef) Release() {
	if r != nil && r.version != nil {
		r.version.refCount--
		r.version = nil
	}
}

// Acquire returns a reference to the active version, or nil if there is none.
func (r *Registry) Acquire() *TableRef {
	if r.active == nil {
		return nil
	}
	r.active.refCount++
	return &TableRef{r.active}
}

// Active returns the active table, or nil if there is none.
func (r *Registry) Active() *Table {
	if r.active == nil {
		return nil
	}
	return r.active.table
}

// find returns the version with a digest, or nil if it is not loaded.
func (r *Registry) find(digest string) *version {
	for _, v := range r.versions {
		if v.digest() == digest {
			return v
		}
	}
	return nil
}

// Load adds a compiled table without activating it. A table that is already loaded is not added again. If maxVersions
// are loaded, the oldest version that is not in use is removed.
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

// evictOldest removes the oldest version that is not in use. It returns false if there is none.
func (r *Registry) evictOldest() bool {
	i := slices.IndexFunc(r.versions, func(v *version) bool { return !r.isInUse(v) })
	if i < 0 {
		return false
	}
	r.versions = slices.Delete(r.versions, i, i+1)
	return true
}

// isInUse reports whether calls use a version or it is the active, the previous or the scheduled one.
func (r *Registry) isInUse(v *version) bool {
	return v.refCount > 0 || v == r.active || v == r.previous || v == r.scheduled
}

// Activate activates a loaded version, or schedules its activation if at is later than now. expectedActive is the
// digest of the version that the operator saw as active, "" for none. If another version is scheduled, the error is an
// ErrVersionConflict; if the same one is scheduled, its time is changed.
func (r *Registry) Activate(now Time, digest, expectedActive string, at Time) error {
	v := r.find(digest)
	if v == nil {
		return fmt.Errorf("%w: %s", ErrUnknownVersion, digest)
	}
	if err := r.checkActive(expectedActive); err != nil {
		return err
	}
	if r.scheduled != nil && r.scheduled != v {
		return fmt.Errorf("%w: %s is scheduled; cancel it first", ErrVersionConflict, r.scheduled.digest())
	}
	if at > now {
		r.scheduled = v
		r.scheduledAt = at
		return nil
	}
	r.setActive(now, v)
	return nil
}

// Cancel cancels the scheduled activation, if there is one.
func (r *Registry) Cancel() { r.scheduled = nil }

// Rollback activates the version that was active before the current one. expectedActive is used as in Activate.
func (r *Registry) Rollback(now Time, expectedActive string) error {
	if err := r.checkActive(expectedActive); err != nil {
		return err
	}
	if r.previous == nil {
		return ErrNoPrevious
	}
	r.setActive(now, r.previous)
	return nil
}

// checkActive returns an ErrVersionConflict unless the active version has the given digest.
func (r *Registry) checkActive(digest string) error {
	active := r.active.digest()
	if active == digest {
		return nil
	}
	return fmt.Errorf("%w: %s is in force", ErrVersionConflict, cmp.Or(active, "none"))
}

// setActive makes a version the active one. It cancels a scheduled activation, since that was ordered while another
// version was active.
func (r *Registry) setActive(now Time, v *version) {
	r.scheduled = nil
	if v == r.active {
		return
	}
	r.previous = r.active
	r.active = v
	v.activatedAt = now
}

// Tick performs the scheduled activation if it is due, and reports whether it did.
func (r *Registry) Tick(now Time) bool {
	if r.scheduled == nil || now < r.scheduledAt {
		return false
	}
	r.setActive(now, r.scheduled)
	return true
}

// NextActivation returns the time of the scheduled activation, math.MaxInt64 if there is none.
func (r *Registry) NextActivation() Time {
	if r.scheduled == nil {
		return math.MaxInt64
	}
	return r.scheduledAt
}
