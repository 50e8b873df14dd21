package numbering

import (
	"errors"
	"testing"
	"time"
)

// loadAll loads tables into a registry.
func loadAll(t testing.TB, r *Registry, tables ...*Table) {
	t.Helper()
	for _, table := range tables {
		if err := r.Load(now, table); err != nil {
			t.Fatal(err)
		}
	}
}

// activate activates a table in place of the active one.
func activate(t testing.TB, r *Registry, table *Table) {
	t.Helper()
	if err := r.Activate(now, table.Digest(), activeDigest(r), 0); err != nil {
		t.Fatal(err)
	}
}

// activeDigest returns the digest of the active table, "" if there is none.
func activeDigest(r *Registry) string {
	if r.Active() == nil {
		return ""
	}
	return r.Active().Digest()
}

func TestActivate(t *testing.T) {
	var r Registry
	a, b, c := tableWithPool(t, 0), tableWithPool(t, 1), tableWithPool(t, 2)
	if p := r.Acquire(); p.Table() != nil {
		t.Error("a reference to an empty registry has a table")
	}
	loadAll(t, &r, a, b, a)
	if len(r.List()) != 2 || r.Active() != nil {
		t.Errorf("%+v", r.List())
	}
	activate(t, &r, a)
	call := r.Acquire()
	// If two operators saw the same active version, the second activation fails.
	activate(t, &r, b)
	if err := r.Activate(now, a.Digest(), a.Digest(), 0); !errors.Is(err, ErrVersionConflict) {
		t.Errorf("second activation: %v", err)
	}
	if call.Table() != a || r.Acquire().Table() != b {
		t.Error("the table of a call has changed")
	}
	if err := r.Activate(now, c.Digest(), b.Digest(), 0); !errors.Is(err, ErrUnknownVersion) {
		t.Errorf("activation of a version that is not loaded: %v", err)
	}
	call.Release()
	call.Release()
	for _, s := range r.List() {
		if s.Digest == a.Digest() && s.Calls != 0 || s.Calls < 0 {
			t.Errorf("%+v", s)
		}
	}
}

func TestScheduledActivationAndRollback(t *testing.T) {
	var r Registry
	a, b, c := tableWithPool(t, 0), tableWithPool(t, 1), tableWithPool(t, 2)
	loadAll(t, &r, a, b, c)
	activate(t, &r, a)
	activate(t, &r, b)
	scheduledAt := now + time.Hour
	if err := r.Activate(now, c.Digest(), b.Digest(), scheduledAt); err != nil {
		t.Fatal(err)
	}
	if err := r.Activate(now, a.Digest(), b.Digest(), 0); !errors.Is(err, ErrVersionConflict) {
		t.Errorf("activation while another is scheduled: %v", err)
	}
	if r.Tick(scheduledAt-1) || r.Active() != b || r.NextActivation() != scheduledAt {
		t.Error("activated too early")
	}
	if !r.Tick(scheduledAt) || r.Active() != c || r.Tick(scheduledAt+time.Hour) {
		t.Error("the scheduled version was not activated exactly once")
	}
	if err := r.Rollback(now, b.Digest()); !errors.Is(err, ErrVersionConflict) {
		t.Errorf("rollback with an outdated active version: %v", err)
	}
	if err := r.Rollback(now, c.Digest()); err != nil || r.Active() != b {
		t.Errorf("%v", err)
	}
}

// A new version replaces the oldest version that is not in use.
func TestLoadEvictsOldestUnusedVersion(t *testing.T) {
	var r Registry
	tables := make([]*Table, maxVersions+2)
	for i := range tables {
		tables[i] = tableWithPool(t, i)
	}
	loadAll(t, &r, tables[:maxVersions]...)
	activate(t, &r, tables[0])
	r.Acquire()
	loadAll(t, &r, tables[maxVersions])
	if r.find(tables[1].Digest()) != nil || r.find(tables[0].Digest()) == nil {
		t.Error("the evicted version is not the oldest unused one")
	}
	for _, table := range tables[2 : maxVersions+1] {
		activate(t, &r, table)
		r.Acquire()
	}
	if err := r.Load(now, tables[maxVersions+1]); !errors.Is(err, ErrTooManyVersions) {
		t.Errorf("Load while all versions are in use: %v", err)
	}
	if len(r.List()) != maxVersions {
		t.Errorf("%d versions", len(r.List()))
	}
}

func TestRollbackWithoutPreviousVersion(t *testing.T) {
	var r Registry
	table := tableWithPool(t, 0)
	loadAll(t, &r, table)
	activate(t, &r, table)
	if err := r.Rollback(now, table.Digest()); !errors.Is(err, ErrNoPrevious) {
		t.Error(err)
	}
	if r.Active() != table {
		t.Error("a failed rollback changed the active version")
	}
}
