package overload

import "time"

// Pacing of datagrams.
const (
	burstSize     = 64                    // datagrams that are sent together
	burstInterval = 10 * time.Millisecond // between two bursts
)

// Capacity of the outbox: outboxPerMember datagrams per member plus outboxReserve.
const (
	outboxPerMember = 2
	outboxReserve   = 16
)

// A Datagram is a datagram to be sent to another controller.
type Datagram struct {
	To      int // number of the receiving controller
	Payload []byte
}

// An outbox queues datagrams and releases them in bursts.
type outbox struct {
	queue     []Datagram
	capacity  int
	nextBurst Time
}

// enqueue adds a datagram, or drops it if the outbox is full: it would be outdated by the time it was sent.
func (o *outbox) enqueue(to int, payload []byte) {
	if len(o.queue) >= o.capacity {
		return
	}
	o.queue = append(o.queue, Datagram{To: to, Payload: payload})
}

func (o *outbox) isEmpty() bool { return len(o.queue) == 0 }

// takeBurst removes and returns the datagrams that may be sent now.
func (o *outbox) takeBurst(now Time) []Datagram {
	if o.isEmpty() || now < o.nextBurst {
		return nil
	}
	n := min(len(o.queue), burstSize)
	burst := o.queue[:n:n]
	o.queue = o.queue[n:]
	o.nextBurst = now + burstInterval
	return burst
}
