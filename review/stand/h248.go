package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"sync"
	"time"
)

// readFrame reads the text of one H.248 message (a TPKT frame).
func readFrame(r io.Reader) (string, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return "", err
	}
	size := int(binary.BigEndian.Uint16(header[2:]))
	if header[0] != 3 || size < 4 {
		return "", fmt.Errorf("invalid frame")
	}
	text := make([]byte, size-4)
	_, err := io.ReadFull(r, text)
	return string(text), err
}

func writeFrame(w io.Writer, text string) error {
	b := []byte{3, 0, 0, 0}
	binary.BigEndian.PutUint16(b[2:], uint16(4+len(text)))
	_, err := w.Write(append(b, text...))
	return err
}

// longTimer is how long a reply is kept for repeats of its transaction.
const longTimer = 30 * time.Second

var (
	messageID   = regexp.MustCompile(`^MEGACO/1 (\S+)\s`)
	requestText = regexp.MustCompile(`Transaction=(\d+)\{Context=([^{]+)\{(Add|Subtract)=([^{},]+)`)
	callText    = regexp.MustCompile(`oc/call=([0-9a-fA-F]{16})`)
)

// A callServer is a call server that speaks H.248. It executes each transaction at most once: a reply is kept for 30 s
// by message id and transaction id, and a repeat gets it again on whatever connection it arrives.
type callServer struct {
	stage    *stage
	listener net.Listener

	mu          sync.Mutex
	replies     map[string]storedReply
	lastContext int
	made        map[string]string // description made for a call, by its id
	standing    map[string]string // context by termination
	repeats     int
}

type storedReply struct {
	text, what string
	at         time.Time
}

func (s *stage) startCallServer() *callServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	c := &callServer{stage: s, listener: l, replies: make(map[string]storedReply), made: make(map[string]string),
		standing: make(map[string]string)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

func (c *callServer) address() string { return c.listener.Addr().String() }

func (c *callServer) serve(conn net.Conn) {
	defer conn.Close()
	for {
		text, err := readFrame(conn)
		if err != nil {
			return
		}
		sender := messageID.FindStringSubmatch(text)
		request := requestText.FindStringSubmatch(text)
		if sender == nil || request == nil {
			continue // a reply or an acknowledgement
		}
		time.Sleep(10 * time.Millisecond) // the processor
		if writeFrame(conn, c.execute(sender[1], request, text)) != nil {
			return
		}
	}
}

// execute runs a transaction, or returns the reply of one that was run before.
func (c *callServer) execute(sender string, request []string, text string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, context, command, termination := request[1], request[2], request[3], request[4]
	key := sender + " " + id
	what := command + " " + termination
	if stored, ok := c.replies[key]; ok && time.Since(stored.at) < longTimer {
		c.repeats++
		c.stage.logf("server", "transaction %s of %s again (now %s): the reply to %s, %.1f s old, is sent again, "+
			"nothing is run",
			id, sender, what, stored.what, time.Since(stored.at).Seconds())
		return stored.text
	}
	var body string
	if command == "Add" {
		c.lastContext++
		context = fmt.Sprint(c.lastContext)
		called := callText.FindStringSubmatch(text)[1]
		c.made[called] = fmt.Sprintf("answer %d for call %s", c.lastContext, called)
		c.standing[termination] = context
		body = fmt.Sprintf("Context=%s{Add=%s{Media{Local{%s}}}}", context, termination, c.made[called])
	} else if _, ok := c.standing[termination]; ok {
		delete(c.standing, termination)
		body = fmt.Sprintf("Context=%s{Subtract=%s}", context, termination)
	} else {
		body = fmt.Sprintf("Context=%s{Error=431{\"no such termination\"}}", context)
	}
	reply := "MEGACO/1 <call-server>\nReply=" + id + "{" + body + "}\n"
	c.replies[key] = storedReply{text: reply, what: what, at: time.Now()}
	c.stage.logf("server", "transaction %s of %s run: %s: %s", id, sender, what, body)
	return reply
}

// A gateway is a panel that speaks H.248: it sets up calls and hangs up.
type gateway struct {
	stage    *stage
	mid      string
	address  string
	conn     net.Conn
	lastID   int
	mu       sync.Mutex
	replies  map[int]chan string
	notified map[string]time.Time // release told by the controller, by context
}

var (
	replyText  = regexp.MustCompile(`Reply=(\d+)\{`)
	notifyText = regexp.MustCompile(`Transaction=(\d+)\{Context=(\d+)\{Notify=([^{},]+)\{[^}]*oc/rel`)
	contextOf  = regexp.MustCompile(`Context=(\d+)\{`)
)

func (s *stage) newGateway(mid, address string, firstID int) *gateway {
	return &gateway{stage: s, mid: mid, address: address, lastID: firstID, replies: make(map[int]chan string),
		notified: make(map[string]time.Time)}
}

func (g *gateway) connect() {
	conn, err := net.DialTimeout("tcp", g.address, time.Second)
	check(err)
	g.conn = conn
	go g.read(conn)
}

func (g *gateway) read(conn net.Conn) {
	defer conn.Close()
	for {
		text, err := readFrame(conn)
		if err != nil {
			return
		}
		if n := notifyText.FindStringSubmatch(text); n != nil {
			g.mu.Lock()
			g.notified[n[2]] = time.Now()
			g.mu.Unlock()
			g.stage.logf(g.mid, "is told that its call in context %s is over", n[2])
			_ = writeFrame(conn, fmt.Sprintf("MEGACO/1 %s\nReply=%s{Context=%s{Notify=%s}}\n", g.mid, n[1], n[2], n[3]))
			continue
		}
		if r := replyText.FindStringSubmatch(text); r != nil {
			var id int
			_, _ = fmt.Sscan(r[1], &id)
			g.mu.Lock()
			waiting := g.replies[id]
			delete(g.replies, id)
			g.mu.Unlock()
			if waiting != nil {
				waiting <- text
			}
		}
	}
}

// request sends a transaction and waits for its reply.
func (g *gateway) request(body string) string {
	g.lastID++
	waiting := make(chan string, 1)
	g.mu.Lock()
	g.replies[g.lastID] = waiting
	g.mu.Unlock()
	check(writeFrame(g.conn, fmt.Sprintf("MEGACO/1 %s\nTransaction=%d{%s}\n", g.mid, g.lastID, body)))
	select {
	case reply := <-waiting:
		return reply
	case <-time.After(4 * time.Second):
		return ""
	}
}

// call sets up a call on a termination and returns its context, or "".
func (g *gateway) call(termination string) string {
	g.stage.logf(g.mid, "set-up on %s sent", termination)
	reply := g.request(fmt.Sprintf("Context=${Add=%s{Media{TerminationState{oc/class=resident-call,oc/number=%s,"+
		"oc/left=3000,oc/first=0},Remote{call of %s}}}}", termination, newID(), g.mid))
	if strings.Contains(reply, "Error=") || reply == "" {
		g.stage.logf(g.mid, "no call: %q", reply)
		return ""
	}
	context := contextOf.FindStringSubmatch(reply)[1]
	g.stage.logf(g.mid, "the call stands in context %s", context)
	return context
}

// hangUp subtracts a call's termination from its context.
func (g *gateway) hangUp(context, termination string) {
	g.stage.logf(g.mid, "hangs up: Subtract %s in context %s", termination, context)
	reply := g.request(fmt.Sprintf("Context=%s{Subtract=%s}", context, termination))
	g.stage.logf(g.mid, "reply: %q", reply)
}
