package server

import (
	"net"
	"sync"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/acceptor"
	"olivedale/internal/config"
)

// A listenerKind is whose connections a listener takes. It is the context of a socket until that is opened.
type listenerKind int

const (
	jsonListener    listenerKind = iota // callers of the platform's protocol
	gatewayListener                     // media gateways
	adminListener                       // the agent
)

// A listener is an address that the server listens on.
type listener struct {
	kind              listenerKind
	configuredAddress string
	acceptor          *acceptor.Acceptor // nil until open
}

// listeners are the addresses that the server listens on, the callers' first.
type listeners struct {
	all       []*listener
	accepting sync.WaitGroup
}

func newListeners(callers string, h *config.H248) *listeners {
	l := &listeners{all: []*listener{{kind: jsonListener, configuredAddress: callers}}}
	if h != nil {
		l.all = append(l.all, &listener{kind: gatewayListener, configuredAddress: h.Listen})
		if h.Admin != "" {
			l.all = append(l.all, &listener{kind: adminListener, configuredAddress: h.Admin})
		}
	}
	return l
}

// open opens the listening sockets; connections wait in their queues until accept. After an error none is open.
func (l *listeners) open() error {
	for _, each := range l.all {
		a, err := acceptor.Listen(each.configuredAddress)
		if err != nil {
			l.closeBeforeAccept()
			return err
		}
		each.acceptor = a
	}
	return nil
}

// closeBeforeAccept closes the listening sockets that are open, before accept.
func (l *listeners) closeBeforeAccept() {
	for _, each := range l.all {
		if each.acceptor != nil {
			each.acceptor.Close()
			each.acceptor.Accept(func(conn net.Conn) { _ = conn.Close() })
		}
	}
}

// callerAddress returns the address that the callers' listener has bound.
func (l *listeners) callerAddress() string { return l.all[0].acceptor.Address() }

// accept hands the connections of all listeners to the client engine, on a goroutine for each listener. Each connection
// is opened on the event loop before the next is accepted.
func (l *listeners) accept(engine *gnet.Client) {
	for _, each := range l.all {
		l.accepting.Go(func() {
			each.acceptor.Accept(func(conn net.Conn) {
				_, _ = engine.EnrollContext(conn, each.kind) // after an error it has closed the connection
			})
		})
	}
}

// accepted returns the number of connections that have been accepted.
func (l *listeners) accepted() (count int64) {
	for _, each := range l.all {
		count += each.acceptor.Accepted()
	}
	return count
}

// close ends accepting. When await returns, each connection that was accepted has been opened.
func (l *listeners) close() {
	for _, each := range l.all {
		each.acceptor.Close()
	}
}

func (l *listeners) wait() { l.accepting.Wait() }
