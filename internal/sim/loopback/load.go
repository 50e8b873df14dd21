package loopback

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"olivedale/internal/codec/jsonl"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/scenario"
)

// A Load sets calls up on call controllers in an open loop: calls come whether or not those before were
// answered, and how long one took counts from when it was to be sent, so that a stall of either side
// shows. It stops by itself.
type Load struct {
	Addrs   []string // of the platform's front of the controllers
	Rate    float64  // calls a second over all
	For     time.Duration
	Left    time.Duration // that callers wait
	Pools   int
	Classes []scenario.Class
	Seed    uint64
	Open    int // set-ups that may be open at once; past it calls are counted as not sent
	// Saw, if set, is told what passes at controllers' fronts, in the order of each call: Nodes are the
	// names of those at Addrs.
	Saw   func(invariant.Event)
	Nodes []string

	mu    sync.Mutex
	calls map[string]*loadCall
	stats []LoadStats // by address
	away  []bool      // by address: no calls go there
	conns []*loadConn
}

// LoadStats are what callers got.
type LoadStats struct {
	Sent, Stood, Refused, Failed, GaveUp, Ended, Cut, NotSent, Lost int
	Took                                                            *hdrhistogram.Histogram // in microseconds, until calls stood
}

type loadCall struct {
	due    time.Time
	conn   *loadConn
	stands bool
	timer  *time.Timer
}

type loadConn struct {
	l    *Load
	i    int // of Addrs
	addr string
	mu   sync.Mutex
	c    net.Conn
}

// Stats are those of now, of all addresses.
func (l *Load) Stats() LoadStats {
	all := NewLoadStats()
	for i := range l.Addrs {
		all.Add(l.StatsOf(i))
	}
	return all
}

// StatsOf are those of now of one address.
func (l *Load) StatsOf(i int) LoadStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i >= len(l.stats) {
		return NewLoadStats()
	}
	s := l.stats[i]
	s.Took = hdrhistogram.Import(s.Took.Export())
	return s
}

// Add adds what other callers got.
func (s *LoadStats) Add(o LoadStats) {
	s.Sent, s.Stood, s.Refused, s.Failed = s.Sent+o.Sent, s.Stood+o.Stood, s.Refused+o.Refused, s.Failed+o.Failed
	s.GaveUp, s.Ended, s.Cut, s.NotSent, s.Lost = s.GaveUp+o.GaveUp, s.Ended+o.Ended, s.Cut+o.Cut, s.NotSent+o.NotSent, s.Lost+o.Lost
	s.Took.Merge(o.Took)
}

// NewLoadStats are those of nobody.
func NewLoadStats() LoadStats { return LoadStats{Took: hdrhistogram.New(1, 120_000_000, 3)} }

// Away has no calls go to an address, as a front does with a call controller that is being stopped, or
// has them go there again.
func (l *Load) Away(i int, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away[i] = on
}

// saw tells of an event.
func (l *Load) saw(i int, e invariant.Event) {
	if l.Saw != nil {
		e.Node = l.Nodes[i]
		l.Saw(e)
	}
}

// Run sends until its time is over or ctx ends, and then waits for what is open.
func (l *Load) Run(ctx context.Context) error {
	if len(l.Addrs) == 0 || l.Rate <= 0 || len(l.Classes) == 0 {
		return errors.New("load: addresses, a rate and classes are needed")
	}
	if l.Open == 0 {
		l.Open = 10_000
	}
	l.mu.Lock()
	l.calls, l.stats, l.away = make(map[string]*loadCall), make([]LoadStats, len(l.Addrs)), make([]bool, len(l.Addrs))
	for i, addr := range l.Addrs {
		l.stats[i] = NewLoadStats()
		l.conns = append(l.conns, &loadConn{l: l, i: i, addr: addr})
	}
	l.mu.Unlock()
	defer func() {
		for _, k := range l.conns {
			k.close()
		}
	}()
	rng := rand.New(rand.NewPCG(l.Seed, 3))
	began := time.Now()
	due := began
	salt := rng.Uint32()
	for n := uint32(0); ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		if due.Sub(began) > l.For {
			break
		}
		if wait := time.Until(due); wait > 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(wait):
			}
		} else if ctx.Err() != nil {
			return nil
		}
		l.send(rng, due, fmt.Sprintf("%08x%08x", salt, n))
	}
	for end := time.Now().Add(l.Left + time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if l.open() == 0 {
			break
		}
	}
	return nil
}

// open counts the calls that have no answer yet.
func (l *Load) open() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.calls {
		if !c.stands {
			n++
		}
	}
	return n
}

