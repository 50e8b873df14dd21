package server

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/codec/callid"
	"olivedale/internal/codec/jsonl"
)

// Times of the connections that come as the process ends.
const (
	// lateLookInterval is the time between two looks for connections; after lateQuietLooks in a row without any nobody
	// is there any more.
	lateLookInterval = 5 * time.Millisecond
	lateQuietLooks   = 12
	// lateLimit bounds the whole: SIGKILL may be near.
	lateLimit = 200 * time.Millisecond
	// lateReadTime bounds the wait for the set-ups of one connection.
	lateReadTime = 100 * time.Millisecond
	// maxLateConnections bounds those that are taken by one look.
	maxLateConnections = 64
)

// A lateListener answers those that connect once the event loop has ended. A set-up that crosses the close of its
// connection is sent again on a new one, which the kernel accepts for as long as there is a listening socket: it would
// be lost with the process. It is rejected; nothing else is owed to anybody by then.
type lateListener struct {
	*net.TCPListener
	rejected atomic.Int64
}

// duplicateListener keeps the callers' listening socket open beyond the event loop; nil: it could not be done.
func (s *Server) duplicateListener() *lateListener {
	descriptor, err := s.engine.DupListener("tcp", s.cfg.Listen)
	if err != nil {
		s.loop.Log.Warnw("late_listener", "err", err)
		return nil
	}
	file := os.NewFile(uintptr(descriptor), s.cfg.Listen)
	defer func() { _ = file.Close() }()
	ln, err := net.FileListener(file)
	if err != nil {
		s.loop.Log.Warnw("late_listener", "err", fmt.Errorf("%s: %w", s.cfg.Listen, err))
		return nil
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		_ = ln.Close()
		return nil
	}
	return &lateListener{TCPListener: tcp}
}

// serve rejects set-ups until no connection has come for a while, and closes the listener. The nil *lateListener does
// nothing.
func (l *lateListener) serve() (rejected int) {
	if l == nil {
		return 0
	}
	var open sync.WaitGroup
	end := time.Now().Add(lateLimit)
	// Quiet is counted in looks, not in time: a process that gets no processor has not looked.
	for quietLooks := 0; quietLooks < lateQuietLooks && time.Now().Before(end); quietLooks++ {
		if l.acceptPending(&open) > 0 {
			quietLooks = 0
		}
		time.Sleep(lateLookInterval)
	}
	l.acceptPending(&open)
	_ = l.Close()
	open.Wait()
	return int(l.rejected.Load())
}

// acceptPending takes the connections that are there, without waiting, and returns their number.
func (l *lateListener) acceptPending(open *sync.WaitGroup) (accepted int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(listening uintptr) {
		for ; accepted < maxLateConnections; accepted++ {
			socket, _, err := syscall.Accept4(int(listening), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			open.Go(func() { l.serveSocket(socket) })
		}
	})
	return accepted
}

// serveSocket answers what a socket brings.
func (l *lateListener) serveSocket(socket int) {
	file := os.NewFile(uintptr(socket), "late connection")
	conn, err := net.FileConn(file)
	_ = file.Close()
	if err == nil {
		l.reject(conn)
	}
}

// reject answers what a connection brings within lateReadTime.
func (l *lateListener) reject(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(lateReadTime))
	var reader jsonl.Reader
	buffer := make([]byte, jsonl.MaxMessageSize)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		var answers []byte
		err = reader.Feed(buffer[:n], func(m *jsonl.Message) bool {
			answers = l.appendAnswer(answers, m)
			return true
		})
		if _, writeErr := conn.Write(answers); err != nil || writeErr != nil {
			return
		}
	}
}

// appendAnswer appends the rejection of a set-up, or the failure of a test.
func (l *lateListener) appendAnswer(b []byte, m *jsonl.Message) []byte {
	switch {
	case m.Verb == jsonl.Start && callid.Valid(m.Tag):
		l.rejected.Add(1)
		return jsonl.Append(b, &jsonl.Message{
			Verb: jsonl.Finish, Tag: m.Tag, ResultCode: call.CauseNoCircuit, HasResultCode: true,
		})
	case m.Verb == jsonl.Echo:
		return jsonl.Append(b, &jsonl.Message{Verb: jsonl.Echoed, Tag: m.Tag, HasResultCode: true})
	}
	return b
}
