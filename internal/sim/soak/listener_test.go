package soak

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// An unreachable listener neither accepts nor refuses connections, a reachable one accepts and a closed one refuses.
func TestListenerThatCannotBeReached(t *testing.T) {
	l, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 16)
	go func() {
		for {
			conn, err := l.accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- conn
		}
	}()
	dial := func() error {
		conn, err := net.DialTimeout("tcp", l.address(), 200*time.Millisecond)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}
	for range 3 {
		if err := dial(); err != nil {
			t.Fatal(err)
		}
		<-accepted
		if err := l.setReachable(false); err != nil {
			t.Fatal(err)
		}
		var timeout net.Error
		if err := dial(); !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Fatalf("dial to the unreachable listener: %v, want a timeout", err)
		}
		if err := l.setReachable(true); err != nil {
			t.Fatal(err)
		}
		if err := dial(); err != nil {
			t.Fatal(err)
		}
		<-accepted
	}
	l.close()
	if err := dial(); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial to the closed listener: %v, want connection refused", err)
	}
	for conn := range accepted {
		t.Errorf("an unexpected connection from %v was accepted", conn.RemoteAddr())
	}
}

// Filler connections must not be accepted: the exchange would send releases on them as on those of a controller.
func TestFillersAreNotAccepted(t *testing.T) {
	t.Parallel()
	l, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, maxFillers)
	go func() {
		for {
			conn, err := l.accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- conn
		}
	}()
	for range 5 {
		for _, isReachable := range []bool{false, true} {
			if err := l.setReachable(isReachable); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	l.close()
	for conn := range accepted {
		t.Errorf("the filler connection from %v was accepted", conn.RemoteAddr())
	}
}