func (l *Load) send(rng *rand.Rand, due time.Time, id string) {
	class := l.Classes[scenario.Pick(l.Classes, rng.Float64())].Name
	conn := l.conns[rng.IntN(len(l.conns))]
	pool := rng.IntN(max(l.Pools, 1))
	number := fmt.Sprint("5", 100_000+rng.IntN(900_000))
	l.mu.Lock()
	if len(l.calls) >= l.Open || l.away[conn.i] {
		l.stats[conn.i].NotSent++
		l.mu.Unlock()
		return
	}
	call := &loadCall{due: due, conn: conn}
	l.calls[id] = call
	l.stats[conn.i].Sent++
	l.mu.Unlock()
	l.saw(conn.i, invariant.Event{Kind: invariant.SetUp, Call: id, Until: l.Left})
	err := conn.send(&jsonl.Message{Verb: jsonl.Start, Tag: id, Blob: []byte("v=0\r\ns=" + number + "\r\n"), Opts: []jsonl.Opt{{Name: "class", Value: class},
		{Name: "left", Value: fmt.Sprint(l.Left.Milliseconds())}, {Name: "key", Value: number}, {Name: "extras", Value: fmt.Sprintf("dest:%d;width:1;via:-1", pool)}}})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.stats[conn.i].Lost++
		delete(l.calls, id)
		l.saw(conn.i, invariant.Event{Kind: invariant.CallerEnd, Call: id}) // it was not taken
		return
	}
	call.timer = time.AfterFunc(l.Left, func() { l.giveUp(id) })
}

// giveUp ends a call whose answer did not come in time.
func (l *Load) giveUp(id string) {
	l.mu.Lock()
	call := l.calls[id]
	if call == nil || call.stands {
		l.mu.Unlock()
		return
	}
	l.stats[call.conn.i].GaveUp++
	delete(l.calls, id)
	l.mu.Unlock()
	_ = call.conn.send(&jsonl.Message{Verb: jsonl.Finish, Tag: id, RC: 16, HasRC: true})
}

func (l *Load) take(k *loadConn, m *jsonl.Message) {
	l.mu.Lock()
	call := l.calls[m.Tag]
	switch m.Verb {
	case jsonl.Started:
		l.saw(k.i, invariant.Event{Kind: invariant.Stands, Call: m.Tag})
		if call != nil && !call.stands {
			call.stands = true
			l.stats[k.i].Stood++
			_ = l.stats[k.i].Took.RecordValue(max(time.Since(call.due).Microseconds(), 1))
		}
	case jsonl.Finish:
		if call != nil {
			s := &l.stats[k.i]
			switch {
			case call.stands && m.RC == 16:
				s.Ended++
			case call.stands:
				s.Cut++
			case m.RC == 34:
				s.Refused++
			default:
				s.Failed++
			}
			if !call.stands {
				l.saw(k.i, invariant.Event{Kind: invariant.Refused, Call: m.Tag})
			}
			delete(l.calls, m.Tag)
		}
		l.mu.Unlock()
		_ = k.send(&jsonl.Message{Verb: jsonl.Finished, Tag: m.Tag})
		return
	}
	l.mu.Unlock()
}

// dropped takes that a connection is gone: what was open on it has no answer.
func (l *Load) dropped(k *loadConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.calls {
		if c.conn == k && !c.stands {
			l.stats[k.i].Lost++
			delete(l.calls, id)
		}
	}
}

// send writes a message, on a new connection if there is none.
func (k *loadConn) send(m *jsonl.Message) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.c == nil {
		c, err := net.DialTimeout("tcp", k.addr, time.Second)
		if err != nil {
			return fmt.Errorf("load: %w", err)
		}
		k.c = c
		go k.read(c)
	}
	_ = k.c.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := k.c.Write(jsonl.Append(nil, m)); err != nil {
		_ = k.c.Close()
		k.c = nil
		return fmt.Errorf("load: %w", err)
	}
	return nil
}

func (k *loadConn) read(c net.Conn) {
	var in jsonl.Reader
	buf := make([]byte, 16<<10)
	for {
		n, err := c.Read(buf)
		if err == nil {
			err = in.Feed(buf[:n], func(m *jsonl.Message) bool {
				k.l.take(k, m)
				return true
			})
		}
		if err != nil {
			break
		}
	}
	k.mu.Lock()
	if k.c == c {
		k.c = nil
	}
	k.mu.Unlock()
	_ = c.Close()
	k.l.dropped(k)
}

func (k *loadConn) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.c != nil {
		_ = k.c.Close()
		k.c = nil
	}
}
