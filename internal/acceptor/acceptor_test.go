package acceptor

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startAcceptor runs Accept on a new goroutine. The channel is closed when Accept returns.
func startAcceptor(t *testing.T, handle Handler) (a *Acceptor, ended chan struct{}) {
	t.Helper()
	a, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		a.Accept(handle)
	}()
	t.Cleanup(a.Close)
	return a, ended
}

func awaitEnd(t *testing.T, ended chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("Accept did not return within 5 seconds")
	}
}

func dial(t *testing.T, a *Acceptor) {
	t.Helper()
	conn, err := net.Dial("tcp", a.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
}

// Connections in the queue at Close are passed to the handler, not reset. Later connections are refused.
func TestCloseDrainsTheQueue(t *testing.T) {
	const clients = 40
	var handled atomic.Int64
	first := make(chan struct{})
	proceed := make(chan struct{})
	a, ended := startAcceptor(t, func(conn net.Conn) {
		t.Cleanup(func() { _ = conn.Close() })
		if handled.Add(1) == 1 {
			close(first)
			<-proceed
		}
	})
	for range clients {
		dial(t, a)
	}
	<-first
	a.Close()
	a.Close()
	close(proceed)
	awaitEnd(t, ended)
	if n := handled.Load(); n != clients || a.Accepted() != clients {
		t.Errorf("%d connections were handled and %d counted, want %d", n, a.Accepted(), clients)
	}
	if _, err := net.Dial("tcp", a.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial after Close: got %v, want connection refused", err)
	}
}

// Clients that connect continuously during Close are either accepted or refused, never reset.
func TestNoConnectionIsResetAtTheEnd(t *testing.T) {
	const rounds, clients = 20, 4
	for range rounds {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			a, ended := startAcceptor(t, func(conn net.Conn) {
				_, _ = conn.Write([]byte("x"))
				_ = conn.Close()
			})
			results := make(chan error, clients)
			for range clients {
				go func() { results <- connectUntilRefused(a.Address()) }()
			}
			time.Sleep(2 * time.Millisecond)
			a.Close()
			awaitEnd(t, ended)
			for range clients {
				if err := <-results; err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// connectUntilRefused connects repeatedly until a connection is refused. It returns any other error, such as that of
// an established connection that was not served.
func connectUntilRefused(address string) error {
	for {
		conn, err := net.Dial("tcp", address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
		if err != nil {
			return err
		}
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
		if err != nil {
			return err
		}
	}
}

// Listening on an address that is in use fails; the port is not shared with the first listener.
func TestListenOnAnAddressInUse(t *testing.T) {
	a, _ := startAcceptor(t, func(conn net.Conn) { _ = conn.Close() })
	if _, err := Listen(a.Address()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("got error %v, want EADDRINUSE", err)
	}
}
