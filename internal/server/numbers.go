package server

import (
	"errors"
	"fmt"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/config"
	"olivedale/internal/enum"
	"olivedale/internal/numbering"
	"olivedale/internal/portability"
	durable "olivedale/internal/store"
)

// numbers routes calls by the table of numbers in force. The desk belongs to the loop; tables are
// read, compiled and saved elsewhere, one order at a time, and handed in whole.
type numbers struct {
	n      *Node
	file   string
	env    numbering.Env
	desk   numbering.Desk
	kept   *durable.Store // nil: versions do not survive a restart
	lookup config.Lookup
	client *enum.Client // nil: nobody is asked
}

// Names in the store: what stands, and the rules of a version by its digest.
const standingName = "standing"

// newNumbers brings back what was in force before, or reads the file. A program that is to route by
// number does not start without a good table.
func newNumbers(n *Node, o *config.Numbering) (*numbers, error) {
	r := &numbers{n: n, file: o.File}
	for _, k := range n.cfg.Settings.Classes {
		r.env.Classes = append(r.env.Classes, numbering.Class{Name: k.Name, Pools: k.Pools})
	}
	r.lookup = o.Lookup
	if len(o.Lookup.Servers) > 0 {
		var err error
		if r.client, err = enum.Dial(o.Lookup.Servers, o.Lookup.Suffix, portability.Defaults(len(o.Lookup.Servers))); err != nil {
			return nil, err
		}
	}
	if o.State != "" {
		var err error
		if r.kept, err = durable.Open(o.State); err != nil {
			return nil, err
		}
		if r.restore() {
			r.told("restored")
			return r, nil
		}
	}
	t, text, err := numbering.Read(r.file, r.envAt(n.now()))
	if err != nil {
		return nil, err
	}
	if err := r.save(t, text); err != nil {
		return nil, err
	}
	if err := r.desk.Load(n.now(), t); err != nil {
		return nil, err
	}
	if err := r.desk.Activate(n.now(), t.Digest(), "", 0); err != nil {
		return nil, err
	}
	if err := r.saveStanding(r.desk.Standing()); err != nil {
		return nil, err
	}
	r.told("file")
	return r, nil
}

// restore brings back the versions of before; false where there are none that are good. What is
// torn or damaged gives way to the last good one, and the log says so.
func (r *numbers) restore() bool {
	v, err := r.kept.Load(standingName)
	if errors.Is(err, durable.ErrNotFound) {
		return false
	}
	for _, bad := range v.Bad {
		r.n.log.Errorw("numbers_damaged", "file", bad)
	}
	if err != nil {
		r.n.log.Errorw("numbers_damaged", "err", err, "instead", r.file)
		return false
	}
	for _, v := range append([]durable.Value{v}, r.kept.History(standingName, v.Serial)...) {
		s, err := numbering.DecodeStanding(v.Data)
		if err == nil {
			for _, digest := range []string{s.Before, s.Next, s.Active} {
				if digest != "" {
					if e := r.load(digest); e != nil {
						r.n.log.Errorw("numbers_damaged", "digest", digest, "err", e)
					}
				}
			}
			if err = r.desk.Restore(r.n.now(), s); err == nil {
				return true
			}
		}
		r.n.log.Errorw("numbers_damaged", "standing", v.Serial, "err", err, "instead", "the one before")
	}
	return false
}

// envAt is what rules must fit, looked at from now on.
func (r *numbers) envAt(now time.Duration) numbering.Env {
	return numbering.Env{Classes: r.env.Classes, Now: now}
}

// load reads one version from the store.
func (r *numbers) load(digest string) error {
	v, err := r.kept.Load(digest)
	if err != nil {
		return err
	}
	t, err := numbering.Make(v.Data, r.envAt(r.n.now()))
	if err != nil {
		return err
	}
	if t.Digest() != digest {
		return fmt.Errorf("its digest is %s", t.Digest())
	}
	return r.desk.Load(r.n.now(), t)
}

