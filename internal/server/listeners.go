package server

import (
	"net"
	"sync"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/acceptor"
	"olivedale/internal/config"
)

// A listenerKind says which clients a listener accepts. It is the gnet context of a socket until the socket is opened.
type listenerKind int

const (
	jsonListener    listenerKind = iota // callers that use the JSON protocol of the platform
	gatewayListener                     // media gateways
	adminListener                       // the agent and administration tools
)

// A listener is one address that the server listens on.
type listener struct {
	kind              listenerKind
	configuredAddress string
	acceptor          *acceptor.Acceptor // nil until open
}

// listeners are all addresses that the server listens on. The first is the address for callers.
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

// open opens the listening sockets. Connections wait in their queues until accept is called. After an error no socket
// is open.
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

// closeBeforeAccept closes the open listening sockets if accept has not been called.
func (l *listeners) closeBeforeAccept() {
	for _, each := range l.all {
		if each.acceptor != nil {
			each.acceptor.Close()
			each.acceptor.Accept(func(conn net.Conn) { _ = conn.Close() })
		}
	}
}

// callerAddress returns the bound address of the listener for callers.
func (l *listeners) callerAddress() string { return l.all[0].acceptor.Address() }

// accept passes the connections of all listeners to the gnet engine, using one goroutine per listener. Each connection
// is opened on the event loop before the next one is accepted.
func (l *listeners) accept(engine *gnet.Client) {
	for _, each := range l.all {
		l.accepting.Go(func() {
			each.acceptor.Accept(func(conn net.Conn) {
				_, _ = engine.EnrollContext(conn, each.kind) // on an error the engine has closed the connection
			})
		})
	}
}

// accepted returns the total number of accepted connections.
func (l *listeners) accepted() (count int64) {
	for _, each := range l.all {
		count += each.acceptor.Accepted()
	}
	return count
}

// close stops accepting. Once wait returns, every accepted connection has been opened on the event loop.
func (l *listeners) close() {
	for _, each := range l.all {
		each.acceptor.Close()
	}
}

func (l *listeners) wait() { l.accepting.Wait() }
