//go:build review2

package main

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"olivedale/internal/codec/h248"
)

// A callServer is a call server that speaks H.248 text over TCP. It answers each set-up at once. A call that stands
// belongs to no connection: it stands until the controller subtracts it or the server ends it by a Notify. The server
// sends a Notify on the connection of the set-up, or on another one that is open, and repeats it as the same transaction
// until it has a reply.
type callServer struct {
	name     string
	stage    *stage
	listener net.Listener
	length   time.Duration // after which the server ends a call; 0: never
	isFull   atomic.Bool   // set-ups are refused for want of a circuit

	mu          sync.Mutex
	conns       []net.Conn // that are open
	lastContext uint32
	lastID      uint32
	calls       map[string]*serverCall // by termination
	notifies    map[uint32]*serverCall // without a reply, by transaction id
}

// repeatInterval is the time after which a Notify without a reply is sent again.
const repeatInterval = time.Second

// A serverCall is a call that the server has answered.
type serverCall struct {
	id, termination, context string
	conn                     net.Conn // of its set-up
	setUpAt                  time.Time
	endedAt                  time.Time // when its Notify was first sent; zero while it stands
	subtractedAt             time.Time // by the controller; zero while it stands
	notifies                 int
}

func (c *serverCall) stands() bool { return c.endedAt.IsZero() && c.subtractedAt.IsZero() }

func startCallServer(s *stage, name string, length time.Duration) (*callServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &callServer{
		name: name, stage: s, listener: listener, length: length, lastID: 1000,
		calls: make(map[string]*serverCall), notifies: make(map[uint32]*serverCall),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go x.serve(conn)
		}
	}()
	return x, nil
}

func (x *callServer) address() string { return x.listener.Addr().String() }

func (x *callServer) serve(conn net.Conn) {
	x.mu.Lock()
	x.conns = append(x.conns, conn)
	x.mu.Unlock()
	defer func() {
		_ = conn.Close()
		x.mu.Lock()
		defer x.mu.Unlock()
		x.conns = slices.DeleteFunc(x.conns, func(other net.Conn) bool { return other == conn })
	}()
	var framer h248.Framer
	buffer := make([]byte, 16<<10)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		err = framer.Feed(buffer[:n], func(text []byte) bool {
			m, parseErr := h248.Parse(text)
			if parseErr != nil {
				x.stage.note("%s: unreadable: %v", x.name, parseErr)
				return false
			}
			for _, t := range m.Transactions {
				x.handle(conn, t)
			}
			return true
		})
		if err != nil {
			return
		}
	}
}

func (x *callServer) handle(conn net.Conn, t *h248.Transaction) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch t.Kind {
	case h248.Reply:
		if c := x.notifies[t.ID]; c != nil && c.notifies > 1 {
			x.stage.note("%s: Notify %d has a reply, after it was sent %d times", x.name, t.ID, c.notifies)
		}
		delete(x.notifies, t.ID)
	case h248.Request:
		reply := &h248.Transaction{Kind: h248.Reply, ID: t.ID}
		for _, a := range t.Actions {
			for _, c := range a.Commands {
				reply.Actions = append(reply.Actions, x.run(conn, a, c))
			}
		}
		x.write(conn, reply)
	}
}

// run executes a command. The lock is held.
func (x *callServer) run(conn net.Conn, a *h248.Action, c *h248.Command) *h248.Action {
	done := &h248.Action{Context: a.Context}
	parts := strings.Split(c.Termination, "/") // call/ID/ATTEMPT
	switch {
	case c.Name == h248.CommandAdd && len(parts) == 3 && x.isFull.Load():
		x.stage.note("%s: set-up %s, refused: no circuit", x.name, c.Termination)
		done.Err = &h248.Error{Code: h248.NoTermination}
	case c.Name == h248.CommandAdd && len(parts) == 3:
		x.lastContext++
		call := &serverCall{
			id: parts[1], termination: c.Termination, context: strconv.Itoa(int(x.lastContext)), conn: conn,
			setUpAt: time.Now(),
		}
		x.calls[c.Termination] = call
		x.stage.note("%s: set-up %s, answered, stands in context %s", x.name, c.Termination, call.context)
		if x.length > 0 {
			time.AfterFunc(x.length, func() { x.end(call) })
		}
		local := &h248.Node{Name: h248.DescriptorLocal, Octets: []byte("v=0 " + call.id)}
		done.Context = call.context
		done.Commands = []*h248.Command{{Name: c.Name, Termination: c.Termination, Descriptors: []*h248.Node{
			{Name: h248.DescriptorMedia, Children: []*h248.Node{local}},
		}}}
	case c.Name == h248.CommandSubtract:
		call := x.calls[c.Termination]
		if call == nil || !call.stands() {
			done.Err = &h248.Error{Code: h248.UnknownTermination}
			return done
		}
		call.subtractedAt = time.Now()
		x.stage.note("%s: %s is released by the controller", x.name, c.Termination)
		done.Commands = []*h248.Command{{Name: c.Name, Termination: c.Termination}}
	default:
		done.Err = &h248.Error{Code: h248.NotImplemented}
	}
	return done
}

// end ends a call that stands and tells the controller.
func (x *callServer) end(c *serverCall) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !c.stands() {
		return
	}
	c.endedAt = time.Now()
	x.lastID++
	x.notifies[x.lastID] = c
	x.tell(x.lastID, c)
}

// tell sends the Notify of a call, and again until it has a reply. The lock is held.
func (x *callServer) tell(id uint32, c *serverCall) {
	c.notifies++
	if c.notifies == 1 || c.notifies%20 == 0 {
		x.stage.note("%s: %s is over, Notify %d, sent %d times", x.name, c.termination, id, c.notifies)
	}
	event := &h248.Node{Name: "oc/rel", Children: []*h248.Node{{Name: "cause", Value: "16"}}}
	x.write(c.conn, &h248.Transaction{Kind: h248.Request, ID: id, Actions: []*h248.Action{{
		Context: c.context,
		Commands: []*h248.Command{{Name: h248.CommandNotify, Termination: c.termination, Descriptors: []*h248.Node{
			{Name: "ObservedEvents", Value: "1", Children: []*h248.Node{event}},
		}}},
	}}})
	time.AfterFunc(repeatInterval, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.notifies[id] != nil {
			x.tell(id, c)
		}
	})
}

// write sends a transaction on a connection if that is open, else on another one. The lock is held.
func (x *callServer) write(conn net.Conn, t *h248.Transaction) {
	if !slices.Contains(x.conns, conn) {
		if len(x.conns) == 0 {
			return
		}
		conn = x.conns[0]
	}
	b, err := h248.AppendFrame(nil, &h248.Message{MID: "<" + x.name + ">", Transactions: []*h248.Transaction{t}})
	if err != nil {
		panic(fmt.Sprint("a message of the stand-in: ", err))
	}
	_, _ = conn.Write(b)
}

// callsOf returns the answered set-ups of a call, in the order of their attempts.
func (x *callServer) callsOf(id string) (all []serverCall) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.calls {
		if c.id == id {
			all = append(all, *c)
		}
	}
	slices.SortFunc(all, func(a, b serverCall) int { return strings.Compare(a.termination, b.termination) })
	return all
}
