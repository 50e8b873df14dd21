package numbering

import (
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// registryTest performs random operations on a Registry and checks its invariants.
type registryTest struct {
	*rapid.T
	registry Registry
	tables   []*Table
	calls    []callWithTable
	now      Time
}

// callWithTable is a call that has acquired a reference, with the table that the reference must keep.
type callWithTable struct {
	ref   *TableRef
	table *Table
}

// After any sequence of loads, activations and references: the table of a call never changes, a version that a call
// uses is never removed, the numbers of calls are correct, and there are never more than maxVersions versions.
func TestRegistryInvariants(t *testing.T) {
	var tables []*Table
	for i := range 12 {
		tables = append(tables, tableWithPool(t, i))
	}
	rapid.Check(t, func(rt *rapid.T) {
		test := &registryTest{T: rt, tables: tables, now: now}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			test.now += Time(rapid.IntRange(0, 1000).Draw(rt, "pass"))
			test.step()
			test.checkInvariants()
		}
	})
}

func (t *registryTest) step() {
	r := &t.registry
	table := t.tables[rapid.IntRange(0, len(t.tables)-1).Draw(t.T, "table")]
	switch rapid.IntRange(0, 6).Draw(t.T, "operation") {
	case 0, 1:
		if err := r.Load(t.now, table); err != nil && !errors.Is(err, ErrTooManyVersions) {
			t.Fatal(err)
		}
	case 2:
		t.activate(table)
	case 3:
		before := r.Active()
		if err := r.Rollback(t.now, activeDigest(r)); err != nil && r.Active() != before {
			t.Fatal("a failed rollback changed the active version")
		}
	case 4:
		if p := r.Acquire(); p != nil {
			t.calls = append(t.calls, callWithTable{p, r.Active()})
		}
	case 5:
		t.endCall()
	case 6:
		r.Tick(t.now)
	}
}

func (t *registryTest) activate(table *Table) {
	r := &t.registry
	before := r.Active()
	at := t.now + Time(rapid.IntRange(0, 500).Draw(t.T, "in"))
	err := r.Activate(t.now, table.Digest(), activeDigest(r), at)
	if err == nil && at <= t.now && r.Active() != table {
		t.Fatal("the activated version is not active")
	} else if err != nil && r.Active() != before {
		t.Fatal("a failed activation changed the active version")
	}
}

// endCall releases the reference of a call twice. The second release must have no effect.
func (t *registryTest) endCall() {
	if len(t.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(t.calls)-1).Draw(t.T, "call")
	t.calls[i].ref.Release()
	t.calls[i].ref.Release()
	t.calls = slices.Delete(t.calls, i, i+1)
}

func (t *registryTest) checkInvariants() {
	callsByDigest := make(map[string]int)
	for _, c := range t.calls {
		if c.ref.Table() != c.table {
			t.Fatal("the table of a call changed")
		}
		callsByDigest[c.table.Digest()]++
	}
	versions := t.registry.List()
	if len(versions) > maxVersions {
		t.Fatalf("%d versions", len(versions))
	}
	for _, s := range versions {
		if s.Calls != callsByDigest[s.Digest] {
			t.Fatalf("%d calls use %s, List returns %d", callsByDigest[s.Digest], s.Digest, s.Calls)
		}
		delete(callsByDigest, s.Digest)
	}
	if len(callsByDigest) > 0 {
		t.Fatalf("versions were removed while in use: %v", callsByDigest)
	}
}
