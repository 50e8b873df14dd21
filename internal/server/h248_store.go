package server

import (
	"strconv"
	"time"

	"olivedale/internal/codec/h248"
)

// longTimer is how long a reply is kept for repeats of its transaction (LONG-TIMER
// of RFC 3525, Annex D.1.5).
const longTimer = 30 * time.Second

// A store makes transactions at-most-once: it keeps each one's reply, whatever
// connection the transaction came on.
type store struct {
	seen  map[string]*entry
	swept time.Duration
	most  int // entries; past that, or half a KiB for each, new transactions are not taken
	bytes int // of the replies
}

// An entry is a transaction that came.
type entry struct {
	reply []byte // nil while it is being carried out
	at    time.Duration
}

func newStore(most int) *store { return &store{seen: make(map[string]*entry), most: most} }

func key(mid string, id uint32) string { return strconv.FormatUint(uint64(id), 10) + " " + mid }

// begin tells whether a transaction is new, and takes it down if so; there is no entry if
// too many are remembered.
func (s *store) begin(mid string, id uint32, now time.Duration) (*entry, bool) {
	if now-s.swept > time.Second {
		s.swept = now
		for k, e := range s.seen {
			if e.reply != nil && now-e.at > longTimer {
				s.drop(k, e)
			}
		}
	}
	k := key(mid, id)
	if e := s.seen[k]; e != nil {
		return e, false
	}
	if len(s.seen) >= s.most || s.bytes >= s.most<<9 {
		return nil, false // guards memory: what could not be remembered might run twice
	}
	e := &entry{at: now}
	s.seen[k] = e
	return e, true
}

// keep takes down the reply to a transaction.
func (s *store) keep(e *entry, reply []byte, now time.Duration) {
	s.bytes += len(reply)
	e.reply, e.at = reply, now
}

func (s *store) drop(k string, e *entry) {
	s.bytes -= len(e.reply)
	delete(s.seen, k)
}

// forget drops the replies that the other side acknowledges. One acknowledgement
// can name any range, so the entries are gone through and not the range.
func (s *store) forget(mid string, ranges [][2]uint32) {
	for _, r := range ranges {
		if r[1]-r[0] < 16 {
			for id := uint64(r[0]); id <= uint64(r[1]); id++ {
				if e := s.seen[key(mid, uint32(id))]; e != nil && e.reply != nil {
					s.drop(key(mid, uint32(id)), e)
				}
			}
		} // wider ones end by the timer
	}
}

// frame writes a message of one transaction; what is too long becomes an error reply.
func frame(mid string, t *h248.Transaction) []byte {
	b, err := h248.AppendFrame(nil, &h248.Message{MID: mid, Transactions: []*h248.Transaction{t}})
	if err != nil {
		b, _ = h248.AppendFrame(nil, &h248.Message{MID: mid, Transactions: []*h248.Transaction{{Kind: t.Kind, ID: t.ID,
			Err: &h248.Error{Code: 533, Text: "the reply is over 16 KiB"}}}})
	}
	return b
}

// relEvent is the event by which a call's end is told. The package 'oc' is the
// project's own; docs/architecture.md lists what it holds.
const relEvent = "oc/rel"

// observed is the descriptor that tells of a release.
func observed(cause int) *h248.Node {
	return &h248.Node{Name: "ObservedEvents", Value: "1", Kids: []*h248.Node{
		{Name: relEvent, Kids: []*h248.Node{{Name: "cause", Value: strconv.Itoa(cause)}}}}}
}

// released reads it; ok is false if another event is told.
func released(c *h248.Command) (cause int, ok bool) {
	if h248.Find(c.Descriptors, "ObservedEvents", relEvent) == nil {
		return 0, false
	}
	cause, err := strconv.Atoi(h248.Value(c.Descriptors, "ObservedEvents", relEvent, "cause"))
	return cause, err == nil
}

// description returns the octets of Local or Remote, also from within a Stream.
func description(c *h248.Command, name string) ([]byte, bool) {
	for _, path := range [][]string{{"Media", name}, {"Media", "Stream", name}} {
		if n := h248.Find(c.Descriptors, path...); n != nil && n.Octets != nil {
			return n.Octets, true
		}
	}
	return nil, false
}
