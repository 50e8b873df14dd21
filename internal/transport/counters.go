package transport

import "sync/atomic"

// Counters count the datagrams of a Conn.
type Counters struct {
	Sent           uint64
	Dropped        uint64 // not sent: the queue was full or the system refused
	Arrived        uint64
	Overrun        uint64 // dropped on arrival: too many were waiting for Receive
	UnknownSenders uint64 // from an address that is not a peer's
	Forged         uint64 // without a valid signature
	TooLong        uint64 // sent or arrived
}

// counters are Counters that several goroutines increment.
type counters struct {
	sent, dropped, arrived, overrun, unknownSenders, forged, tooLong atomic.Uint64
}

// snapshot returns the present values.
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
