package numbering

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tableWithPool is a table that differs from others by its default's pool.
func tableWithPool(t testing.TB, pool int) *Table {
	t.Helper()
	return compileText(t, fmt.Sprintf("version = \"v%d\"\ndefault = \"r\"\n[[route]]\nname = \"r\"\n[[route.target]]\npool = %d\n", pool, pool))
}

func TestRegistryActivation(t *testing.T) {
	var r Registry
	a, b, c := tableWithPool(t, 0), tableWithPool(t, 1), tableWithPool(t, 2)
	if p := r.Pin(); p.Table() != nil {
		t.Error("a pin of nothing")
	}
	for _, x := range []*Table{a, b, a} {
		if err := r.Load(now, x); err != nil {
			t.Fatal(err)
		}
	}
	if len(r.List()) != 2 || r.Active() != nil {
		t.Errorf("%+v", r.List())
	}
	if err := r.Activate(now, a.Digest(), "", 0); err != nil {
		t.Fatal(err)
	}
	call := r.Pin()
	// Two operators who saw the same: one wins, the other is told.
	if err := r.Activate(now, b.Digest(), a.Digest(), 0); err != nil {
		t.Fatal(err)
	}
	if err := r.Activate(now, a.Digest(), a.Digest(), 0); !errors.Is(err, ErrVersionConflict) {
		t.Errorf("the second of two: %v", err)
	}
	if call.Table() != a || r.Pin().Table() != b {
		t.Error("a call does not keep its table")
	}
	if err := r.Activate(now, c.Digest(), b.Digest(), 0); !errors.Is(err, ErrUnknownVersion) {
		t.Errorf("what is not loaded: %v", err)
	}
	// At a time: nothing changes before, and another must not slip in between.
	if err := r.Load(now, c); err != nil {
		t.Fatal(err)
	}
	if err := r.Activate(now, c.Digest(), b.Digest(), now+time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := r.Activate(now, a.Digest(), b.Digest(), 0); !errors.Is(err, ErrVersionConflict) {
		t.Errorf("over one that waits: %v", err)
	}
	if r.Tick(now+time.Hour-1) || r.Active() != b || r.Next() != now+time.Hour {
		t.Error("it came into force too early")
	}
	if !r.Tick(now+time.Hour) || r.Active() != c || r.Tick(now+2*time.Hour) {
		t.Error("it did not come into force once")
	}
	if err := r.Rollback(now, b.Digest()); !errors.Is(err, ErrVersionConflict) {
		t.Errorf("a rollback over another's: %v", err)
	}
	if err := r.Rollback(now, c.Digest()); err != nil || r.Active() != b {
		t.Errorf("%v", err)
	}
	call.Release()
	call.Release()
	for _, s := range r.List() {
		if s.Digest == a.Digest() && s.Pins != 0 || s.Pins < 0 {
			t.Errorf("%+v", s)
		}
	}
}

// Whatever is loaded, put in force and held in whatever order: a call's table never changes, what
// a call holds is never let go, counts are right, and there are never too many.
func TestRegistryInvariants(t *testing.T) {
	var tables []*Table
	for i := range 12 {
		tables = append(tables, tableWithPool(t, i))
	}
	rapid.Check(t, func(rt *rapid.T) {
		var r Registry
		type held struct {
			pin  *Pin
			want *Table
		}
		var calls []held
		at := now
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			at += Time(rapid.IntRange(0, 1000).Draw(rt, "pass"))
			x := tables[rapid.IntRange(0, len(tables)-1).Draw(rt, "table")]
			saw := ""
			if r.Active() != nil {
				saw = r.Active().Digest()
			}
			before := r.Active()
			switch rapid.IntRange(0, 6).Draw(rt, "do") {
			case 0, 1:
				if err := r.Load(at, x); err != nil && !errors.Is(err, ErrTooManyVersions) {
					rt.Fatal(err)
				}
			case 2:
				later := at + Time(rapid.IntRange(0, 500).Draw(rt, "in"))
				if err := r.Activate(at, x.Digest(), saw, later); err == nil && later <= at && r.Active() != x {
					rt.Fatal("activated, and not in force")
				} else if err != nil && r.Active() != before {
					rt.Fatal("refused, and changed")
				}
			case 3:
				if err := r.Rollback(at, saw); err != nil && r.Active() != before {
					rt.Fatal("refused, and changed")
				}
			case 4:
				if p := r.Pin(); p != nil {
					calls = append(calls, held{p, r.Active()})
				}
			case 5:
				if n := len(calls); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(rt, "call")
					calls[i].pin.Release()
					calls[i].pin.Release()
					calls = slices.Delete(calls, i, i+1)
				}
			case 6:
				r.Tick(at)
			}
			pins := make(map[string]int)
			for _, c := range calls {
				if c.pin.Table() != c.want {
					rt.Fatal("a call's table changed")
				}
				pins[c.want.Digest()]++
			}
			list := r.List()
			if len(list) > maxVersions {
				rt.Fatalf("%d versions", len(list))
			}
			for _, s := range list {
				if s.Pins != pins[s.Digest] {
					rt.Fatalf("%d hold %s, %d are told", pins[s.Digest], s.Digest, s.Pins)
				}
				delete(pins, s.Digest)
			}
			if len(pins) > 0 {
				rt.Fatalf("let go though held: %v", pins)
			}
		}
	})
}