// save keeps the rules of a version.
func (r *numbers) save(t *numbering.Table, text []byte) error {
	if r.kept == nil {
		return nil
	}
	if _, err := r.kept.Load(t.Digest()); err == nil {
		return nil // it is there
	}
	_, err := r.kept.Save(t.Digest(), text)
	return err
}

func (r *numbers) saveStanding(s numbering.Standing) error {
	if r.kept == nil {
		return nil
	}
	_, err := r.kept.Save(standingName, s.Encode())
	return err
}

// told logs and records the table in force.
func (r *numbers) told(why string) {
	t := r.desk.Active()
	r.n.log.Infow("numbers", "digest", t.Digest(), "version", t.Version, "entries", t.Entries(), "why", why)
	r.n.rec.table("numbers", t.Digest(), t.Version)
}

// tick puts in force what is due.
func (r *numbers) tick(now time.Duration) {
	if r != nil && r.desk.Tick(now) {
		r.told("due")
	}
}

// order begins what an operator asks for, on the loop; its disk work is done beside it, and then,
// on the loop again, calls done with how it ended (done may be nil).
func (r *numbers) order(o numbering.Order, done func(error)) (id uint64, err error) {
	id, standing, err := r.desk.Begin(r.n.now(), o)
	if err != nil {
		return 0, err
	}
	now := r.n.now()
	finish := func(end func() error) {
		r.n.exec(func() {
			r.n.turn(func() {
				err := end()
				if err != nil {
					r.n.log.Warnw("numbers_refused", "order", o.Op, "err", err)
				}
				if done != nil {
					done(err)
				}
			})
		})
	}
	go func() {
		if o.Op == numbering.OpLoad {
			t, text, err := numbering.Read(o.File, r.envAt(now))
			if err == nil {
				err = r.save(t, text)
			}
			finish(func() error {
				r.desk.Loaded(r.n.now(), t, err)
				if why := r.desk.Job().Err; why != "" {
					return errors.New(why)
				}
				return nil
			})
			return
		}
		err := r.saveStanding(*standing)
		if err == nil && r.kept != nil {
			r.tidy(*standing)
		}
		finish(func() error {
			before := r.desk.Active()
			err := r.desk.Finish(r.n.now(), err)
			if r.desk.Active() != before {
				r.told(o.Op)
			}
			return err
		})
	}()
	return id, nil
}

// tidy drops kept rules that no standing names, but for the latest few: they may be loaded.
func (r *numbers) tidy(s numbering.Standing) {
	names, err := r.kept.Names()
	if err != nil || len(names) <= mostKept {
		return
	}
	for _, name := range names {
		if name != standingName && name != s.Active && name != s.Before && name != s.Next && len(names) > mostKept {
			if r.kept.Delete(name) != nil {
				return
			}
			names = names[1:]
		}
	}
}

// mostKept bounds the versions on disk.
const mostKept = 32

// Route implements call.Router.
func (r *numbers) Route(now call.Time, q *call.Request) call.Route {
	pin := r.desk.Pin()
	t := pin.Table()
	ask := numbering.Query{Number: q.Number, Class: q.Class, At: now, Seed: numbering.Seed(q.ID)}
	d := t.Analyse(&ask)
	if d.Verdict == numbering.Ask {
		id := q.ID
		wait := r.budget(q.Class).Of(q.Deadline - now)
		if r.client != nil && wait > 0 && r.client.Ask(id, d.Number.String(), wait, func(res portability.Result) {
			r.n.exec(func() { r.n.turn(func() { r.found(id, pin, ask, res) }) })
		}) {
			return call.Route{Pending: true, Table: t.Digest(), Release: func() {
				r.client.Cancel(id)
				pin.Release()
			}}
		}
		ask.Ported.State = numbering.Undecided
		d = t.Analyse(&ask)
	}
	word := r.word(&ask, &d)
	word.Table, word.Release = t.Digest(), pin.Release
	return word
}

