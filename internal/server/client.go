package server

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/codec/sip"
)

// Times of the callers' side.
const (
	margin     = 5 * time.Millisecond  // the last answer goes out so much before the caller gives up
	unheard    = time.Second           // a release on a connection that closes within this is said again
	keepUnsaid = 8 * time.Second       // a release that no connection could carry is dropped then
	crossing   = 50 * time.Millisecond // a first set-up may be on its way for so long
)

// jsonFront is the callers' side of the platform's protocol.
type jsonFront struct {
	n       *Node
	clients roster[*client]
	ranks   [3]roster[*client] // the same by how sure they are to pass a release on, see rank
	silent  roster[*client]    // those that may be overdue
	max     int
	unsaid  []release // no connection was open that has asked for calls
}

type release struct {
	id    string
	cause int
	at    time.Duration
	asker call.Client // asked for the call; nil: not known
	on    *client     // carried it, but may not pass it on
}

// A client is one connection from a caller.
type client struct {
	front *jsonFront
	s     *stream
	in    jsonl.Reader
	open  map[string]bool // set-ups that are not answered
	said  []release       // not confirmed
	asked bool            // a call stood that it asked for
	heard bool            // it has confirmed a release

	seat, rankSeat, silentSeat seat
	at                         int // its rank
}

// rank is how sure a connection is to pass a release on: one that has confirmed some, one that got a
// call to stand, any other.
func (k *client) rank() int {
	switch {
	case k.heard:
		return 2
	case k.asked:
		return 1
	}
	return 0
}

// rise seats a connection by its rank once that has changed.
func (k *client) rise() {
	if r := k.rank(); r != k.at && k.rankSeat != nil {
		k.front.ranks[k.at].leave(&k.rankSeat)
		k.at, k.rankSeat = r, k.front.ranks[r].add(k)
	}
}

func (f *jsonFront) opened(c gnet.Conn) bool {
	if f.clients.len() >= f.max { // guards the socket budget
		k := f.idlest()
		if k == nil {
			f.n.ClientsTurnedAway++
			return false
		}
		f.n.ClientsShut++
		f.n.close(k.s)
	}
	f.n.Clients++
	k := &client{front: f, s: &stream{c: c, born: f.n.now(), caller: true}, open: make(map[string]bool)}
	c.SetContext(k)
	k.seat, k.rankSeat, k.silentSeat = f.clients.add(k), f.ranks[0].add(k), f.silent.add(k)
	return true
}

// idlest is the connection to close for a new one, of those without an open set-up: one
// that never had a call stand, else the one not heard from for longest. A silent one whose
// first set-up may be on its way comes last.
func (f *jsonFront) idlest() *client {
	now := f.n.now()
	var found, young *client
	for k := range f.clients.oldest() {
		switch {
		case len(k.open) > 0 || k.s.shut:
		case !k.s.spoke && now-k.s.born < crossing:
			if young == nil {
				young = k
			}
		case f.n.speaks(k.s, k.traffic):
		case !k.asked:
			return k
		case found == nil:
			found = k
		}
	}
	if found == nil {
		return young
	}
	return found
}

// sweep closes connections that are silent or stop half way.
func (f *jsonFront) sweep(now time.Duration) {
	for k := range f.silent.oldest() {
		if !k.s.overdue(now) {
			break // those behind it have been silent for less long
		}
		if !k.s.shut && len(k.open) == 0 && !f.n.speaks(k.s, k.traffic) {
			f.n.ClientsSilent++
			f.n.close(k.s)
		}
	}
	f.sayAgain()
}

func (f *jsonFront) sayAgain() {
	unsaid := f.unsaid
	f.unsaid = nil
	now := f.n.now()
	for _, r := range unsaid {
		if now-r.at < keepUnsaid {
			f.say(r)
		} else {
			f.n.ReleasesLost++
		}
	}
}

// NotifyRelease implements call.Front.
func (f *jsonFront) NotifyRelease(asker call.Client, id string, cause int) {
	f.say(release{id: id, cause: cause, at: f.n.now(), asker: asker})
}

