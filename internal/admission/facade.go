package admission

import (
	"container/heap"
	"time"
)

// A Desk is the module in blocking style, for a host that does not want to know
// its events and actions: Pick hands in a call, Report says what became of an
// attempt, Tick lets time pass. It keeps the module's timers and decides nothing.
// Like the Controller it is not safe for concurrent use.
type Desk struct {
	c     *Controller
	bells bells
	later []Order // for other calls than the one at hand; Tick hands them out
	log   func(string)
	// Ceilings, if set, is told of each ceiling that changes.
	Ceilings func(Ceiling)
}

// A Request is a call that the module is asked to place.
type Request struct {
	Call   string
	Class  string
	Number string // the number called
	First  int    // pool of first choice
	Pools  []int  // pools it may go to, the preferred first; nil: those of its class
	Until  Time   // the caller gives up
	Cut    bool   // it stood, was cut and comes again
	Urgent bool   // an emergency: it comes first, as a call that was cut does
}

// A Stage says how far an attempt of which Report tells has come.
type Stage int

// Stages of an attempt.
const (
	Stood Stage = iota // the call stands
	Ended              // the attempt is over, as Code tells
	Left               // the caller left; Attempt does not count
	Told               // the server tells of itself by Load; Call and Attempt do not count
)

// A Progress is what Report tells of an attempt.
type Progress struct {
	Call, Server string
	Attempt      int
	Stage        Stage
	Code         Code
	Cause        Cause
	Hint         time.Duration // wait that a full server asks for; 0: none
	Took         time.Duration
	Load         Load
	Final        bool // the call is finished; no order for it is wanted
}

// A Move is what is to be done with a call.
type Move int

// Moves. With Hold the call stays open and a later Tick tells more.
const (
	Hold    Move = iota
	Try          // start an attempt at Server that may last for Wait
	Deny         // answer that the call is refused, and may come back after Wait
	GiveUp       // answer that the call has failed, and may come back after Wait
	CallOff      // end the attempt that is out
)

// An Order is the module's word on one call.
type Order struct {
	Call    string
	Move    Move
	Server  string
	Attempt int
	Wait    time.Duration
	Why     Why // as far as the module tells it
}

// NewDesk starts the module of a node. Lines for the staff go to log.
func NewDesk(now Time, set Settings, seed uint64, log func(string)) (*Desk, error) {
	c, err := New(set, seed)
	if err != nil {
		return nil, err
	}
	d := &Desk{c: c, log: log}
	d.take(c.Begin(now))
	return d, nil
}

// Late is what the module takes for a late answer.
func (d *Desk) Late() time.Duration { return d.c.late }

// Share has the module tell f what it does and ask it what the fleet holds back, from now on.
func (d *Desk) Share(f Fleet) { d.c.fleet = f }

// Pick asks where a call is to go.
func (d *Desk) Pick(now Time, r Request) Order {
	return d.one(r.Call, d.c.Handle(now, Ask{Call: r.Call, Class: r.Class, Number: r.Number,
		First: r.First, Pools: r.Pools, Until: r.Until, Cut: r.Cut || r.Urgent}))
}

// Report tells what became of an attempt and asks what is to follow.
func (d *Desk) Report(now Time, p Progress) Order {
	var e Event
	switch p.Stage {
	case Stood:
		e = Stands{Call: p.Call, Server: p.Server, Attempt: p.Attempt, Took: p.Took}
	case Ended:
		e = Returned{Call: p.Call, Server: p.Server, Attempt: p.Attempt, Code: p.Code,
			Cause: p.Cause, Hint: p.Hint, Took: p.Took, Terminal: p.Final, Load: p.Load}
	case Told:
		e = Probed{Server: p.Server, OK: true, Load: p.Load}
	default:
		e = Gone{Call: p.Call}
	}
	return d.one(p.Call, d.c.Handle(now, e))
}

// Tick lets time pass up to now and returns the orders that this brings.
func (d *Desk) Tick(now Time) []Order {
	orders := d.later
	d.later = nil
	for len(d.bells) > 0 && d.bells[0].At <= now {
		b := heap.Pop(&d.bells).(Defer)
		orders = append(orders, d.take(d.c.Handle(now, Bell{Key: b.Key}))...)
	}
	return orders
}

// Next is when Tick is due. The periods of the module never end, so there is always a time.
func (d *Desk) Next() Time {
	if len(d.later) > 0 || len(d.bells) == 0 {
		return 0
	}
	return d.bells[0].At
}

// List tells of the servers: all of them (full) or those that changed.
func (d *Desk) List(now Time, servers []Server, full bool) {
	d.later = append(d.later, d.take(d.c.Handle(now, List{Full: full, Cached: full, Servers: servers}))...)
}

// one returns the order for a call and keeps those for others.
func (d *Desk) one(call string, acts []Action) Order {
	found := Order{Call: call}
	for _, o := range d.take(acts) {
		if o.Call == call && found.Move == Hold {
			found = o
		} else {
			d.later = append(d.later, o)
		}
	}
	return found
}

// take turns actions into orders, sets timers and writes log lines.
func (d *Desk) take(acts []Action) (orders []Order) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			orders = append(orders, Order{Call: a.Call, Move: Try, Server: a.Server, Wait: a.Wait})
		case Refuse:
			orders = append(orders, Order{Call: a.Call, Move: Deny, Wait: a.Wait, Why: a.Why})
		case Fail:
			orders = append(orders, Order{Call: a.Call, Move: GiveUp, Wait: a.Wait, Why: a.Why})
		case Cancel:
			orders = append(orders, Order{Call: a.Call, Move: CallOff, Attempt: a.Attempt, Why: a.Why})
		case Defer:
			heap.Push(&d.bells, a)
		case Log:
			d.log(a.Text)
		case Ceiling:
			if d.Ceilings != nil {
				d.Ceilings(a)
			}
		}
	}
	return orders
}

// bells are the timers that run, the next to ring first.
type bells []Defer

func (b bells) Len() int           { return len(b) }
func (b bells) Less(i, j int) bool { return b[i].At < b[j].At }
func (b bells) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *bells) Push(x any)        { *b = append(*b, x.(Defer)) }
func (b *bells) Pop() any {
	old := *b
	x := old[len(old)-1]
	*b = old[:len(old)-1]
	return x
}
