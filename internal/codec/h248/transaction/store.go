// Package transaction contains the code shared by the H.248 frontend and backend: a store that ensures at-most-once
// execution of transactions, the framing of single transactions, and the release event of the project's H.248 package
// 'oc'.
package transaction

import (
	"strconv"
	"time"

	"olivedale/internal/codec/h248"
)

// LongTimer is how long a reply is kept for repeats of its transaction (LONG-TIMER in RFC 3525, Annex D.1.5).
const LongTimer = 30 * time.Second

const (
	expiryInterval     = time.Second
	replyBytesPerEntry = 1 << 9 // limit on the total size of all replies, per entry of the maximum number of entries
	maxAckRange        = 16     // replies in wider acknowledged ranges expire after LongTimer
)

// A Store ensures that transactions are executed at most once. It keeps the reply to each transaction independently of
// the connection on which the transaction was received.
type Store struct {
	entries    map[string]*Entry
	lastExpiry time.Duration // when expired entries were last dropped
	maxEntries int           // new transactions are refused beyond this number, or beyond the limit on replyBytes
	replyBytes int
}

// An Entry is a received transaction. updatedAt is when it was received or, later, when its reply was stored.
type Entry struct {
	reply      []byte // nil while the transaction is running
	updatedAt  time.Duration
	digest     uint64 // of the transaction
	isReplaced bool   // by a transaction of the sender's next process; no longer in the store
}

// Reply returns the framed reply, or nil while the transaction is running.
func (e *Entry) Reply() []byte { return e.reply }

// NewStore returns a store for at most maxEntries transactions.
func NewStore(maxEntries int) *Store {
	return &Store{entries: make(map[string]*Entry), maxEntries: maxEntries}
}

// Len returns the number of stored transactions.
func (s *Store) Len() int { return len(s.entries) }

// ReplyBytes returns the total size of the stored replies.
func (s *Store) ReplyBytes() int { return s.replyBytes }

// key returns the map key of a transaction, made of the message id of its sender and the transaction id.
func key(messageID string, id uint32) string {
	return strconv.FormatUint(uint64(id), 10) + " " + messageID
}

// Begin returns the entry of a transaction and whether it is new. A different transaction with the same id comes from
// another process of its sender, which numbers its transactions anew, and is new. The entry is nil if the store is
// full. The transaction must not be executed then, because a repeat would be executed again.
func (s *Store) Begin(messageID string, t *h248.Transaction, now time.Duration) (e *Entry, isNew bool) {
	s.expire(now)
	k := key(messageID, t.ID)
	digest := digest(t)
	if e := s.entries[k]; e != nil {
		if e.digest == digest {
			return e, false
		}
		s.drop(k, e)
		e.isReplaced = true
	}
	if len(s.entries) >= s.maxEntries || s.replyBytes >= s.maxEntries*replyBytesPerEntry {
		return nil, false
	}
	e = &Entry{updatedAt: now, digest: digest}
	s.entries[k] = e
	return e, true
}

// expire drops replies older than LongTimer. It scans the store at most once per expiryInterval.
func (s *Store) expire(now time.Duration) {
	if now-s.lastExpiry <= expiryInterval {
		return
	}
	s.lastExpiry = now
	for k, e := range s.entries {
		if e.reply != nil && now-e.updatedAt > LongTimer {
			s.drop(k, e)
		}
	}
}

// Complete stores the framed reply to a transaction.
func (s *Store) Complete(e *Entry, reply []byte, now time.Duration) {
	if !e.isReplaced {
		s.replyBytes += len(reply)
	}
	e.reply = reply
	e.updatedAt = now
}

func (s *Store) drop(k string, e *Entry) {
	s.replyBytes -= len(e.reply)
	delete(s.entries, k)
}

// Acknowledge drops the replies that the peer acknowledges, given as ranges of transaction ids. An acknowledgement can
// contain ranges of any width, so only ranges of up to maxAckRange ids are processed; replies in wider ranges expire
// after LongTimer.
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

// Frame returns the framed message with a single transaction. A transaction that is too long is replaced by an error
// reply.
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

// errorReplyTooLong is the H.248 error code for a response that exceeds the maximum message size.
const errorReplyTooLong = 533

// MessageID returns the H.248 message identifier of the controller with the given name.
func MessageID(name string) string { return "<" + name + ">" }