// carrier is the connection for a release: the one that asked for the call, else the
// one last heard from that has confirmed a release, else one that got a call to stand. It
// guards against connections that test the program or say nothing and stay: they read
// releases and tell nobody. If there are no others the latest must do (sure is false).
func (f *jsonFront) carrier(r release) (best *client, sure bool) {
	if k, ok := r.asker.(*client); ok && k.seat != nil && !k.s.shut {
		return k, true
	}
	for rank := len(f.ranks) - 1; rank >= 0; rank-- {
		for k := range f.ranks[rank].latest() {
			if !k.s.shut {
				return k, rank > 0
			}
		}
	}
	return nil, false
}

// say writes a release. What no sure connection could carry is said again on the
// next that turns out to be one.
func (f *jsonFront) say(r release) {
	k, sure := f.carrier(r)
	if k != nil && (sure || r.on == nil || r.on.s.shut) {
		r.on = k
		f.n.ReleasesSaid++
		f.n.write(k.s, func(b []byte) []byte {
			return jsonl.Append(b, &jsonl.Message{Verb: jsonl.Finish, Tag: r.id, RC: r.cause, HasRC: true})
		})
	}
	if sure {
		k.said = append(slices.DeleteFunc(k.said, func(old release) bool { return r.at-old.at > unheard }), r)
	} else {
		if len(f.unsaid) >= f.n.cfg.MemoryMB<<7 { // guards memory against exchanges that release while no caller is there
			f.unsaid = f.unsaid[1:]
			f.n.ReleasesLost++
		}
		f.unsaid = append(f.unsaid, r)
	}
}

func (k *client) closed() {
	f := k.front
	f.clients.leave(&k.seat)
	f.ranks[k.at].leave(&k.rankSeat)
	f.silent.leave(&k.silentSeat)
	if len(k.open) > 0 {
		f.n.core.CallerDisconnected(k)
	}
	now := f.n.now()
	for _, r := range k.said {
		if now-r.at < unheard { // it may have crossed the close
			f.say(release{id: r.id, cause: r.cause, at: now, asker: r.asker})
		}
	}
}

func (k *client) traffic(p []byte) {
	f := k.front
	f.clients.heard(k.seat)
	f.ranks[k.at].heard(k.rankSeat)
	var bad error
	spoke := false
	err := k.in.Feed(p, func(m *jsonl.Message) bool {
		bad = k.take(m)
		spoke = true
		return bad == nil
	})
	if err == nil {
		err = bad
	}
	if err != nil {
		f.n.malformed("caller", err)
		f.n.close(k.s)
		return
	}
	now := f.n.now()
	k.s.read(now, spoke, k.in.Half())
	if k.seat != nil {
		f.silent.watch(&k.silentSeat, k, k.s, now)
	}
}

func (k *client) take(m *jsonl.Message) error {
	n := k.front.n
	switch m.Verb {
	case jsonl.Start:
		r, possible, err := k.request(m)
		if err != nil {
			return err
		}
		if !possible {
			n.Impossible++
			n.core.RejectInvalid(k, r)
			return nil
		}
		if n.ending() {
			n.core.RejectShuttingDown(k, r)
			return nil
		}
		mine := k.open[r.ID]
		k.open[r.ID] = true
		if err := n.core.Offer(k, r); err != nil {
			if !mine {
				delete(k.open, r.ID)
			}
			return fmt.Errorf("tag %s: %w", r.ID, err)
		}
	case jsonl.Finish:
		if !isID(m.Tag) {
			return fmt.Errorf("tag %.20q", m.Tag)
		}
		delete(k.open, m.Tag)
		if n.core.ReleaseByCaller(m.Tag, m.RC) {
			n.write(k.s, func(b []byte) []byte {
				return jsonl.Append(b, &jsonl.Message{Verb: jsonl.Finished, Tag: m.Tag})
			})
		}
	case jsonl.Finished:
		said := len(k.said)
		k.said = slices.DeleteFunc(k.said, func(r release) bool { return r.id == m.Tag })
		k.heard = k.heard || len(k.said) < said
		k.rise()
	case jsonl.Echo:
		n.Tests++
		n.write(k.s, func(b []byte) []byte {
			return jsonl.Append(b, &jsonl.Message{Verb: jsonl.Echoed, Tag: m.Tag, RC: 1, HasRC: true})
		})
	case jsonl.Pending, jsonl.Load: // mean nothing here
	default:
		return fmt.Errorf("verb %.20q", m.Verb)
	}
	return nil
}

