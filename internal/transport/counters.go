package transport

import "sync/atomic"

// Counters count the datagrams of a Conn by outcome.
type Counters struct {
	Sent           uint64
	Dropped        uint64 // not sent: the queue was full or the write failed
	Arrived        uint64
	Overrun        uint64 // dropped on arrival: the receive queue was full
	UnknownSenders uint64 // from an address that is not a peer's
	Forged         uint64 // without a valid signature
	TooLong        uint64 // longer than MaxDatagramBytes, outgoing or incoming
}

// counters is the concurrent form of Counters.
type counters struct {
	sent, dropped, arrived, overrun, unknownSenders, forged, tooLong atomic.Uint64
}

// snapshot returns the current values.
func (c *counters) snapshot() Counters {
	return Counters{
		Sent:           c.sent.Load(),
		Dropped:        c.dropped.Load(),
		Arrived:        c.arrived.Load(),
		Overrun:        c.overrun.Load(),
		UnknownSenders: c.unknownSenders.Load(),
		Forged:         c.forged.Load(),
		TooLong:        c.tooLong.Load(),
	}
}