// found goes on with a call whose number was looked up, by the table that it began with.
func (r *numbers) found(id string, pin *numbering.Pin, ask numbering.Query, res portability.Result) {
	t := pin.Table()
	if t == nil {
		return // the call has ended meanwhile
	}
	ask.Ported = res.Ported
	d := t.Analyse(&ask)
	r.n.core.RouteResolved(id, r.word(&ask, &d))
}

// word is a decision as the core takes it.
func (r *numbers) word(ask *numbering.Query, d *numbering.Decision) call.Route {
	if ask.Ported.State == numbering.Undecided && r.lookup.Fallback == config.FallbackRefuse {
		return call.Route{Cause: call.CauseNoCircuit, RetryAfter: r.n.cfg.Settings.RetryAfter(undecidedWait)}
	}
	return call.Route{Pools: d.Pools(), Cause: d.Cause, Emergency: d.Emergency}
}

// undecidedWait is what callers are asked to keep away for where nobody can tell a number's way.
const undecidedWait = 2 * time.Second

// budget is what a look-up for a call of a class may take: two attempts that take half the wanted
// time each, the release guard between them and the answer must still fit behind it.
func (r *numbers) budget(class string) portability.Budget {
	b := portability.Budget{Attempt: 500 * time.Millisecond, Guard: r.n.cfg.Settings.RetryGuard, Answer: 10 * margin, Share: r.lookup.Share}
	for _, k := range r.n.cfg.Settings.Classes {
		if k.Name == class {
			b.Attempt = k.LatencyObjective / 2
		}
	}
	return b
}

// lookups counts them; ok is false where there are none.
func (r *numbers) lookups() (c portability.Counters, ok bool) {
	if r == nil || r.client == nil {
		return c, false
	}
	return r.client.Counters(), true
}

// audit tells of the table in force and of the look-ups.
func (r *numbers) audit() (all []*h248.Node) {
	if r == nil {
		return nil
	}
	t := r.desk.Active()
	all = append(all, adminapi.TableNode(t.Digest(), t.Version))
	if c, ok := r.lookups(); ok {
		all = append(all, adminapi.LookupsNode(&c))
	}
	return all
}

// close ends the look-ups once the loop has ended.
func (r *numbers) close() {
	if r != nil && r.client != nil {
		r.client.Close()
	}
}

// ReloadNumbers reads the table of numbers again, as SIGHUP asks for, and puts it in force for
// calls from then on: a load and an activation, as an operator would order them. A bad one is logged
// and changes nothing. It may be called from anywhere once the node has started.
func (n *Node) ReloadNumbers() {
	r := n.numbers
	if r == nil {
		return
	}
	failed := func(err error) {
		if err != nil {
			n.log.Warnw("reload_failed", "err", err)
		}
	}
	n.exec(func() {
		n.turn(func() {
			_, err := r.order(numbering.Order{Op: numbering.OpLoad, File: r.file}, func(err error) {
				if err != nil {
					failed(err)
					return
				}
				digest := r.desk.Job().Digest
				_, err = r.order(numbering.Order{Op: numbering.OpActivate, Digest: digest, Saw: r.desk.Active().Digest()}, failed)
				failed(err)
			})
			failed(err)
		})
	})
}

// orderNumbers takes an order from the admin address. The reply tells its job; how that ends is told
// by an audit.
func (n *Node) orderNumbers(c *h248.Command) ([]*h248.Node, *h248.Error) {
	if n.numbers == nil {
		return nil, &h248.Error{Code: h248.UnknownTermination, Text: "no section [numbers]"}
	}
	o, err := adminapi.ParseNumberingOrder(c)
	if err == nil {
		_, err = n.numbers.order(o, nil)
	}
	if err != nil {
		return nil, &h248.Error{Code: h248.BadValue, Text: err.Error()}
	}
	return adminapi.NumberingNodes(nil, n.numbers.desk.Job()), nil
}

var _ call.Router = (*numbers)(nil)
