// Package transaction holds what both sides of H.248 in this program share: the store that makes transactions
// at-most-once, the framing of single transactions, and the events and descriptors of the project's own package 'oc'.
package transaction

import (
	"strconv"
	"time"

	"olivedale/internal/codec/h248"
)

// LongTimer is how long a reply is kept for repeats of its transaction (LONG-TIMER of RFC 3525, Annex D.1.5).
const LongTimer = 30 * time.Second

const (
	expiryInterval     = time.Second
	replyBytesPerEntry = 1 << 9 // the bound on the bytes of all replies, for each entry that the store may hold
	maxAckRange        = 16     // wider acknowledged ranges are left to LongTimer
)

// A Store makes transactions at-most-once: it keeps each one's reply, whatever connection the transaction came on.
type Store struct {
	entries    map[string]*Entry
	expiredAt  time.Duration // when old entries were last dropped
	maxEntries int           // past that, or past the bound on bytes, new transactions are not taken
	replyBytes int
}

// An Entry is a transaction that was received.
type Entry struct {
	reply []byte // nil while the transaction runs
	at    time.Duration
}

// Reply returns the framed reply; nil while the transaction runs.
func (e *Entry) Reply() []byte { return e.reply }

// NewStore returns a store of at most maxEntries transactions.
func NewStore(maxEntries int) *Store {
	return &Store{entries: make(map[string]*Entry), maxEntries: maxEntries}
}

// Len returns the number of transactions that are remembered.
func (s *Store) Len() int { return len(s.entries) }

// ReplyBytes returns the size of all replies that are kept.
func (s *Store) ReplyBytes() int { return s.replyBytes }

// key names a transaction by the message id of its sender and its own id.
func key(messageID string, id uint32) string {
	return strconv.FormatUint(uint64(id), 10) + " " + messageID
}

// Begin returns the entry of a transaction and whether it is new. The entry is nil if too many are remembered: what
// could not be remembered might run twice.
func (s *Store) Begin(messageID string, id uint32, now time.Duration) (e *Entry, isNew bool) {
	s.expire(now)
	k := key(messageID, id)
	if e := s.entries[k]; e != nil {
		return e, false
	}
	if len(s.entries) >= s.maxEntries || s.replyBytes >= s.maxEntries*replyBytesPerEntry {
		return nil, false
	}
	e = &Entry{at: now}
	s.entries[k] = e
	return e, true
}

// expire drops replies older than LongTimer, at most once in expiryInterval.
func (s *Store) expire(now time.Duration) {
	if now-s.expiredAt <= expiryInterval {
		return
	}
	s.expiredAt = now
	for k, e := range s.entries {
		if e.reply != nil && now-e.at > LongTimer {
			s.drop(k, e)
		}
	}
}

// Complete keeps the framed reply to a transaction.
func (s *Store) Complete(e *Entry, reply []byte, now time.Duration) {
	s.replyBytes += len(reply)
	e.reply = reply
	e.at = now
}

func (s *Store) drop(k string, e *Entry) {
	s.replyBytes -= len(e.reply)
	delete(s.entries, k)
}

// Acknowledge drops the replies that the other side acknowledges, by ranges of transaction ids. One acknowledgement
// can name any range, so only narrow ones are gone through; wider ones end by LongTimer.
func (s *Store) Acknowledge(messageID string, ranges [][2]uint32) {
	for _, r := range ranges {
		if r[1]-r[0] >= maxAckRange {
			continue
		}
		for id := uint64(r[0]); id <= uint64(r[1]); id++ {
			k := key(messageID, uint32(id))
			if e := s.entries[k]; e != nil && e.reply != nil {
				s.drop(k, e)
			}
		}
	}
}

// Frame returns the message of one transaction as it is sent. One that is too long becomes an error reply.
func Frame(messageID string, t *h248.Transaction) []byte {
	b, err := h248.AppendFrame(nil, &h248.Message{MID: messageID, Transactions: []*h248.Transaction{t}})
	if err != nil {
		tooLong := &h248.Transaction{
			Kind: t.Kind,
			ID:   t.ID,
			Err:  &h248.Error{Code: errorReplyTooLong, Text: "the reply is over 16 KiB"},
		}
		b, _ = h248.AppendFrame(nil, &h248.Message{MID: messageID, Transactions: []*h248.Transaction{tooLong}})
	}
	return b
}

// errorReplyTooLong is H.248's error code for a response that exceeds the maximum size of a message.
const errorReplyTooLong = 533

// MessageID returns the message identifier by which a controller of a name goes.
func MessageID(name string) string { return "<" + name + ">" }
