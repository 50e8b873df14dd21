package numbering

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// managerTest executes random commands on a VersionManager and checks that a restart from the stored state restores it.
type managerTest struct {
	*rapid.T
	tables  []*Table
	manager *VersionManager
	now     Time
}

// The state that Begin returns is the state after Finish; a command whose state cannot be stored changes nothing; and a
// restart from the stored state leads to the same active version.
func TestCommandsSurviveRestart(t *testing.T) {
	var tables []*Table
	for i := range 4 {
		tables = append(tables, tableWithPool(t, i))
	}
	rapid.Check(t, func(rt *rapid.T) {
		test := &managerTest{T: rt, tables: tables, now: now}
		test.manager = test.newManager()
		if err := test.manager.Activate(test.now, tables[0].Digest(), "", 0); err != nil {
			rt.Fatal(err)
		}
		for range rapid.IntRange(1, 30).Draw(rt, "orders") {
			test.now += Time(rapid.IntRange(0, 1000).Draw(rt, "pass"))
			test.manager.Tick(test.now)
			test.execute(test.drawCommand())
		}
	})
}

// newManager returns a manager with all tables loaded.
func (t *managerTest) newManager() *VersionManager {
	var m VersionManager
	for _, table := range t.tables {
		if err := m.Load(t.now, table); err != nil {
			t.Fatal(err)
		}
	}
	return &m
}

func (t *managerTest) drawCommand() Command {
	ops := []string{OpActivate, OpActivate, OpRollback, OpCancel, "unknown"}
	command := Command{
		Op:             rapid.SampledFrom(ops).Draw(t.T, "op"),
		Digest:         t.tables[rapid.IntRange(0, 3).Draw(t.T, "table")].Digest(),
		ExpectedActive: t.manager.Active().Digest(),
	}
	if rapid.Bool().Draw(t.T, "scheduled") {
		command.ActivateAt = t.now + Time(rapid.IntRange(0, 2000).Draw(t.T, "in"))
	}
	return command
}

// execute executes a command, whose state may fail to be stored, and checks the state after each step.
func (t *managerTest) execute(command Command) {
	before := t.manager.ActivationState()
	_, save, err := t.manager.Begin(t.now, command)
	if t.manager.ActivationState() != before {
		t.Fatal("Begin changed the state")
	}
	if err != nil {
		return
	}
	if _, _, err := t.manager.Begin(t.now, command); !errors.Is(err, ErrCommandRunning) {
		t.Fatalf("Begin while a command is running: %v", err)
	}
	t.now += Time(rapid.IntRange(0, 3000).Draw(t.T, "saving"))
	if t.manager.Tick(t.now) {
		t.Fatal("a scheduled activation was performed while a command is running")
	}
	if rapid.Bool().Draw(t.T, "save fails") {
		if err := t.manager.Finish(t.now, errors.New("disk failure")); err == nil || t.manager.ActivationState() != before {
			t.Fatal("a command was applied although its state was not stored")
		}
		return
	}
	if err := t.manager.Finish(t.now, nil); err != nil {
		t.Fatalf("Finish failed after the state was stored: %v", err)
	}
	t.checkRestart(save.Encode())
}

// checkRestart checks that a restart from the stored state, at once or after some time, leads to the same active
// version.
func (t *managerTest) checkRestart(stored []byte) {
	restarted := t.newManager()
	state, err := DecodeActivationState(stored)
	if err != nil {
		t.Fatal(err)
	}
	if err := restarted.Restore(t.now, state); err != nil {
		t.Fatal(err)
	}
	t.now += Time(rapid.IntRange(0, 5000).Draw(t.T, "restart after"))
	restarted.Tick(t.now)
	t.manager.Tick(t.now)
	if restarted.Active() != t.manager.Active() {
		t.Fatalf("%s after a restart, %s without", restarted.Active().Version, t.manager.Active().Version)
	}
}

func TestLoadCommand(t *testing.T) {
	var m VersionManager
	table := tableWithPool(t, 0)
	id, save, err := m.Begin(now, Command{Op: OpLoad, File: "rules.toml"})
	if err != nil || id != 1 || save != nil {
		t.Fatalf("%d, %v, %v", id, save, err)
	}
	if !m.Job().IsRunning {
		t.Error("the command is not running")
	}
	m.FinishLoad(now, table, nil)
	if job := m.Job(); job.IsRunning || job.Error != "" || job.Digest != table.Digest() {
		t.Errorf("%+v", job)
	}
	if m.Active() != nil || m.find(table.Digest()) == nil {
		t.Error("a load must add the table without activating it")
	}
}

func TestFailedLoadCommand(t *testing.T) {
	var m VersionManager
	if _, _, err := m.Begin(now, Command{Op: OpLoad, File: "rules.toml"}); err != nil {
		t.Fatal(err)
	}
	m.FinishLoad(now, nil, errors.New("no such file"))
	if job := m.Job(); job.IsRunning || job.Error != "no such file" || job.Digest != "" {
		t.Errorf("%+v", job)
	}
	if len(m.List()) != 0 {
		t.Errorf("%+v", m.List())
	}
}

func TestRestoreWithoutActiveVersion(t *testing.T) {
	var m VersionManager
	if err := m.Restore(now, ActivationState{Active: "0123456789abcdef"}); !errors.Is(err, ErrUnknownVersion) {
		t.Error(err)
	}
	for _, text := range []string{"", "{}", `{"before":"0123456789abcdef"}`, "[]"} {
		if _, err := DecodeActivationState([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
