package enum

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"olivedale/internal/portability"
)

// A Client looks numbers up over UDP. One goroutine owns the resolver and decides; one a socket
// reads. Nothing that is called from outside waits for any of them.
type Client struct {
	suffix string
	res    *portability.Resolver
	socks  []net.Conn
	in     chan func() // what is to be done by the goroutine that owns res
	tells  map[string]func(portability.Result)
	latest atomic.Pointer[portability.Counters] // as they stood when something was last done
	stop   context.CancelFunc
	done   chan struct{}
	once   sync.Once
}

// queue bounds what waits for the client's goroutine.
const queue = 1024

// Dial opens a socket to each server, in the order in which they are asked. The sockets are
// connected: what comes from another address never reaches the program.
func Dial(servers []string, suffix string, set portability.Settings) (*Client, error) {
	set.Servers = len(servers)
	if len(servers) == 0 {
		return nil, errors.New("enum: no servers")
	}
	var seed [32]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("enum: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	c := &Client{suffix: suffix, res: portability.NewResolver(set, rand.New(rand.NewChaCha8(seed))), in: make(chan func(), queue),
		tells: make(map[string]func(portability.Result)), stop: stop, done: make(chan struct{})}
	for _, addr := range servers {
		conn, err := net.Dial("udp", addr)
		if err != nil {
			stop()
			for _, s := range c.socks {
				_ = s.Close()
			}
			return nil, fmt.Errorf("enum: %w", err)
		}
		c.socks = append(c.socks, conn)
	}
	var readers sync.WaitGroup
	for i, conn := range c.socks {
		readers.Go(func() { c.read(ctx, i, conn) })
	}
	go func() {
		defer close(c.done)
		c.run(ctx)
		for _, s := range c.socks {
			_ = s.Close()
		}
		readers.Wait()
	}()
	return c, nil
}

// Close ends the client; calls that wait are not told any more.
func (c *Client) Close() {
	c.once.Do(c.stop)
	<-c.done
}

// now is the Unix clock.
func now() portability.Time { return portability.Time(time.Now().UnixNano()) }

// Ask looks a number of E.164 digits up for a call that waits so long at the most. tell is called
// once, on a goroutine of the client's, and must hand the result on without waiting; not at all
// after Cancel. Ask itself never waits: it is false where too much is queued already, and the
// caller is to go on as if nobody could tell.
func (c *Client) Ask(call, number string, wait time.Duration, tell func(portability.Result)) bool {
	until := now() + wait
	return c.post(func() {
		if c.tells[call] == nil {
			c.tells[call] = tell
			c.carry(c.res.LookUp(now(), call, number, until))
		}
	})
}

// Cancel forgets a call that does not wait any more.
func (c *Client) Cancel(call string) {
	c.post(func() {
		c.res.Cancel(call)
		delete(c.tells, call)
	})
}

// Counters are the resolver's, as they stood a moment ago. It does not wait: a loop that serves
// may ask.
func (c *Client) Counters() (n portability.Counters) {
	if latest := c.latest.Load(); latest != nil {
		n = *latest
	}
	return n
}

func (c *Client) post(f func()) bool {
	select {
	case c.in <- f:
		return true
	default:
		return false
	}
}

// run is the goroutine that owns the resolver.
func (c *Client) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if next := c.res.NextDeadline(); next-now() < time.Hour {
			timer.Reset(max(time.Duration(next-now()), 0))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			return
		case f := <-c.in:
			f()
		case <-timer.C:
			c.carry(c.res.HandleTimeouts(now()))
		}
		n := c.res.Counters
		c.latest.Store(&n)
	}
}

// carry does what the resolver wants done.
func (c *Client) carry(acts []portability.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case portability.SendQuery:
			b, err := EncodeQuery(a.ID, a.Number, c.suffix)
			if err == nil {
				_, err = c.socks[a.Server].Write(b)
			}
			if err != nil { // a port that is refused, as the last datagram found; the next is asked
				c.carry(c.res.HandleFailure(now(), a.Server, a.ID))
			}
		case portability.DeliverResult:
			if tell := c.tells[a.Call]; tell != nil {
				delete(c.tells, a.Call)
				tell(a.Result)
			}
		}
	}
}

// read takes what comes on one socket. Where more comes than can be looked at it is dropped: the
// question is asked again.
func (c *Client) read(ctx context.Context, server int, conn net.Conn) {
	buf := make([]byte, MaxMessageBytes+1) // one byte more tells a message that is too large
	for ctx.Err() == nil {
		n, err := conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the port is refused: the time-out of the question tells
			select {
			case <-ctx.Done():
				return
			case <-time.After(10 * time.Millisecond): // it must not spin
			}
			continue
		}
		id, number, answer, err := DecodeAnswer(buf[:n], c.suffix)
		if n > MaxMessageBytes {
			id = binary.BigEndian.Uint16(buf)
		}
		c.post(func() {
			switch {
			case errors.Is(err, ErrNotAnAnswer) && n <= MaxMessageBytes, number == "" && err == nil:
				c.carry(c.res.HandleAnswer(now(), server, id, "", answer)) // no question of ours: a stray, or a lie under an id that is out
			case err != nil:
				c.carry(c.res.HandleFailure(now(), server, id))
			default:
				c.carry(c.res.HandleAnswer(now(), server, id, number, answer))
			}
		})
	}
}
