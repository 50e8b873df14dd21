package net

import (
	"fmt"
	"log"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lapiscourse/internal/call"
	"lapiscourse/internal/net/jsonl"
	"lapiscourse/internal/net/sip"
)

// Times of the callers' side.
const (
	margin     = 5 * time.Millisecond // the last answer goes out so much before the caller gives up
	unheard    = time.Second          // a release on a connection that closes within this is said again
	keepUnsaid = 8 * time.Second      // a release that no connection could carry is dropped then
)

// jsonFront is the callers' side of the platform's protocol.
type jsonFront struct {
	n       *Node
	clients []*client // the one last heard from comes last
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
}

func (f *jsonFront) opened(c gnet.Conn) bool {
	if len(f.clients) >= f.max { // guards the socket budget
		i := slices.IndexFunc(f.clients, func(k *client) bool { return len(k.open) == 0 && !k.s.shut })
		if i < 0 {
			f.n.ClientsTurnedAway++
			return false
		}
		f.n.ClientsShut++
		f.n.close(f.clients[i].s)
	}
	f.n.Clients++
	k := &client{front: f, s: &stream{c: c}, open: make(map[string]bool)}
	c.SetContext(k)
	f.clients = append(f.clients, k)
	return true
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

// Release implements call.Front.
func (f *jsonFront) Release(asker call.Client, id string, cause int) {
	f.say(release{id: id, cause: cause, at: f.n.now(), asker: asker})
}

// carrier is the connection for a release: the one that asked for the call, else the
// one last heard from that has confirmed a release, else one that got a call to stand. It
// guards against connections that test the program or say nothing and stay: they read
// releases and tell nobody. If there are no others the latest must do (sure is false).
func (f *jsonFront) carrier(r release) (best *client, sure bool) {
	rank := -1
	for _, k := range slices.Backward(f.clients) {
		at := 0
		switch {
		case k.s.shut:
			continue
		case r.asker == call.Client(k):
			return k, true
		case k.heard:
			at = 2
		case k.asked:
			at = 1
		}
		if at > rank {
			best, rank = k, at
		}
	}
	return best, rank > 0
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
		f.unsaid = append(f.unsaid, r)
	}
}

func (k *client) closed() {
	f := k.front
	f.clients = slices.DeleteFunc(f.clients, func(other *client) bool { return other == k })
	f.n.core.Closed(k)
	now := f.n.now()
	for _, r := range k.said {
		if now-r.at < unheard { // it may have crossed the close
			f.say(release{id: r.id, cause: r.cause, at: now, asker: r.asker})
		}
	}
}

func (k *client) traffic(p []byte) {
	f := k.front
	if i := len(f.clients) - 1; f.clients[i] != k {
		f.clients = append(slices.DeleteFunc(f.clients, func(other *client) bool { return other == k }), k)
	}
	var bad error
	err := k.in.Feed(p, func(m *jsonl.Message) bool {
		bad = k.take(m)
		return bad == nil
	})
	if err == nil {
		err = bad
	}
	if err != nil {
		f.n.Malformed++
		log.Printf("event=malformed from=caller err=%q", err)
		f.n.close(k.s)
	}
}

func (k *client) take(m *jsonl.Message) error {
	n := k.front.n
	switch m.Verb {
	case jsonl.Start:
		r, err := k.request(m)
		if err != nil {
			return err
		}
		k.open[r.ID] = true
		n.core.SetUp(k, r)
	case jsonl.Finish:
		if !isID(m.Tag) {
			return fmt.Errorf("tag %.20q", m.Tag)
		}
		delete(k.open, m.Tag)
		if n.core.Hangup(m.Tag, m.RC) {
			n.write(k.s, func(b []byte) []byte {
				return jsonl.Append(b, &jsonl.Message{Verb: jsonl.Finished, Tag: m.Tag})
			})
		}
	case jsonl.Finished:
		said := len(k.said)
		k.said = slices.DeleteFunc(k.said, func(r release) bool { return r.id == m.Tag })
		k.heard = k.heard || len(k.said) < said
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

func (k *client) request(m *jsonl.Message) (call.Request, error) {
	r := call.Request{ID: m.Tag, Class: m.Opt("class"), Number: m.Opt("key"), First: -1, Description: m.Blob}
	if !isID(r.ID) {
		return r, fmt.Errorf("tag %.20q", m.Tag)
	}
	left, err := strconv.ParseFloat(m.Opt("left"), 64)
	if err != nil || !(left >= 0 && left < 1e9) {
		return r, fmt.Errorf("left %.20q", m.Opt("left"))
	}
	r.Until = k.front.n.now() + time.Duration(left*float64(time.Millisecond)) - margin
	if !sip.Clean(r.Class) || !sip.Clean(r.Number) {
		return r, fmt.Errorf("class %.20q or key %.20q", r.Class, r.Number)
	}
	for part := range strings.SplitSeq(m.Opt("extras"), ";") {
		name, value, _ := strings.Cut(part, ":")
		if name == "" {
			continue
		}
		v, err := strconv.Atoi(value)
		if err != nil {
			return r, fmt.Errorf("extras %.40q", m.Opt("extras"))
		}
		switch name {
		case "dest":
			r.First = v
		case "again":
			r.Cut = v == 1
		}
	}
	return r, nil
}

// Stands implements call.Client.
func (k *client) Stands(id string, description []byte) {
	delete(k.open, id)
	k.asked = true
	k.front.n.write(k.s, func(b []byte) []byte {
		return jsonl.Append(b, &jsonl.Message{Verb: jsonl.Started, Tag: id, Blob: description})
	})
}

// Refused implements call.Client.
func (k *client) Refused(id string, cause int, wait time.Duration) {
	delete(k.open, id)
	m := &jsonl.Message{Verb: jsonl.Finish, Tag: id, RC: cause, HasRC: true}
	if wait > 0 {
		m.Opts = []jsonl.Opt{{Name: "wait", Value: strconv.FormatInt(wait.Milliseconds(), 10)}}
	}
	k.front.n.write(k.s, func(b []byte) []byte { return jsonl.Append(b, m) })
}

// Front implements call.Client.
func (k *client) Front() call.Front { return k.front }
