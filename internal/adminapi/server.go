package adminapi

import (
	"errors"
	"fmt"
	"net"
	"time"

	"olivedale/internal/codec/h248"
)

// idleTimeout is the time after the latest message at which an idle connection is closed. It does not apply before the
// first message.
const idleTimeout = time.Minute

// A Handler executes one command and returns the descriptors of its reply. Serve calls it from several goroutines.
type Handler func(*h248.Command) ([]*h248.Node, *h248.Error)

// Serve accepts connections on ln and executes the commands that it receives on them, until ln is closed. Each
// connection is handled by a goroutine that ends with the connection. Serve does not close open connections.
func Serve(ln net.Listener, mid string, handle Handler) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("serving %s: %w", ln.Addr(), err)
		}
		go serveConnection(conn, mid, handle)
	}
}

// serveConnection executes requests until the connection fails or delivers an invalid message.
func serveConnection(conn net.Conn, mid string, handle Handler) {
	defer func() { _ = conn.Close() }()
	_ = readMessages(conn, func(m *h248.Message) error { // an error affects only this connection
		if err := conn.SetDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		for _, t := range m.Transactions {
			if t.Kind != h248.Request {
				continue
			}
			if err := writeReply(conn, mid, execute(t, handle)); err != nil {
				return err
			}
		}
		return nil
	})
}

func writeReply(conn net.Conn, mid string, reply *h248.Transaction) error {
	frame, err := h248.AppendFrame(nil, &h248.Message{MID: mid, Transactions: []*h248.Transaction{reply}})
	if err != nil {
		return err
	}
	_, err = conn.Write(frame)
	return err
}

// execute executes the commands of a transaction until one fails, and returns the reply.
func execute(t *h248.Transaction, handle Handler) *h248.Transaction {
	reply := &h248.Transaction{Kind: h248.Reply, ID: t.ID}
	for _, action := range t.Actions {
		executed := &h248.Action{Context: action.Context}
		reply.Actions = append(reply.Actions, executed)
		for _, c := range action.Commands {
			descriptors, err := handle(c)
			if err != nil {
				executed.Err = err
				return reply
			}
			executed.Commands = append(executed.Commands,
				&h248.Command{Name: c.Name, Termination: c.Termination, Descriptors: descriptors})
		}
	}
	return reply
}
