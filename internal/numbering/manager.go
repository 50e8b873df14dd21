package numbering

import (
	"errors"
	"fmt"
	"time"
)

// Values of Command.Op.
const (
	OpLoad     = "load"
	OpActivate = "activate"
	OpRollback = "rollback"
	OpCancel   = "cancel"
)

// Command is an operator's command to a VersionManager.
type Command struct {
	Op             string
	File           string // load: path of the rules file, on the machine of the instance
	Digest         string // activate: digest of the version
	ExpectedActive string // activate, rollback: digest of the version that the operator saw as active; "": none
	ActivateAt     Time   // activate: time of the activation; 0: at once
}

// Job describes the command that is being executed or was executed last.
type Job struct {
	ID        uint64
	Command   Command
	StartedAt Time
	IsRunning bool
	Error     string // why the command failed; "": it did not fail
	Digest    string // load: digest of the loaded table
}

// ErrCommandRunning means that another command is being executed.
var ErrCommandRunning = errors.New("another command is running")

// VersionManager executes commands on a Registry, one at a time and without I/O. A command takes two steps, since a
// write to disk is slow and must not block the event loop: Begin checks the command and returns the state to be stored,
// and Finish applies the command after the state has been stored. A VersionManager must be used by one goroutine only.
type VersionManager struct {
	Registry
	job Job
}

// Tick performs the scheduled activation if it is due, and reports whether it did. It does nothing while a command is
// being executed, so that Finish finds the state that Begin checked and that was stored. The activation need not be
// stored: after a restart, the same ActivationState leads to the same active version.
func (m *VersionManager) Tick(now Time) bool { return !m.job.IsRunning && m.Registry.Tick(now) }

// Job returns the command that is being executed or was executed last.
func (m *VersionManager) Job() Job { return m.job }

// Begin starts a command. save is the state to be stored before Finish is called; it is nil for a load, which
// FinishLoad ends. The error is ErrCommandRunning while another command is being executed.
func (m *VersionManager) Begin(now Time, command Command) (id uint64, save *ActivationState, err error) {
	if m.job.IsRunning {
		duration := (now - m.job.StartedAt).Round(time.Millisecond)
		return 0, nil, fmt.Errorf("%w: %s for %v", ErrCommandRunning, m.job.Command.Op, duration)
	}
	trial := m.copyForTrial()
	if err := trial.apply(now, command); err != nil {
		return 0, nil, err
	}
	if command.Op != OpLoad {
		state := trial.ActivationState()
		save = &state
	}
	m.job = Job{ID: m.job.ID + 1, Command: command, StartedAt: now, IsRunning: true}
	return m.job.ID, save, nil
}

// copyForTrial returns a copy of the registry, to which a command can be applied without changing the original.
func (r *Registry) copyForTrial() *Registry {
	trial := &Registry{scheduledAt: r.scheduledAt}
	for _, v := range r.versions {
		copied := *v
		trial.versions = append(trial.versions, &copied)
		if v == r.active {
			trial.active = &copied
		}
		if v == r.previous {
			trial.previous = &copied
		}
		if v == r.scheduled {
			trial.scheduled = &copied
		}
	}
	return trial
}

// apply applies a command to the registry. A load changes nothing, since FinishLoad adds its table.
func (r *Registry) apply(now Time, command Command) error {
	switch command.Op {
	case OpLoad:
		return nil
	case OpActivate:
		return r.Activate(now, command.Digest, command.ExpectedActive, command.ActivateAt)
	case OpRollback:
		return r.Rollback(now, command.ExpectedActive)
	case OpCancel:
		r.Cancel()
		return nil
	}
	return fmt.Errorf("%q is not one of load, activate, rollback, cancel", command.Op)
}

// FinishLoad ends a load with its table, or with the error because of which there is no table.
func (m *VersionManager) FinishLoad(now Time, t *Table, err error) {
	if err == nil {
		err = m.Load(now, t)
	}
	if err == nil {
		m.job.Digest = t.Digest()
	}
	m.end(err)
}

// Finish ends a command other than a load. If the state could not be stored, saveErr is the error: the command fails
// and changes nothing.
func (m *VersionManager) Finish(now Time, saveErr error) error {
	err := saveErr
	if err == nil {
		err = m.apply(now, m.job.Command)
	}
	m.end(err)
	return err
}

func (m *VersionManager) end(err error) {
	m.job.IsRunning = false
	if err != nil {
		m.job.Error = err.Error()
	}
}
