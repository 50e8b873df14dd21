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
	// listenBacklog is the length of the accept queue while the host can be reached.
	listenBacklog = 512
	// maxFillers bounds the number of connections that fill the accept queue of an unreachable host.
	maxFillers = 8
	// fillTimeout is how long the listener waits for a filler connection to be established.
	fillTimeout = 100 * time.Millisecond
	// requiredFillFailures is the number of consecutive failures by which the queue counts as full.
	requiredFillFailures = 2
)

// fillerIP is the source address of filler connections, by which accept recognizes them.
var fillerIP = net.IPv4(127, 255, 0, 1)

// A listener accepts connections, and can be made unreachable: then connections are neither refused nor established, as
// with a host that vanished. To this end the accept queue of the socket is shortened and filled, so that the kernel
// drops further SYN segments.
type listener struct {
	*net.TCPListener
	socket int // shares the listening socket with TCPListener

	mu       sync.Mutex
	isClosed bool
	fillers  []net.Conn
	open     chan struct{} // closed while connections are accepted
}

// listen opens a listener on an address in the form host:port; port 0 selects a free one.
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

// address returns the address to which the listener is bound.
func (l *listener) address() string { return l.Addr().String() }

// accept returns the next connection. It waits while the listener is unreachable.
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

// isFiller reports whether a connection is a filler connection, not one of a controller.
func isFiller(conn net.Conn) bool {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	return ok && remote.IP.Equal(fillerIP)
}

// setReachable makes the listener reachable or unreachable for new connections.
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
	if err := l.SetDeadline(time.Now()); err != nil { // ends a blocked Accept
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

// fillQueue connects to the listener until two consecutive connections are not established. One failure is not enough:
// a blocked Accept may have taken a connection out of the full queue after it.
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
		if failures == requiredFillFailures {
			return nil
		}
	}
	return errors.New("the accept queue of the listener is not full")
}

// close stops listening, so that connections are refused. Further calls have no effect.
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
