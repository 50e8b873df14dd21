// Package acceptor accepts connections on a listening socket and passes each one to a handler before it accepts the
// next. It can be closed without losing connections that the kernel has already accepted, and callers can wait until
// that is done. The package is independent of protocols and never writes to a connection.
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
	// acceptRetryInterval is the time until accept is retried after a failure, such as a lack of system resources.
	acceptRetryInterval = 20 * time.Millisecond
	// maxDrained limits the connections that are accepted from the queue of the listening socket after Close, in case
	// clients keep connecting.
	maxDrained = 4096
)

// errNotTCP is returned for a listening socket that is not a TCP socket.
var errNotTCP = errors.New("not a TCP listener")

// A Handler receives an accepted connection and takes ownership of it. Accept calls it sequentially, and accepts the
// next connection when it has returned.
type Handler func(net.Conn)

// An Acceptor accepts the connections of one listening socket.
type Acceptor struct {
	listener  *net.TCPListener
	accepted  atomic.Int64
	isClosing atomic.Bool
}

// Listen opens a listening socket on a TCP address. It wraps the errors of net.ListenConfig.Listen.
func Listen(address string) (*Acceptor, error) {
	// Connections of callers may be idle for the duration of a call, so keep-alive probes are disabled.
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false) // listening MPTCP sockets do not support socket filters
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

// Address returns the local address of the listening socket.
func (a *Acceptor) Address() string { return a.listener.Addr().String() }

// Accepted returns the number of accepted connections. It is safe for concurrent use.
func (a *Acceptor) Accepted() int64 { return a.accepted.Load() }

// Accept passes connections to the handler until Close is called. It then drains the queue of the listening socket
// and closes the socket. When Accept returns, every connection that the kernel has accepted has been passed to the
// handler.
func (a *Acceptor) Accept(handle Handler) {
	for !a.isClosing.Load() {
		conn, err := a.listener.Accept()
		switch {
		case err == nil:
			a.accepted.Add(1)
			handle(conn)
		case errors.Is(err, net.ErrClosed):
			return
		case !errors.Is(err, os.ErrDeadlineExceeded):
			time.Sleep(acceptRetryInterval) // the connection stays in the queue
		}
	}
	a.drainQueue(handle)
	_ = a.listener.Close()
}

// Close makes Accept drain the queue and return. It is safe for concurrent use and may be called more than once.
func (a *Acceptor) Close() {
	a.isClosing.Store(true)
	_ = a.listener.SetDeadline(time.Now()) // unblocks a waiting accept
}

// drainQueue passes the connections in the queue of the listening socket to the handler.
func (a *Acceptor) drainQueue(handle Handler) {
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
		handle(conn)
	}
}

// acceptQueued accepts a connection from the queue of a listening socket without blocking. It returns nil if there is
// none.
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
