package acceptor

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startAcceptor starts accepting; the channel is closed when Accept has returned.
func startAcceptor(t *testing.T, handOver HandOver) (a *Acceptor, ended chan struct{}) {
	t.Helper()
	a, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		a.Accept(handOver)
	}()
	t.Cleanup(a.Close)
	return a, ended
}

func awaitEnd(t *testing.T, ended chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("Accept does not return")
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

// Connections that wait in the queue as accepting ends are handed over, not reset; then nobody listens.
func TestCloseDrainsTheQueue(t *testing.T) {
	const clients = 40
	var handedOver atomic.Int64
	first := make(chan struct{})
	proceed := make(chan struct{})
	a, ended := startAcceptor(t, func(conn net.Conn) {
		t.Cleanup(func() { _ = conn.Close() })
		if handedOver.Add(1) == 1 {
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
	if n := handedOver.Load(); n != clients || a.Accepted() != clients {
		t.Errorf("%d connections were handed over, %d counted, want %d", n, a.Accepted(), clients)
	}
	if _, err := net.Dial("tcp", a.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("afterwards: %v, want a refusal", err)
	}
}

// Clients that connect without a pause while accepting ends find either an acceptor or a refusal.
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

// connectUntilRefused returns the error of a connection that came up and was not served.
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

// An address that is in use is an error, not a second listener beside the first.
func TestListenOnAnAddressInUse(t *testing.T) {
	a, _ := startAcceptor(t, func(conn net.Conn) { _ = conn.Close() })
	if _, err := Listen(a.Address()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("got %v", err)
	}
}
