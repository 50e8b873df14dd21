//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// A line is a message of the callers' protocol.
type line struct {
	Verb string         `json:"verb"`
	Tag  string         `json:"tag"`
	Opts map[string]any `json:"opts"`
	RC   *int           `json:"rc,omitempty"`
	Blob string         `json:"blob,omitempty"`
}

// A callerConn is a connection of callers, which may carry many calls.
type callerConn struct {
	conn    net.Conn
	callers *callers
	mu      sync.Mutex // serialises writes
}

// callers hold what all connections of callers heard.
type callers struct {
	stage *stage

	mu        sync.Mutex
	answered  map[string]time.Time // 'the call stands', by id
	answers   map[string]int       // how many final answers, by id
	refused   map[string]int       // cause of a final answer that is none of the above, by id
	released  map[string]time.Time // release after the answer, by id
	confirmed map[string]time.Time // 'release heard', by id
	echoed    map[string]int       // results of tests, by tag
}

func newCallers(s *stage) *callers {
	return &callers{
		stage: s, answered: make(map[string]time.Time), answers: make(map[string]int), refused: make(map[string]int),
		released: make(map[string]time.Time), confirmed: make(map[string]time.Time), echoed: make(map[string]int),
	}
}

// newID returns an id of 16 hexadecimal digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *callers) connect(address string) (*callerConn, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	cc := &callerConn{conn: conn, callers: c}
	go cc.read()
	return cc, nil
}

func (cc *callerConn) close() { _ = cc.conn.Close() }

func (cc *callerConn) send(l *line) error {
	if l.Opts == nil {
		l.Opts = map[string]any{}
	}
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	_, err = cc.conn.Write(append(text, '\n'))
	return err
}

// ask sends a set-up.
func (cc *callerConn) ask(id, class, number string, pool int, left time.Duration) error {
	cc.callers.stage.note("caller: set-up %s, %s, number %s, pool %d", id, class, number, pool)
	return cc.send(&line{Verb: "START", Tag: id, Blob: id + "\r\nc=IN IP4 127.0.0.9\r\n", Opts: map[string]any{
		"class": class, "left": fmt.Sprint(left.Milliseconds()), "key": number,
		"extras": fmt.Sprintf("dest:%d;width:1;via:-1", pool),
	}})
}

// release releases a call that stands.
func (cc *callerConn) release(id string) error {
	cause := 16
	cc.callers.stage.note("caller: release %s", id)
	return cc.send(&line{Verb: "FINISH", Tag: id, RC: &cause})
}

func (cc *callerConn) read() {
	scanner := bufio.NewScanner(cc.conn)
	for scanner.Scan() {
		var l line
		if json.Unmarshal([]byte(strings.TrimSpace(scanner.Text())), &l) != nil {
			cc.callers.stage.note("caller: unreadable line %q", scanner.Text())
			continue
		}
		cc.callers.heard(cc, &l)
	}
}

func (c *callers) heard(cc *callerConn, l *line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	cause := 0
	if l.RC != nil {
		cause = *l.RC
	}
	switch l.Verb {
	case "STARTED":
		c.answered[l.Tag] = now
		c.answers[l.Tag]++
		c.stage.note("caller: %s stands", l.Tag)
	case "FINISH":
		if _, stood := c.answered[l.Tag]; stood {
			if _, again := c.released[l.Tag]; !again {
				c.released[l.Tag] = now
			}
			c.stage.note("caller: %s is released, cause %d", l.Tag, cause)
		} else {
			c.answers[l.Tag]++
			c.refused[l.Tag] = cause
			c.stage.note("caller: %s is refused or failed, cause %d", l.Tag, cause)
		}
		go func() { _ = cc.send(&line{Verb: "FINISHED", Tag: l.Tag}) }()
	case "FINISHED":
		c.confirmed[l.Tag] = now
		c.stage.note("caller: release of %s heard", l.Tag)
	case "ECHOED":
		c.echoed[l.Tag] = cause
	}
}

// stands reports whether a call was answered as standing.
func (c *callers) stands(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.answered[id]
	return ok
}

// isAnswered reports whether a call has a final answer.
func (c *callers) isAnswered(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[id] > 0
}

// isReady reports whether a controller passes a test at its clients' address.
func (c *callers) isReady(address string) bool {
	cc, err := c.connect(address)
	if err != nil {
		return false
	}
	defer cc.close()
	tag, cause := newID(), 0
	if cc.send(&line{Verb: "ECHO", Tag: tag, RC: &cause}) != nil {
		return false
	}
	return waitUntil(time.Second, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.echoed[tag] == 1
	})
}

// waitReady waits until a controller passes a test.
func (c *callers) waitReady(address string, timeout time.Duration) error {
	if !waitUntil(timeout, func() bool { return c.isReady(address) }) {
		return fmt.Errorf("the controller at %s is not ready", address)
	}
	c.stage.say("the controller at %s is ready", address)
	return nil
}

// tryCall makes one call on a connection of its own and returns whether it stood. An address that refuses the
// connection, or closes it without an answer, returns false.
func (c *callers) tryCall(address, number string, pool int, timeout time.Duration) (id string, stood bool) {
	id = newID()
	cc, err := c.connect(address)
	if err != nil {
		c.stage.note("caller: %s: %v", address, err)
		return id, false
	}
	defer cc.close()
	if cc.ask(id, classNames[0], number, pool, timeout) != nil {
		return id, false
	}
	waitUntil(timeout, func() bool { return c.isAnswered(id) })
	return id, c.stands(id)
}
