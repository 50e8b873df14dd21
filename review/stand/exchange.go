package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An exchange speaks SIP as the protocol page says.
type exchange struct {
	stage    *stage
	id       string
	listener net.Listener
	hold     time.Duration // length of a call; 0: until it is released
	quiet    bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	calls map[string]*exchangeCall
	order []*exchangeCall
	ended bool
}

// An exchangeCall is a set-up that reached an exchange.
type exchangeCall struct {
	id, body   string
	receivedAt time.Time // of its first byte, or shortly behind it
	standing   bool
	releasedAt time.Time // by the controller
	cut        bool      // stood when the exchange stopped
}

func (s *stage) startExchange(id string, hold time.Duration) *exchange {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	x := &exchange{stage: s, id: id, listener: l, hold: hold, conns: make(map[net.Conn]bool),
		calls: make(map[string]*exchangeCall)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			x.mu.Lock()
			x.conns[conn] = true
			x.mu.Unlock()
			go x.serve(conn)
		}
	}()
	return x
}

func (x *exchange) address() string { return x.listener.Addr().String() }

// stop ends the process of the exchange: its connections are reset and its calls cut.
func (x *exchange) stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	_ = x.listener.Close()
	for conn := range x.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	cut := 0
	for _, k := range x.calls {
		if k.standing {
			k.cut, k.standing = true, false
			cut++
		}
	}
	x.stage.logf(x.id, "the process stops; %d calls are cut", cut)
}

func (x *exchange) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	var write sync.Mutex
	send := func(text string) {
		write.Lock()
		defer write.Unlock()
		_, _ = io.WriteString(conn, text)
	}
	for {
		first, err := r.ReadString('\n')
		if err != nil {
			return
		}
		at := time.Now()
		head := map[string]string{}
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			name, value, found := strings.Cut(strings.TrimSpace(line), ":")
			if !found {
				break
			}
			head[strings.ToLower(name)] = strings.TrimSpace(value)
		}
		size, _ := strconv.Atoi(head["content-length"])
		body := make([]byte, size)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		x.handle(send, strings.Fields(first)[0], head, string(body), at)
	}
}

func response(status string, head map[string]string, body string) string {
	return fmt.Sprintf("SIP/2.0 %s\r\nVia: %s\r\nCall-ID: %s\r\nCSeq: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, head["via"], head["call-id"], head["cseq"], len(body), body)
}

func (x *exchange) handle(send func(string), method string, head map[string]string, body string, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	id := head["call-id"]
	k := x.calls[id]
	switch method {
	case "INVITE":
		k = &exchangeCall{id: id, body: body, receivedAt: at}
		x.calls[id] = k
		x.order = append(x.order, k)
		if !x.quiet {
			x.stage.logf(x.id, "set-up %s received (%s)", id, strings.TrimSpace(body))
		}
		time.AfterFunc(15*time.Millisecond, func() { x.answer(send, k, head) })
	case "CANCEL":
		send(response("200 OK", head, ""))
	case "BYE":
		send(response("200 OK", head, ""))
		if k != nil && k.standing {
			k.standing, k.releasedAt = false, at
			if !x.quiet {
				x.stage.logf(x.id, "%s is released by the call controller (%s)", id, strings.TrimSpace(k.body))
			}
		}
	case "OPTIONS":
		send(response("200 OK", head, ""))
	}
}

// answer answers a set-up; the call stands, and ends after its length.
func (x *exchange) answer(send func(string), k *exchangeCall, head map[string]string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return
	}
	k.standing = true
	send(response("200 OK", head, "answer of "+x.id+" for "+k.id))
	if x.hold > 0 {
		time.AfterFunc(x.hold, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if k.standing && !x.ended {
				k.standing = false
				send(fmt.Sprintf("BYE sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 9 BYE\r\n"+
					"Reason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n", k.id))
			}
		})
	}
}

// received returns copies of all set-ups, in order.
func (x *exchange) received() []exchangeCall {
	x.mu.Lock()
	defer x.mu.Unlock()
	var all []exchangeCall
	for _, k := range x.order {
		all = append(all, *k)
	}
	return all
}
