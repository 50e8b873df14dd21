package numbering

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// A Standing is what of the versions survives a crash: which is in force, and which comes when.
type Standing struct {
	Active string `json:"active"`
	Before string `json:"before,omitempty"`
	Next   string `json:"next,omitempty"`
	Due    Time   `json:"due,omitempty"`
}

// Encode writes it down.
func (s Standing) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings and a number: it cannot be
	}
	return b
}

// DecodeStanding reads what Encode wrote.
func DecodeStanding(b []byte) (s Standing, err error) {
	if err := json.Unmarshal(b, &s); err != nil {
		return s, fmt.Errorf("numbering: %w", err)
	}
	if s.Active == "" {
		return s, errors.New("numbering: no version in force is written down")
	}
	return s, nil
}

// Standing is what is to survive a crash.
func (r *Registry) Standing() Standing {
	return Standing{Active: r.digest(r.active), Before: r.digest(r.before), Next: r.digest(r.next), Due: r.due}
}

// Ops of a Job.
const (
	OpLoad     = "load"
	OpActivate = "activate"
	OpRollback = "rollback"
	OpCancel   = "cancel"
)

// An Order is what an operator asks for.
type Order struct {
	Op     string
	File   string // load: a file on the instance's machine
	Digest string // activate
	Saw    string // digest that the operator saw in force
	At     Time   // activate: when; 0: at once
}

// A Job is an Order being carried out, or the last that was. It takes two steps, since disks are slow
// and must not be waited for: it is checked and what it comes to is written down; only when that is
// safe does it come into force. One runs at a time, so that of two operators one wins.
type Job struct {
	ID      uint64
	Order   Order
	Began   Time
	Running bool
	Err     string
	Digest  string // load: of what was loaded
}

// ErrBusy tells that another order is being carried out.
var ErrBusy = errors.New("another order is being carried out")

// A Desk carries out orders on a Registry, without I/O: Begin checks one and tells what must be
// safe on disk first, Finish puts it in force. It belongs to one goroutine.
type Desk struct {
	Registry
	job Job
}

// Tick puts in force what is due. While an order is carried out nothing comes into force: what was
// checked and written down must be what is found. No saving is needed: after a crash the same
// Standing comes to the same.
func (d *Desk) Tick(now Time) bool { return !d.job.Running && d.Registry.Tick(now) }

// Job is the one that runs, or the last.
func (d *Desk) Job() Job { return d.job }

// Begin starts an order. Of an activation, a rollback or a cancellation it returns the Standing that
// is to be saved before Finish; a load has none, its table comes with Loaded.
func (d *Desk) Begin(now Time, o Order) (id uint64, save *Standing, err error) {
	if d.job.Running {
		return 0, nil, fmt.Errorf("%w: %s since %v", ErrBusy, d.job.Order.Op, (now - d.job.Began).Round(time.Millisecond))
	}
	// Tried on a copy: what an order comes to is known before anything is changed.
	trial := Registry{all: d.all, active: d.active, before: d.before, next: d.next, due: d.due}
	since := make(map[*version]Time)
	for _, v := range d.all {
		since[v] = v.since
	}
	err = trial.apply(now, o)
	for v, at := range since {
		v.since = at
	}
	if err != nil {
		return 0, nil, err
	}
	d.job = Job{ID: d.job.ID + 1, Order: o, Began: now, Running: true}
	if o.Op != OpLoad {
		s := trial.Standing()
		save = &s
	}
	return d.job.ID, save, nil
}

// apply carries out an order that needs no table.
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

// Loaded ends a load with its table, or with why there is none.
func (d *Desk) Loaded(now Time, t *Table, err error) {
	if err == nil {
		if err = d.Load(now, t); err == nil {
			d.job.Digest = t.Digest()
		}
	}
	d.end(err)
}

// Finish ends any other order: saved is why its Standing could not be made safe, nil if it is. What
// is not safe does not come into force.
func (d *Desk) Finish(now Time, saved error) error {
	err := saved
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

// Restore puts in force what was before a restart. Versions that are not loaded are left out; the
// one in force must be.
func (d *Desk) Restore(now Time, s Standing) error {
	v := d.find(s.Active)
	if v == nil {
		return fmt.Errorf("%w: %s", ErrUnknownVersion, s.Active)
	}
	d.active, d.before, d.next = v, d.find(s.Before), d.find(s.Next)
	v.since, d.due = now, s.Due
	return nil
}
