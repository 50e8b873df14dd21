package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// A call is one set-up of a caller and what became of it.
type call struct {
	id, class string
	sentAt    time.Time
	served    bool
	blob      string // the description that came with the answer
	answered  bool
	cause     int // of a refusal or failure
	over      bool
	overAt    time.Time
}

// callers are clients of the platform's protocol that share connections to one controller.
type callers struct {
	stage   *stage
	address string

	mu    sync.Mutex
	conn  net.Conn
	calls map[string]*call
	quiet bool
}

type message struct {
	Verb string            `json:"verb"`
	Tag  string            `json:"tag"`
	Opts map[string]string `json:"opts"`
	Blob *string           `json:"blob,omitempty"`
	RC   *int              `json:"rc,omitempty"`
}

func (s *stage) newCallers(address string) *callers {
	return &callers{stage: s, address: address, calls: make(map[string]*call)}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// connection returns the open connection, or opens one.
func (c *callers) connection() net.Conn {
	if c.conn != nil {
		return c.conn
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	check(err)
	c.conn = conn
	go c.read(conn)
	return conn
}

func (c *callers) send(m message) {
	b, err := json.Marshal(m)
	check(err)
	if _, err := c.connection().Write(append(b, '\n')); err != nil { // closed: once more on a new connection
		c.conn = nil
		_, _ = c.connection().Write(append(b, '\n'))
	}
}

// setUp sends a set-up.
func (c *callers) setUp(class string, pool int, left time.Duration) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := &call{id: newID(), class: class, sentAt: time.Now()}
	c.calls[k.id] = k
	blob := "caller " + k.id + "\r\nc=IN IP4 10.4.7.9\r\n"
	c.send(message{Verb: "START", Tag: k.id, Blob: &blob, Opts: map[string]string{
		"class":  class,
		"left":   fmt.Sprint(left.Milliseconds()),
		"key":    newID(),
		"extras": fmt.Sprintf("dest:%d;width:1;via:-1", pool),
	}})
	if !c.quiet {
		c.stage.logf("caller", "set-up %s sent", k.id)
	}
	return k.id
}

// hangUp releases a call that stands.
func (c *callers) hangUp(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.calls[id]
	if k == nil || !k.served || k.over {
		return
	}
	k.over, k.overAt = true, time.Now()
	cause := 16
	c.send(message{Verb: "FINISH", Tag: id, Opts: map[string]string{}, RC: &cause})
	if !c.quiet {
		c.stage.logf("caller", "hangs up %s", id)
	}
}

func (c *callers) read(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			break
		}
		var m message
		if json.Unmarshal(line, &m) == nil {
			c.handle(conn, &m)
		}
	}
	_ = conn.Close()
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
}

func (c *callers) handle(conn net.Conn, m *message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.calls[m.Tag]
	if k == nil {
		return
	}
	switch {
	case m.Verb == "STARTED":
		k.served, k.answered = true, true
		if m.Blob != nil {
			k.blob = *m.Blob
		}
		if !c.quiet {
			c.stage.logf("caller", "%s stands, with the description %q", k.id, k.blob)
		}
	case m.Verb == "FINISH" && !k.answered:
		k.answered = true
		if m.RC != nil {
			k.cause = *m.RC
		}
		c.stage.logf("caller", "%s is refused or failed, cause %d", k.id, k.cause)
	case m.Verb == "FINISH":
		k.over, k.overAt = true, time.Now()
		if !c.quiet {
			c.stage.logf("caller", "%s is released", k.id)
		}
		b, _ := json.Marshal(message{Verb: "FINISHED", Tag: k.id, Opts: map[string]string{}})
		_, _ = conn.Write(append(b, '\n'))
	}
}

// snapshot returns copies of all calls.
func (c *callers) snapshot() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []call
	for _, k := range c.calls {
		all = append(all, *k)
	}
	return all
}