func TestDiff(t *testing.T) {
	a := compileText(t, rules)
	if changes, _ := Diff(a, a); len(changes) > 0 {
		t.Errorf("%+v", changes)
	}
	r, err := Parse([]byte(rules))
	if err != nil {
		t.Fatal(err)
	}
	r.Prefix[1].Prefix = "5623" // 5622 goes with 562 now, 5623 to the centre
	r.Barred = r.Barred[:1]     // 569 is barred no more for alarms
	r.Route[0].Name, r.Prefix[0].Route = "renamed", "renamed"
	b, err := Compile(r, env)
	if err != nil {
		t.Fatal(err)
	}
	changes, more := Diff(a, b)
	var got []string
	for _, c := range changes {
		got = append(got, c.Prefix)
	}
	if fmt.Sprint(got) != "[5622 5623 569]" || more {
		t.Errorf("%+v", changes)
	}
	// Another holiday alone is a change, though there are as many.
	if r, err = Parse([]byte(strings.Replace(rules, "2026-12-25", "2026-12-24", 1))); err != nil {
		t.Fatal(err)
	}
	if c, err := Compile(r, env); err != nil {
		t.Error(err)
	} else if changes, _ := Diff(a, c); len(changes) != 8 { // 5622 and the seven blocks of the range
		t.Errorf("another holiday: %+v", changes)
	}
	// Diff tells of exactly the numbers that are decided otherwise.
	for n := range 10000 {
		number := fmt.Sprintf("56%04d", n)
		q := Query{Number: "+" + number, Class: "alarm", At: now, Ported: Ported{State: NotPorted}}
		told := slices.ContainsFunc(got, func(p string) bool { return len(p) <= len(number) && number[:len(p)] == p })
		if x, y := a.Analyse(&q), b.Analyse(&q); (fmt.Sprint(x.Verdict, x.Cause, x.Pools()) != fmt.Sprint(y.Verdict, y.Cause, y.Pools())) && !told {
			t.Errorf("%s: %s, then %s, and no word of it", number, describeDecision(x), describeDecision(y))
		}
	}
}

// What is written down before an order comes into force is what the registry comes to, whatever
// the order; an order whose saving fails changes nothing; and a restart from what was last written
// down finds the version that was in force.
func TestOrdersSurviveRestart(t *testing.T) {
	var tables []*Table
	for i := range 4 {
		tables = append(tables, tableWithPool(t, i))
	}
	rapid.Check(t, func(rt *rapid.T) {
		var d Desk
		at := now
		for _, x := range tables {
			if err := d.Load(at, x); err != nil {
				rt.Fatal(err)
			}
		}
		if err := d.Activate(at, tables[0].Digest(), "", 0); err != nil {
			rt.Fatal(err)
		}
		var disk Standing
		for range rapid.IntRange(1, 30).Draw(rt, "orders") {
			at += Time(rapid.IntRange(0, 1000).Draw(rt, "pass"))
			d.Tick(at)
			o := Order{Op: rapid.SampledFrom([]string{OpActivate, OpActivate, OpRollback, OpCancel, "odd"}).Draw(rt, "op"),
				Digest: tables[rapid.IntRange(0, 3).Draw(rt, "table")].Digest(), Saw: d.Active().Digest()}
			if rapid.Bool().Draw(rt, "later") {
				o.At = at + Time(rapid.IntRange(0, 2000).Draw(rt, "in"))
			}
			before := d.Standing()
			_, save, err := d.Begin(at, o)
			if d.Standing() != before {
				rt.Fatal("Begin changed what stands")
			}
			if err != nil {
				continue
			}
			if _, _, err := d.Begin(at, o); !errors.Is(err, ErrBusy) {
				rt.Fatalf("a second order: %v", err)
			}
			at += Time(rapid.IntRange(0, 3000).Draw(rt, "saving"))
			if d.Tick(at) {
				rt.Fatal("something came into force under an order")
			}
			if rapid.Bool().Draw(rt, "fails") {
				if err := d.Finish(at, errors.New("the disk")); err == nil || d.Standing() != before {
					rt.Fatal("not saved, and in force")
				}
				continue
			}
			disk = *save
			if err := d.Finish(at, nil); err != nil {
				rt.Fatalf("saved, and refused: %v", err)
			}
			// A crash now, or a moment later: the same comes to be in force.
			var again Desk
			for _, x := range tables {
				if err := again.Load(at, x); err != nil {
					rt.Fatal(err)
				}
			}
			s, err := DecodeStanding(disk.Encode())
			if err != nil {
				rt.Fatal(err)
			}
			if err := again.Restore(at, s); err != nil {
				rt.Fatal(err)
			}
			later := at + Time(rapid.IntRange(0, 5000).Draw(rt, "later by"))
			again.Tick(later)
			d.Tick(later)
			at = later
			if again.Active() != d.Active() {
				rt.Fatalf("after a crash %s, without %s", again.Active().Version, d.Active().Version)
			}
		}
	})
}
