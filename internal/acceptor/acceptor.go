// Package acceptor accepts connections on a listening socket and hands each one over before it takes the next. The end
// of accepting can be waited for, and loses no connection that the kernel has accepted. The package knows no protocol
// and never answers a connection itself.
package acceptor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// acceptRetryInterval is the time between two tries to accept where the system has no resources for a connection.
	acceptRetryInterval = 20 * time.Millisecond
	// maxDrained bounds the connections that are taken from the queue of the listening socket at the end, where clients
	// connect without a pause.
	maxDrained = 4096
)

// errNotTCP is the error of a listening socket that is none of TCP.
var errNotTCP = errors.New("not a TCP listener")

// A HandOver takes an accepted connection, which it owns from then on. Accept calls it from one goroutine, and takes
// the next connection when it returns.
type HandOver func(net.Conn)

// An Acceptor accepts the connections of one listening socket.
type Acceptor struct {
	listener  *net.TCPListener
	accepted  atomic.Int64
	isClosing atomic.Bool
}

// Listen opens a listening socket on a TCP address. Errors are those of net.Listen.
func Listen(address string) (*Acceptor, error) {
	// Callers' connections are quiet for as long as calls last: nothing is sent to test them.
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false) // its listening sockets take no filter
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		_ = listener.Close()
		return nil, fmt.Errorf("listening on %s: %w", address, errNotTCP)
	}
	return &Acceptor{listener: tcp}, nil
}

// Address returns the address that the socket is bound to.
func (a *Acceptor) Address() string { return a.listener.Addr().String() }

// Accepted returns the number of connections that have been accepted. It may be called from anywhere.
func (a *Acceptor) Accepted() int64 { return a.accepted.Load() }

// Accept hands over connections until Close is called; then those that wait in the queue of the listening socket, and
// closes the socket. When it returns, each connection that the kernel has accepted has been handed over.
func (a *Acceptor) Accept(handOver HandOver) {
	for !a.isClosing.Load() {
		conn, err := a.listener.Accept()
		switch {
		case err == nil:
			a.accepted.Add(1)
			handOver(conn)
		case errors.Is(err, net.ErrClosed):
			return
		case !errors.Is(err, os.ErrDeadlineExceeded):
			time.Sleep(acceptRetryInterval) // the connection stays in the queue
		}
	}
	a.drainQueue(handOver)
	_ = a.listener.Close()
}

// Close makes Accept return soon. It may be called from anywhere, and more than once.
func (a *Acceptor) Close() {
	a.isClosing.Store(true)
	_ = a.listener.SetDeadline(time.Now()) // wakes a listener that waits
}

// drainQueue hands over the connections that wait in the queue of the listening socket.
func (a *Acceptor) drainQueue(handOver HandOver) {
	raw, err := a.listener.SyscallConn()
	if err != nil {
		return
	}
	dropNewSYNs(raw)
	for range maxDrained {
		conn := acceptQueued(raw)
		if conn == nil {
			return
		}
		a.accepted.Add(1)
		handOver(conn)
	}
}

// acceptQueued takes a connection from the queue of a listening socket without waiting; nil: there is none.
func acceptQueued(listener syscall.RawConn) net.Conn {
	descriptor := -1
	_ = listener.Control(func(listening uintptr) {
		for {
			socket, _, err := syscall.Accept4(int(listening), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			switch {
			case err == nil:
				descriptor = socket
				return
			case err != syscall.EINTR && err != syscall.ECONNABORTED:
				return
			}
		}
	})
	if descriptor < 0 {
		return nil
	}
	file := os.NewFile(uintptr(descriptor), "accepted connection")
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}
