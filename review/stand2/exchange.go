//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An exchange is a call server that speaks SIP over TCP, as the protocol page says. It answers each set-up at once and
// lets the call stand until the other side releases it.
type exchange struct {
	id       string
	stage    *stage
	listener net.Listener

	mu       sync.Mutex
	talking  []net.Conn // connections that have brought a message
	setups   []heardSetup
	standing map[string]time.Time // calls that stand, by id
	released map[string]time.Time // when a release came, by id
}

// A heardSetup is a set-up as it reached an exchange.
type heardSetup struct {
	at         time.Time
	id, number string
}

func startExchange(s *stage, id string) (*exchange, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &exchange{
		id: id, stage: s, listener: listener,
		standing: make(map[string]time.Time), released: make(map[string]time.Time),
	}
	go x.accept(listener)
	return x, nil
}

func (x *exchange) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go x.serve(conn)
	}
}

func (x *exchange) member(pool int) member {
	return member{id: x.id, address: x.listener.Addr().String(), zone: "santiago", pool: pool}
}

func (x *exchange) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := textproto.NewReader(bufio.NewReader(conn))
	for isFirst := true; ; isFirst = false {
		first, err := reader.ReadLine()
		if err != nil {
			return
		}
		if isFirst {
			x.mu.Lock()
			x.talking = append(x.talking, conn)
			x.mu.Unlock()
		}
		if first == "" {
			continue
		}
		headers, err := reader.ReadMIMEHeader()
		if err != nil {
			return
		}
		length, err := strconv.Atoi(headers.Get("Content-Length"))
		if err != nil {
			return
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(reader.R, body); err != nil {
			return
		}
		method, _, _ := strings.Cut(first, " ")
		id, cseq := headers.Get("Call-Id"), headers.Get("Cseq")
		x.handle(conn, method, first, id, cseq)
	}
}

// handle handles a message. Responses and ACK need no reply.
func (x *exchange) handle(conn net.Conn, method, first, id, cseq string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	switch method {
	case "INVITE":
		_, rest, _ := strings.Cut(first, "sip:")
		number, _, _ := strings.Cut(rest, "@")
		x.setups = append(x.setups, heardSetup{at: now, id: id, number: number})
		x.standing[id] = now
		x.stage.note("%s: set-up %s, number %s; answered, stands", x.id, id, number)
		reply(conn, "200 OK", id, cseq, "v=0 "+id)
	case "BYE":
		_, stood := x.standing[id]
		delete(x.standing, id)
		x.released[id] = now
		x.stage.note("%s: release %s, stood: %v", x.id, id, stood)
		reply(conn, "200 OK", id, cseq, "")
	case "CANCEL":
		x.stage.note("%s: cancel %s", x.id, id)
		reply(conn, "200 OK", id, cseq, "")
	case "OPTIONS":
		reply(conn, "200 OK", id, cseq, "")
	}
}

func reply(conn net.Conn, status, id, cseq, body string) {
	_, _ = fmt.Fprintf(conn, "SIP/2.0 %s\r\nVia: SIP/2.0/TCP x\r\nCall-ID: %s\r\nCSeq: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, id, cseq, len(body), body)
}

// stillStanding reports whether a call stands.
func (x *exchange) stillStanding(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, ok := x.standing[id]
	return ok
}

// setupsOf returns the set-ups of a call that reached the exchange.
func (x *exchange) setupsOf(id string) (count int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.setups {
		if s.id == id {
			count++
		}
	}
	return count
}
