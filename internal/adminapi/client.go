// Package adminapi implements the management protocol between instances, the agent that runs them, and the operators'
// programs.
//
// Requests are H.248 commands: AuditValue reads state and counters, ServiceChange drains an instance, and Modify
// changes the numbering tables or exchanges clock readings. The package contains the client, the agent's server, and
// the conversion of state to descriptors and back. It never changes the state of an instance. The client and the server
// block; the event loop of an instance uses only the conversions.
package adminapi

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"olivedale/internal/codec/h248"
)

// RequestTimeout limits the duration of a request, from dialing to the reply.
const RequestTimeout = 5 * time.Second

// rootTermination addresses the instance or the agent as a whole.
const rootTermination = "ROOT"

// nullContext is the context of commands that concern no call.
const nullContext = "-"

var errEmptyReply = errors.New("reply without a command")

// Send sends a command to addr on a new connection and returns the reply. An error descriptor in the reply is returned
// as an *h248.Error.
func Send(ctx context.Context, addr string, c *h248.Command) (*h248.Command, error) {
	reply, err := send(ctx, addr, c)
	if err != nil {
		return nil, fmt.Errorf("admin request to %s: %w", addr, err)
	}
	return reply, nil
}

func send(ctx context.Context, addr string, c *h248.Command) (*h248.Command, error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	// When ctx is canceled, a deadline in the past interrupts reads and writes that are in progress.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(0, 1)) })
	defer stop()
	id := uint32(time.Now().UnixNano())
	frame, err := h248.AppendFrame(nil, newRequest(conn, id, c))
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(frame); err != nil {
		return nil, err
	}
	return readReply(conn, id)
}

// newRequest returns a message with one command. The message identifier contains the local port, so that the server
// does not mistake the transaction for a repetition of one on an earlier connection.
func newRequest(conn net.Conn, id uint32, c *h248.Command) *h248.Message {
	port := conn.LocalAddr().(*net.TCPAddr).Port
	action := &h248.Action{Context: nullContext, Commands: []*h248.Command{c}}
	return &h248.Message{
		MID:          "<ctl>:" + strconv.Itoa(port),
		Transactions: []*h248.Transaction{{ID: id, Actions: []*h248.Action{action}}},
	}
}

// readReply reads messages until it finds the reply to the transaction with the given id.
func readReply(conn net.Conn, id uint32) (*h248.Command, error) {
	var reply *h248.Command
	err := readMessages(conn, func(m *h248.Message) error {
		if m.Err != nil {
			return m.Err
		}
		for _, t := range m.Transactions {
			if t.Kind != h248.Reply || t.ID != id {
				continue
			}
			var err error
			if reply, err = firstCommand(t); err != nil {
				return err
			}
			return errStopReading
		}
		return nil
	})
	return reply, err
}

// firstCommand returns the first command of a reply, or the error descriptor that the reply contains instead.
func firstCommand(t *h248.Transaction) (*h248.Command, error) {
	if t.Err != nil {
		return nil, t.Err
	}
	if len(t.Actions) == 0 {
		return nil, errEmptyReply
	}
	action := t.Actions[0]
	if action.Err != nil {
		return nil, action.Err
	}
	if len(action.Commands) == 0 {
		return nil, errEmptyReply
	}
	c := action.Commands[0]
	if c.Err != nil {
		return nil, c.Err
	}
	return c, nil
}
