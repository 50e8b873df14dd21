package net

import (
	"fmt"
	"os"
	"time"

	"lapiscourse/internal/call"
	"lapiscourse/internal/config"
	"lapiscourse/internal/numbering"
)

// numbers routes calls by the table of numbers in force. It belongs to the loop; tables are read
// and compiled elsewhere and handed in whole.
type numbers struct {
	n    *Node
	file string
	env  numbering.Env
	reg  numbering.Registry
}

// newNumbers reads the table of the start. A program that is to route by number does not start
// with a table that is bad.
func newNumbers(n *Node, o *config.Numbers) (*numbers, error) {
	r := &numbers{n: n, file: o.File}
	for _, k := range n.cfg.Settings.Classes {
		r.env.Classes = append(r.env.Classes, numbering.Class{Name: k.Name, Pools: k.Pools})
	}
	t, err := ReadNumbers(r.file, r.env, n.now())
	if err != nil {
		return nil, err
	}
	return r, r.swap(t)
}

// ReadNumbers reads and compiles a file of rules. It takes seconds where there are a million
// prefixes, so it is never called on the loop of a node that serves.
func ReadNumbers(path string, env numbering.Env, now time.Duration) (*numbering.Table, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("numbers: %w", err)
	}
	rules, err := numbering.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("numbers: %s: %w", path, err)
	}
	env.Now = now
	t, err := numbering.Compile(rules, env)
	if err != nil {
		return nil, fmt.Errorf("numbers: %s: %w", path, err)
	}
	return t, nil
}

// swap puts a table in force. Calls that are there keep theirs.
func (r *numbers) swap(t *numbering.Table) error {
	now, saw := r.n.now(), ""
	if old := r.reg.Active(); old != nil {
		saw = old.Digest()
	}
	if err := r.reg.Load(now, t); err != nil {
		return err
	}
	if err := r.reg.Activate(now, t.Digest(), saw, 0); err != nil {
		return err
	}
	r.n.log.Infow("numbers", "digest", t.Digest(), "version", t.Version, "entries", t.Entries(), "before", saw)
	r.n.rec.configured("numbers", t.Digest()+" "+t.Version)
	return nil
}

// Route implements call.Router.
func (r *numbers) Route(now call.Time, q *call.Request) call.Routing {
	pin := r.reg.Pin()
	t := pin.Table()
	// Nobody looks numbers up yet: those that may have moved are routed as they are.
	d := t.Analyse(&numbering.Query{Number: q.Number, Class: q.Class, At: now, Seed: numbering.Seed(q.ID), Ported: numbering.Ported{State: numbering.Undecided}})
	return call.Routing{Pools: d.Pools(), Cause: d.Cause, Table: t.Digest(), Release: pin.Release}
}

// ReloadNumbers reads the table of numbers again, as SIGHUP asks for, and puts it in force for
// calls from then on. A bad one is logged and changes nothing. It may be called from anywhere but the
// loop, and takes as long as compiling does.
func (n *Node) ReloadNumbers() {
	r := n.numbers
	if r == nil {
		return
	}
	t, err := ReadNumbers(r.file, r.env, time.Duration(time.Now().UnixNano()))
	if err != nil {
		n.log.Warnw("reload_failed", "err", err)
		return
	}
	n.exec(func() {
		n.turn(func() {
			if err := r.swap(t); err != nil {
				n.log.Warnw("reload_failed", "err", err)
			}
		})
	})
}

var _ call.Router = (*numbers)(nil)
