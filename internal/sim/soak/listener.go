package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// listenBacklog is the number of connections that wait to be accepted while a machine can be reached.
	listenBacklog = 512
	// maxFillers bounds the connections that fill the queue of a machine that cannot be reached.
	maxFillers = 8
	// fillTimeout is how long a connection that fills the queue may take.
	fillTimeout = 100 * time.Millisecond
	// wantedFillFailures is how many connections in a row do not come up where the queue is full.
	wantedFillFailures = 2
)

// fillerIP is the address that connections which fill a queue come from, by which accept knows them.
var fillerIP = net.IPv4(127, 255, 0, 1)

// A listener accepts connections, and can be made unreachable: then connections are neither refused nor established,
// as at a machine that vanished. The queue of the socket is shortened and filled, so that the kernel drops further SYN
// segments.
type listener struct {
	*net.TCPListener
	socket int // shares the listening socket with TCPListener

	mu       sync.Mutex
	isClosed bool
	fillers  []net.Conn
	open     chan struct{} // closed while connections are accepted
}

// listen opens a listener on an address of host:port; port 0 takes a free one.
func listen(address string) (*listener, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	l := &listener{socket: socket, open: make(chan struct{})}
	close(l.open)
	if err := l.bind(tcp); err != nil {
		_ = syscall.Close(socket)
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

func (l *listener) bind(address *net.TCPAddr) error {
	target := &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}
	err := errors.Join(
		syscall.SetsockoptInt(l.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(l.socket, target),
		syscall.Listen(l.socket, listenBacklog),
	)
	if err != nil {
		return err
	}
	duplicate, err := syscall.Dup(l.socket)
	if err != nil {
		return err
	}
	file := os.NewFile(uintptr(duplicate), "listener")
	defer func() { _ = file.Close() }()
	accepting, err := net.FileListener(file)
	if err != nil {
		return err
	}
	l.TCPListener = accepting.(*net.TCPListener)
	return nil
}

// address returns the address that the listener has bound.
func (l *listener) address() string { return l.Addr().String() }

// accept returns the next connection. It waits while the machine cannot be reached.
func (l *listener) accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		open := l.open
		l.mu.Unlock()
		<-open
		conn, err := l.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case err == nil && isFiller(conn):
			_ = conn.Close()
		default:
			return conn, err
		}
	}
}

// isFiller reports whether a connection is one of those that fill the queue: no controller is behind it.
func isFiller(conn net.Conn) bool {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	return ok && remote.IP.Equal(fillerIP)
}

// setReachable makes new connections come up again, or not any more.
func (l *listener) setReachable(isReachable bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed || isReachable == l.isOpen() {
		return nil
	}
	if isReachable {
		return l.reopen()
	}
	l.open = make(chan struct{})
	if err := l.SetDeadline(time.Now()); err != nil { // ends the Accept that waits
		return err
	}
	if err := syscall.Listen(l.socket, 0); err != nil {
		return err
	}
	return l.fillQueue()
}

func (l *listener) isOpen() bool {
	select {
	case <-l.open:
		return true
	default:
		return false
	}
}

func (l *listener) reopen() error {
	for _, filler := range l.fillers {
		_ = filler.Close()
	}
	l.fillers = nil
	err := errors.Join(l.SetDeadline(time.Time{}), syscall.Listen(l.socket, listenBacklog))
	close(l.open)
	return err
}

// fillQueue connects to the listener until two connections in a row do not come up: the first may have found the queue
// full of one that the Accept which was under way has taken since.
func (l *listener) fillQueue() error {
	failures := 0
	dialer := net.Dialer{Timeout: fillTimeout, LocalAddr: &net.TCPAddr{IP: fillerIP}}
	for range maxFillers {
		filler, err := dialer.Dial("tcp", l.address())
		if err == nil {
			failures = 0
			l.fillers = append(l.fillers, filler)
			continue
		}
		failures++
		if failures == wantedFillFailures {
			return nil
		}
	}
	return errors.New("the queue of the listener does not fill")
}

// close stops listening: from then on connections are refused. It may be called again.
func (l *listener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return
	}
	l.isClosed = true
	for _, filler := range l.fillers {
		_ = filler.Close()
	}
	if !l.isOpen() {
		close(l.open)
	}
	_ = l.Close()
	_ = syscall.Close(l.socket)
}
