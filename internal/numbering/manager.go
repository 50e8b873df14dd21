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

// Order is a command of an operator.
type Order struct {
	Op     string
	File   string // load: a file on the machine of the instance
	Digest string // activate: of the version
	Saw    string // activate, rollback: digest of the version that the operator saw as active
	At     Time   // activate: when; 0: at once
}

// Job is the order that is being carried out, or the last one.
type Job struct {
	ID      uint64
	Order   Order
	Began   Time
	Running bool
	Err     string // why the order failed; "": it has not
	Digest  string // load: of the loaded table
}

// ErrBusy means that another order is being carried out.
var ErrBusy = errors.New("another order is being carried out")

// Desk carries out orders on a Registry, one at a time and without I/O. An order takes two steps, since a write to disk
// is slow and must not block the event loop: Begin checks the order and returns the state to be stored, and Finish
// applies the order when the state is stored. A Desk belongs to one goroutine.
type Desk struct {
	Registry
	job Job
}

// Tick performs a scheduled activation that is due and reports whether there was one. While an order is carried out
// nothing is activated, so that the state that was checked and stored is the one that Finish finds. The activation need
// not be stored: after a restart the same Standing leads to the same active version.
func (d *Desk) Tick(now Time) bool { return !d.job.Running && d.Registry.Tick(now) }

// Job returns the order that is being carried out, or the last one.
func (d *Desk) Job() Job { return d.job }

// Begin starts an order. save is the state that is to be stored before Finish; it is nil for a load, which Loaded ends.
// The error is an ErrBusy while another order is carried out.
func (d *Desk) Begin(now Time, o Order) (id uint64, save *Standing, err error) {
	if d.job.Running {
		duration := (now - d.job.Began).Round(time.Millisecond)
		return 0, nil, fmt.Errorf("%w: %s since %v", ErrBusy, d.job.Order.Op, duration)
	}
	trial := d.copyForTrial()
	if err := trial.apply(now, o); err != nil {
		return 0, nil, err
	}
	if o.Op != OpLoad {
		standing := trial.Standing()
		save = &standing
	}
	d.job = Job{ID: d.job.ID + 1, Order: o, Began: now, Running: true}
	return d.job.ID, save, nil
}

// copyForTrial returns a copy of the registry on which an order can be applied without a change to the original.
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

// apply carries out an order on the registry. A load changes nothing: its table comes with Loaded.
func (r *Registry) apply(now Time, o Order) error {
	switch o.Op {
	case OpLoad:
		return nil
	case OpActivate:
		return r.Activate(now, o.Digest, o.Saw, o.At)
	case OpRollback:
		return r.Rollback(now, o.Saw)
	case OpCancel:
		r.Cancel()
		return nil
	}
	return fmt.Errorf("%q is none of load, activate, rollback, cancel", o.Op)
}

// Loaded ends a load with the table, or with the error for which there is none.
func (d *Desk) Loaded(now Time, t *Table, err error) {
	if err == nil {
		err = d.Load(now, t)
	}
	if err == nil {
		d.job.Digest = t.Digest()
	}
	d.end(err)
}

// Finish ends an order other than a load. saveErr is the error with which its state could not be stored; then the
// order fails and changes nothing.
func (d *Desk) Finish(now Time, saveErr error) error {
	err := saveErr
	if err == nil {
		err = d.apply(now, d.job.Order)
	}
	d.end(err)
	return err
}

func (d *Desk) end(err error) {
	d.job.Running = false
	if err != nil {
		d.job.Err = err.Error()
	}
}
