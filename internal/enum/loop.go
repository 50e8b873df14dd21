package enum

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"time"

	"olivedale/internal/portability"
)

const (
	// maxTimerDelay limits the time between two checks for time-outs.
	maxTimerDelay = time.Hour
	// receiveRetryDelay is the pause after a failed read from a socket.
	receiveRetryDelay = 10 * time.Millisecond
)

// run executes tasks and handles the time-outs of the resolver until ctx is done.
func (c *Client) run(ctx context.Context) {
	timer := time.NewTimer(maxTimerDelay)
	defer timer.Stop()
	for {
		delay := c.resolver.NextDeadline() - unixNow()
		timer.Reset(min(max(delay, 0), maxTimerDelay))
		select {
		case <-ctx.Done():
			return
		case task := <-c.tasks:
			task()
		case <-timer.C:
			c.execute(c.resolver.HandleTimeouts(unixNow()))
		}
		counters := c.resolver.Counters
		c.counters.Store(&counters)
	}
}

// execute carries out the actions that the resolver returned.
func (c *Client) execute(actions []portability.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case portability.SendQuery:
			c.send(action)
		case portability.DeliverResult:
			c.deliver(action)
		}
	}
}

// send sends a query. A write fails if an ICMP error was received for an earlier datagram; the next server is queried
// then.
func (c *Client) send(query portability.SendQuery) {
	b, err := EncodeQuery(query.ID, query.Number, c.suffix)
	if err == nil {
		_, err = c.conns[query.Server].Write(b)
	}
	if err != nil {
		c.execute(c.resolver.HandleFailure(unixNow(), query.Server, query.ID))
	}
}

func (c *Client) deliver(delivery portability.DeliverResult) {
	callback := c.callbacks[delivery.Call]
	if callback == nil {
		return
	}
	delete(c.callbacks, delivery.Call)
	callback(delivery.Result)
}

// receive reads the answers of one server until its socket is closed. If the queue is full, an answer is dropped and
// its query times out.
func (c *Client) receive(ctx context.Context, server int, conn net.Conn) {
	buffer := make([]byte, MaxMessageBytes+1) // one more byte, to detect messages that are too large
	for ctx.Err() == nil {
		n, err := conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an ICMP error; the query times out
			pause(ctx, receiveRetryDelay)
			continue
		}
		c.handleMessage(server, buffer[:n])
	}
}

// handleMessage decodes a message of a server and queues a task that passes it to the resolver.
func (c *Client) handleMessage(server int, b []byte) {
	isTooLarge := len(b) > MaxMessageBytes
	message, err := DecodeAnswer(b, c.suffix)
	if isTooLarge {
		message.ID = binary.BigEndian.Uint16(b)
	}
	isFailure := err != nil && !errors.Is(err, ErrNotAnAnswer)
	c.enqueue(func() {
		if isFailure || isTooLarge {
			c.execute(c.resolver.HandleFailure(unixNow(), server, message.ID))
			return
		}
		// A message with ErrNotAnAnswer has no number and so matches no query.
		c.execute(c.resolver.HandleAnswer(unixNow(), server, message.ID, message.Number, message.Answer))
	})
}

// pause waits for duration or until ctx is done.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
