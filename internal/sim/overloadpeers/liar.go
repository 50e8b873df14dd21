package overloadpeers

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"olivedale/internal/overload"
	"olivedale/internal/sim/scenario"
)

// A liar has the fleet's key and tells all others, as one who reports and as a teller, that no server is
// pressed or that all are. Its messages are written here by the form that docs/design/overload.md gives, so
// that the product has no code for lies.
type liar struct {
	self, peers int
	boot, seq   uint32
	keys        []uint32
	pressed     bool
	next        time.Duration
	say         func(to int, b []byte)
}

func newLiar(sc *scenario.Scenario, self int, boot uint32, now time.Duration, say func(to int, b []byte)) *liar {
	l := &liar{self: self, peers: sc.Fleet.Controllers, boot: boot, pressed: sc.Fleet.Lie == scenario.LiePressed, next: now + time.Second, say: say}
	for i := range sc.Fleet.Exchanges {
		l.keys = append(l.keys, overload.ServerKey(fmt.Sprint("x", i)))
	}
	return l
}

// Hears implements virtual.Sharer: it does not listen.
func (l *liar) Hears(time.Duration, int, []byte) {}

// Next implements virtual.Sharer.
func (l *liar) Next() time.Duration { return l.next }

// Tick implements virtual.Sharer: twice a second it lies to everybody.
func (l *liar) Tick(now time.Duration) {
	l.next = now + 500*time.Millisecond
	l.seq++
	for to := range l.peers {
		if to != l.self {
			l.say(to, Report(l.self, l.boot, l.seq, l.keys, l.pressed))
			l.say(to, Word(l.self, l.boot, l.seq, l.keys, l.pressed))
		}
	}
}

func head(kind byte, self int, boot, seq uint32) []byte {
	b := protowire.AppendVarint([]byte{1<<4 | kind}, uint64(self))
	return protowire.AppendVarint(protowire.AppendVarint(b, uint64(boot)), uint64(seq))
}

// Report is that of a controller that offers a thousand calls of each tier to each server, of which all are
// answered at once, or has had none answered for half a minute.
func Report(self int, boot, seq uint32, keys []uint32, pressed bool) []byte {
	b := protowire.AppendVarint(head(1, self, boot, seq), 50<<1|1)
	for _, k := range keys[:min(len(keys), 12)] {
		if b = append(b, byte(k>>16), byte(k>>8), byte(k)); pressed {
			b = append(b, 0b1100_1111) // four tiers, and a wait
		} else {
			b = append(b, 0b0110_1111) // four tiers, answers and a wait
		}
		for range 4 {
			b = protowire.AppendVarint(b, 1000)
		}
		if pressed {
			b = protowire.AppendVarint(b, 3000)
		} else {
			b = protowire.AppendVarint(protowire.AppendVarint(b, 4000), 1)
		}
	}
	return b
}

// Word is that of a teller by which all is held back but calls that were cut, or by which all may go though
// servers are said to be a little pressed.
func Word(self int, boot, seq uint32, keys []uint32, pressed bool) []byte {
	b := protowire.AppendVarint(head(2, self, boot, seq), 1)
	for _, k := range keys[:min(len(keys), 24)] {
		if b = append(b, byte(k>>16), byte(k>>8), byte(k)); pressed {
			b = protowire.AppendVarint(append(b, 2, 250, 250), 3000)
		} else {
			b = protowire.AppendVarint(append(b, 0, 1, 0), 10)
		}
	}
	return b
}
