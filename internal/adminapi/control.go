// Package control asks and answers over H.248-style commands for those who manage
// instances: AuditValue for state and counters, ServiceChange to drain. Unlike the
// call controller it may block; it is used by the agent and by olivectl.
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

// RequestTimeout is how long one exchange of messages may take.
const RequestTimeout = 5 * time.Second

// Send sends one command to addr and returns its reply.
func Send(ctx context.Context, addr string, c *h248.Command) (*h248.Command, error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("asking %s: %w", addr, err)
	}
	defer func() { _ = conn.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return nil, fmt.Errorf("asking %s: %w", addr, err)
		}
	}
	// Every ask has its own connection, whose port makes the message id unique: the
	// reply to an earlier ask's transaction must not be taken for this one's.
	mid := "<ctl>:" + strconv.Itoa(conn.LocalAddr().(*net.TCPAddr).Port)
	id := uint32(time.Now().UnixNano())
	b, err := h248.AppendFrame(nil, &h248.Message{MID: mid, Transactions: []*h248.Transaction{{ID: id,
		Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{c}}}}}})
	if err != nil {
		return nil, fmt.Errorf("asking %s: %w", addr, err)
	}
	if _, err := conn.Write(b); err != nil {
		return nil, fmt.Errorf("asking %s: %w", addr, err)
	}
	var reply *h248.Command
	err = messages(conn, func(m *h248.Message) (bool, error) {
		if m.Err != nil {
			return false, m.Err
		}
		for _, t := range m.Transactions {
			if t.Kind == h248.Reply && t.ID == id {
				reply, err = first(t)
				return false, err
			}
		}
		return true, nil
	})
	if err == nil && reply == nil {
		err = errors.New("the connection was closed before a reply")
	}
	if err != nil {
		return nil, fmt.Errorf("asking %s: %w", addr, err)
	}
	return reply, nil
}

// first is the command of a reply, or the error that stands in its place.
func first(t *h248.Transaction) (*h248.Command, error) {
	switch {
	case t.Err != nil:
		return nil, t.Err
	case len(t.Actions) == 0:
		return nil, errors.New("an empty reply")
	case t.Actions[0].Err != nil:
		return nil, t.Actions[0].Err
	case len(t.Actions[0].Commands) == 0:
		return nil, errors.New("an empty reply")
	}
	c := t.Actions[0].Commands[0]
	if c.Err != nil {
		return nil, c.Err
	}
	return c, nil
}

// messages reads messages until each returns false, or the connection ends.
func messages(conn net.Conn, each func(*h248.Message) (bool, error)) error {
	var in h248.Framer
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return err
		}
		more, inner := true, error(nil)
		err = in.Feed(buf[:n], func(text []byte) bool {
			m, bad := h248.Parse(text)
			if bad != nil {
				more, inner = false, bad
				return false
			}
			more, inner = each(m)
			return more
		})
		if inner != nil {
			return inner
		}
		if err != nil || !more {
			return err
		}
	}
}

// AuditCommand asks for the state of a termination.
func AuditCommand(termination string) *h248.Command {
	return &h248.Command{Name: "AuditValue", Termination: termination}
}

// DrainCommand asks that a termination go out of service once nothing is owed there.
func DrainCommand(termination string) *h248.Command {
	return &h248.Command{Name: "ServiceChange", Termination: termination, Descriptors: []*h248.Node{{Name: "Services",
		Kids: []*h248.Node{{Name: "Method", Value: "Graceful"}, {Name: "Reason", Value: "905 Termination taken out of service", Quoted: true}}}}}
}

// A Handler carries out one command.
type Handler func(*h248.Command) ([]*h248.Node, *h248.Error)

// Serve answers commands on ln until it is closed.
func Serve(ln net.Listener, mid string, handle Handler) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("serving %s: %w", ln.Addr(), err)
		}
		go func() {
			defer func() { _ = conn.Close() }()
			_ = messages(conn, func(m *h248.Message) (bool, error) { // an error ends this connection only
				if err := conn.SetDeadline(time.Now().Add(time.Minute)); err != nil {
					return false, err
				}
				for _, t := range m.Transactions {
					if t.Kind != h248.Request {
						continue
					}
					b, err := h248.AppendFrame(nil, &h248.Message{MID: mid, Transactions: []*h248.Transaction{answer(t, handle)}})
					if err != nil {
						return false, err
					}
					if _, err := conn.Write(b); err != nil {
						return false, err
					}
				}
				return true, nil
			})
		}()
	}
}

// answer carries a transaction out, up to the first command that fails.
func answer(t *h248.Transaction, handle Handler) *h248.Transaction {
	reply := &h248.Transaction{Kind: h248.Reply, ID: t.ID}
	for _, a := range t.Actions {
		done := &h248.Action{Context: a.Context}
		reply.Actions = append(reply.Actions, done)
		for _, c := range a.Commands {
			d, err := handle(c)
			if err != nil {
				done.Err = err
				return reply
			}
			done.Commands = append(done.Commands, &h248.Command{Name: c.Name, Termination: c.Termination, Descriptors: d})
		}
	}
	return reply
}
