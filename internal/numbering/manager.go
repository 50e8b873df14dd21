package numbering

import (
	"errors"
	"fmt"
	"time"
)

// Values of Order.Op.
const (
	OpLoad     = "load"
	OpActivate = "activate"
	OpRollback = "rollback"
	OpCancel   = "cancel"
)

// Command is a command of an operator.
type Command struct {
	Op             string
	File           string // load: a file on the machine of the instance
	Digest         string // activate: of the version
	ExpectedActive string // activate, rollback: digest of the version that the operator saw as active
	ActivateAt     Time   // activate: when; 0: at once
}

// Job is the command that is being carried out, or the last one.
type Job struct {
	ID        uint64
	Command   Command
	StartedAt Time
	IsRunning bool
	Error     string // why the command failed; "": it has not
	Digest    string // load: of the loaded table
}

// ErrCommandRunning means that another command is being carried out.
var ErrCommandRunning = errors.New("another order is being carried out")

// VersionManager carries out commands on a Registry, one at a time and without I/O. A command takes two steps, since a
// write to disk is slow and must not block the event loop: Begin checks the command and returns the state to be stored,
// and Finish applies the command when the state is stored. A VersionManager belongs to one goroutine.
type VersionManager struct {
	Registry
	job Job
}

// Tick performs a scheduled activation that is due and reports whether there was one. While a command is carried out
// nothing is activated, so that the state that was checked and stored is the one that Finish finds. The activation need
// not be stored: after a restart the same Standing leads to the same active version.
func (d *VersionManager) Tick(now Time) bool { return !d.job.IsRunning && d.Registry.Tick(now) }

// Job returns the command that is being carried out, or the last one.
func (d *VersionManager) Job() Job { return d.job }

// Begin starts a command. save is the state that is to be stored before Finish; it is nil for a load, which Loaded
// ends. The error is ErrCommandRunning while another command is carried out.
func (d *VersionManager) Begin(now Time, o Command) (id uint64, save *ActivationState, err error) {
	if d.job.IsRunning {
		duration := (now - d.job.StartedAt).Round(time.Millisecond)
		return 0, nil, fmt.Errorf("%w: %s since %v", ErrCommandRunning, d.job.Command.Op, duration)
	}
	trial := d.copyForTrial()
	if err := trial.apply(now, o); err != nil {
		return 0, nil, err
	}
	if o.Op != OpLoad {
		standing := trial.ActivationState()
		save = &standing
	}
	d.job = Job{ID: d.job.ID + 1, Command: o, StartedAt: now, IsRunning: true}
	return d.job.ID, save, nil
}

// copyForTrial returns a copy of the registry on which a command can be applied without a change to the original.
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

// apply carries out a command on the registry. A load changes nothing: its table comes with Loaded.
func (r *Registry) apply(now Time, o Command) error {
	switch o.Op {
	case OpLoad:
		return nil
	case OpActivate:
		return r.Activate(now, o.Digest, o.ExpectedActive, o.ActivateAt)
	case OpRollback:
		return r.Rollback(now, o.ExpectedActive)
	case OpCancel:
		r.Cancel()
		return nil
	}
	return fmt.Errorf("%q is none of load, activate, rollback, cancel", o.Op)
}

// FinishLoad ends a load with the table, or with the error for which there is none.
func (d *VersionManager) FinishLoad(now Time, t *Table, err error) {
	if err == nil {
		err = d.Load(now, t)
	}
	if err == nil {
		d.job.Digest = t.Digest()
	}
	d.end(err)
}

// Finish ends a command other than a load. saveErr is the error with which its state could not be stored; then the
// command fails and changes nothing.
func (d *VersionManager) Finish(now Time, saveErr error) error {
	err := saveErr
	if err == nil {
		err = d.apply(now, d.job.Command)
	}
	d.end(err)
	return err
}

func (d *VersionManager) end(err error) {
	d.job.IsRunning = false
	if err != nil {
		d.job.Error = err.Error()
	}
}
