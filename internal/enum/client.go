package enum

import (
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"olivedale/internal/portability"
)

// taskQueueSize limits the number of tasks that wait for the client's goroutine.
const taskQueueSize = 1024

// Client looks up numbers over UDP. One goroutine owns the resolver and executes tasks; one goroutine for each socket
// receives answers. Close is the only method that waits for them.
type Client struct {
	suffix string
	conns  []net.Conn // by server
	tasks  chan func()
	cancel context.CancelFunc
	done   chan struct{} // closed when all goroutines have ended

	// The following fields are only used by the goroutine that executes the tasks.
	resolver  *portability.Resolver
	callbacks map[string]func(portability.Result) // by call

	counters atomic.Pointer[portability.Counters] // counters of the resolver after the last task
}

// Dial returns a client for a list of servers, which are queried in this order. The sockets are connected, so datagrams
// from other addresses are not received.
func Dial(servers []string, suffix string, settings portability.Settings) (*Client, error) {
	if len(servers) == 0 {
		return nil, errors.New("enum: no servers")
	}
	settings.Servers = len(servers)
	resolver, err := newResolver(settings)
	if err != nil {
		return nil, err
	}
	conns, err := dialAll(servers)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		suffix:    suffix,
		conns:     conns,
		tasks:     make(chan func(), taskQueueSize),
		cancel:    cancel,
		done:      make(chan struct{}),
		resolver:  resolver,
		callbacks: make(map[string]func(portability.Result)),
	}
	c.start(ctx)
	return c, nil
}

// newResolver returns a resolver with a secret seed, so that the IDs of queries cannot be predicted.
func newResolver(settings portability.Settings) (*portability.Resolver, error) {
	var seed [32]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("enum: %w", err)
	}
	return portability.NewResolver(settings, rand.New(rand.NewChaCha8(seed))), nil
}

func dialAll(servers []string) ([]net.Conn, error) {
	var conns []net.Conn
	for _, address := range servers {
		conn, err := net.Dial("udp", address)
		if err != nil {
			closeAll(conns)
			return nil, fmt.Errorf("enum: %w", err)
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// start starts the client's goroutines, which end when ctx is done.
func (c *Client) start(ctx context.Context) {
	var receivers sync.WaitGroup
	for server, conn := range c.conns {
		receivers.Go(func() { c.receive(ctx, server, conn) })
	}
	go func() {
		defer close(c.done)
		c.run(ctx)
		closeAll(c.conns)
		receivers.Wait()
	}()
}

// Close stops the client and waits for its goroutines to end. Waiting calls get no result.
func (c *Client) Close() {
	c.cancel()
	<-c.done
}

// unixNow returns the time since the Unix epoch.
func unixNow() portability.Time { return portability.Time(time.Now().UnixNano()) }

// LookUp requests the look-up of a number, given in E.164 digits, for a call that waits for timeout at most. It does
// not block. deliver is called once with the result, on the client's goroutine, and must not block. It is not called
// after Cancel has been executed. If too many tasks are queued, LookUp returns false and deliver is never called; the
// caller then continues as with a result without an answer.
func (c *Client) LookUp(call, number string, timeout time.Duration, deliver func(portability.Result)) bool {
	deadline := unixNow() + timeout
	return c.enqueue(func() {
		if c.callbacks[call] != nil {
			return // the call already waits for a result
		}
		c.callbacks[call] = deliver
		c.execute(c.resolver.LookUp(unixNow(), call, number, deadline))
	})
}

// Cancel cancels the request of a call, which gets no result. It does not block.
func (c *Client) Cancel(call string) {
	c.enqueue(func() {
		c.resolver.Cancel(call)
		delete(c.callbacks, call)
	})
}

// Counters returns the counters of the resolver after the last task. It does not block.
func (c *Client) Counters() portability.Counters {
	if counters := c.counters.Load(); counters != nil {
		return *counters
	}
	return portability.Counters{}
}

// enqueue queues a task for the client's goroutine. It returns false if the queue is full.
func (c *Client) enqueue(task func()) bool {
	select {
	case c.tasks <- task:
		return true
	default:
		return false
	}
}