// lastWords takes what a connection brought before it broke: releases count on whatever connection they come.
// The set-ups on it have lost their caller.
func (k *client) lastWords(p []byte) {
	_ = k.in.Feed(p, func(m *jsonl.Message) bool {
		return m.Verb == jsonl.Start || k.take(m) == nil
	})
}

// isID tells whether a text is a call's id; anything else must not reach a header.
func isID(s string) bool {
	if len(s) != 16 {
		return false
	}
	for i := range len(s) {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return true
}

// request reads a set-up. One that can be read and makes no sense is not possible: its
// caller is told so, and no exchange is troubled with it.
func (k *client) request(m *jsonl.Message) (r call.Request, possible bool, err error) {
	n := k.front.n
	r = call.Request{ID: m.Tag, Class: m.Opt("class"), Number: m.Opt("key"), PreferredPool: -1, Description: m.Blob}
	if !isID(r.ID) {
		return r, false, fmt.Errorf("tag %.20q", m.Tag)
	}
	left, err := strconv.ParseFloat(m.Opt("left"), 64)
	if err != nil || !(left >= 0 && left < 1e9) {
		return r, false, fmt.Errorf("left %.20q", m.Opt("left"))
	}
	r.RepeatUnsafe = n.cfg.RepeatUnsafe(r.Class)
	r.Deadline = n.until(r.Class, time.Duration(left*float64(time.Millisecond)))
	if !sip.Clean(r.Class) || !sip.Clean(r.Number) {
		return r, false, fmt.Errorf("class %.20q or key %.20q", r.Class, r.Number)
	}
	width := 1
	for part := range strings.SplitSeq(m.Opt("extras"), ";") {
		name, value, _ := strings.Cut(part, ":")
		if name == "" {
			continue
		}
		v, err := strconv.Atoi(value)
		if err != nil {
			return r, false, fmt.Errorf("extras %.40q", m.Opt("extras"))
		}
		switch name {
		case "dest":
			r.PreferredPool = v
		case "width":
			width = v
		case "again":
			r.Reestablish = v == 1
		}
	}
	return r, width >= 1 && width <= n.cfg.MaxCircuits(r.Class) && n.possible(r.Class, r.PreferredPool), nil
}

// until is when a caller of a class who waits for so long gives up. It guards the module's timers
// against callers who claim to wait for days: nobody waits for longer than the class's own deadline.
func (n *Node) until(class string, left time.Duration) time.Duration {
	return n.now() + min(left, n.cfg.Deadline(class)) - margin
}

// possible tells whether a class may go to a pool; -1 stands for none in particular. Of
// classes that do not exist the module is asked.
func (n *Node) possible(class string, first int) bool {
	i := slices.IndexFunc(n.cfg.Settings.Classes, func(k admission.Class) bool { return k.Name == class })
	if i < 0 || first == -1 {
		return true
	}
	pools := n.cfg.Settings.Classes[i].Pools
	return first >= 0 && (pools == nil || slices.Contains(pools, first))
}

// CallEstablished implements call.Client.
func (k *client) CallEstablished(id string, description []byte) {
	delete(k.open, id)
	k.asked = true
	k.rise()
	k.s.told = append(k.s.told, id)
	k.front.n.write(k.s, func(b []byte) []byte {
		return jsonl.Append(b, &jsonl.Message{Verb: jsonl.Started, Tag: id, Blob: description})
	})
}

// CallRejected implements call.Client.
func (k *client) CallRejected(id string, cause int, wait time.Duration) {
	delete(k.open, id)
	m := &jsonl.Message{Verb: jsonl.Finish, Tag: id, RC: cause, HasRC: true}
	if wait > 0 {
		m.Opts = []jsonl.Opt{{Name: "wait", Value: strconv.FormatInt(wait.Milliseconds(), 10)}}
	}
	k.front.n.write(k.s, func(b []byte) []byte { return jsonl.Append(b, m) })
}

// CallForgotten implements call.Client. It guards the connection's table against set-ups that are given
// up, or asked for again, on another connection: nothing else would take them off it.
func (k *client) CallForgotten(id string) { delete(k.open, id) }

// Frontend implements call.Client.
func (k *client) Frontend() call.Frontend { return k.front }
