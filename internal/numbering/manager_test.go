package numbering

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// orderTest drives a Desk with random orders and checks what a restart makes of the stored state.
type orderTest struct {
	*rapid.T
	tables []*Table
	desk   *VersionManager
	now    Time
}

// The state that is stored before an order is applied is the state that the order leads to; an order whose state cannot
// be stored changes nothing; and a restart from the stored state leads to the same active version.
func TestOrdersSurviveRestart(t *testing.T) {
	var tables []*Table
	for i := range 4 {
		tables = append(tables, tableWithPool(t, i))
	}
	rapid.Check(t, func(rt *rapid.T) {
		test := &orderTest{T: rt, tables: tables, now: now}
		test.desk = test.newDesk()
		if err := test.desk.Activate(test.now, tables[0].Digest(), "", 0); err != nil {
			rt.Fatal(err)
		}
		for range rapid.IntRange(1, 30).Draw(rt, "orders") {
			test.now += Time(rapid.IntRange(0, 1000).Draw(rt, "pass"))
			test.desk.Tick(test.now)
			test.carryOut(test.drawOrder())
		}
	})
}

// newDesk returns a desk with all tables loaded.
func (t *orderTest) newDesk() *VersionManager {
	var d VersionManager
	for _, table := range t.tables {
		if err := d.Load(t.now, table); err != nil {
			t.Fatal(err)
		}
	}
	return &d
}

func (t *orderTest) drawOrder() Command {
	ops := []string{OpActivate, OpActivate, OpRollback, OpCancel, "unknown"}
	o := Command{
		Op:             rapid.SampledFrom(ops).Draw(t.T, "op"),
		Digest:         t.tables[rapid.IntRange(0, 3).Draw(t.T, "table")].Digest(),
		ExpectedActive: t.desk.Active().Digest(),
	}
	if rapid.Bool().Draw(t.T, "scheduled") {
		o.ActivateAt = t.now + Time(rapid.IntRange(0, 2000).Draw(t.T, "in"))
	}
	return o
}

func (t *orderTest) carryOut(o Command) {
	before := t.desk.ActivationState()
	_, save, err := t.desk.Begin(t.now, o)
	if t.desk.ActivationState() != before {
		t.Fatal("Begin changed the state")
	}
	if err != nil {
		return
	}
	if _, _, err := t.desk.Begin(t.now, o); !errors.Is(err, ErrCommandRunning) {
		t.Fatalf("a second order: %v", err)
	}
	t.now += Time(rapid.IntRange(0, 3000).Draw(t.T, "saving"))
	if t.desk.Tick(t.now) {
		t.Fatal("a scheduled activation while an order is carried out")
	}
	if rapid.Bool().Draw(t.T, "save fails") {
		if err := t.desk.Finish(t.now, errors.New("disk failure")); err == nil || t.desk.ActivationState() != before {
			t.Fatal("not stored, and applied")
		}
		return
	}
	if err := t.desk.Finish(t.now, nil); err != nil {
		t.Fatalf("stored, and refused: %v", err)
	}
	t.checkRestart(save.Encode())
}

// checkRestart checks that a restart from the stored state, now or a moment later, leads to the same active version.
func (t *orderTest) checkRestart(stored []byte) {
	restarted := t.newDesk()
	standing, err := DecodeActivationState(stored)
	if err != nil {
		t.Fatal(err)
	}
	if err := restarted.Restore(t.now, standing); err != nil {
		t.Fatal(err)
	}
	t.now += Time(rapid.IntRange(0, 5000).Draw(t.T, "restart after"))
	restarted.Tick(t.now)
	t.desk.Tick(t.now)
	if restarted.Active() != t.desk.Active() {
		t.Fatalf("%s after a restart, %s without", restarted.Active().Version, t.desk.Active().Version)
	}
}

func TestLoadOrder(t *testing.T) {
	var d VersionManager
	table := tableWithPool(t, 0)
	id, save, err := d.Begin(now, Command{Op: OpLoad, File: "rules.toml"})
	if err != nil || id != 1 || save != nil {
		t.Fatalf("%d, %v, %v", id, save, err)
	}
	if !d.Job().IsRunning {
		t.Error("the order is not running")
	}
	d.FinishLoad(now, table, nil)
	if job := d.Job(); job.IsRunning || job.Error != "" || job.Digest != table.Digest() {
		t.Errorf("%+v", job)
	}
	if d.Active() != nil || d.find(table.Digest()) == nil {
		t.Error("a load must add the table and activate nothing")
	}
}

func TestFailedLoadOrder(t *testing.T) {
	var d VersionManager
	if _, _, err := d.Begin(now, Command{Op: OpLoad, File: "rules.toml"}); err != nil {
		t.Fatal(err)
	}
	d.FinishLoad(now, nil, errors.New("no such file"))
	if job := d.Job(); job.IsRunning || job.Error != "no such file" || job.Digest != "" {
		t.Errorf("%+v", job)
	}
	if len(d.List()) != 0 {
		t.Errorf("%+v", d.List())
	}
}

func TestRestoreWithoutActiveVersion(t *testing.T) {
	var d VersionManager
	if err := d.Restore(now, ActivationState{Active: "0123456789abcdef"}); !errors.Is(err, ErrUnknownVersion) {
		t.Error(err)
	}
	for _, text := range []string{"", "{}", `{"before":"0123456789abcdef"}`, "[]"} {
		if _, err := DecodeActivationState([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
