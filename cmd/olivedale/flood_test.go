package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// floodTime is how long a client floods the process. It is short for the test run; longer ones are started by hand.
var floodTime = flag.Duration("floodtime", time.Second, "how long a client floods the process")

// A flood is what one client sends at full speed on one connection.
type flood struct {
	name string
	// message returns the nth message.
	message func(n int) []byte
	// prepare puts the process into a state in which the flood is expensive; may be nil.
	prepare func(p *limitedProcess)
	h248    bool // it is sent to the H.248 listener
	admin   bool // or to the admin address
	unread  bool // the client does not read its answers
	// releasesAnswered makes the client release each call as soon as it is established.
	releasesAnswered bool
	// fillsUp means that the flood consists of valid calls, so that those of others may be rejected.
	fillsUp bool
}

func h248Frame(mid, text string) []byte {
	body := "MEGACO/1 " + mid + "\n" + text
	length := len(body) + 4
	return append([]byte{3, 0, byte(length >> 8), byte(length)}, body...)
}

func addText(id int, termination string) string {
	return fmt.Sprintf("Transaction=%d{Context=${Add=%s{Media{TerminationState{oc/class=voice,oc/number=1,oc/left=5000,oc/first=0},Remote{o\n}}}}}",
		id, termination)
}

var floods = []flood{
	{name: "valid set-ups", fillsUp: true, message: func(n int) []byte { return jsonSetup(fmt.Sprintf("a%015x", n)) }},
	{name: "valid set-ups, answers unread", unread: true, fillsUp: true,
		message: func(n int) []byte { return jsonSetup(fmt.Sprintf("a%015x", n)) }},
	{name: "set-ups that are released at once", fillsUp: true, message: func(n int) []byte {
		id := fmt.Sprintf("a%015x", n)
		return append(jsonSetup(id), fmt.Sprintf(`{"verb":"FINISH","tag":%q,"opts":{},"rc":16}`+"\n", id)...)
	}},
	{name: "set-ups that are released when they are established", fillsUp: true, releasesAnswered: true,
		message: func(n int) []byte { return jsonSetup(fmt.Sprintf("9%015x", n)) }},
	{name: "releases of unknown ids", message: func(n int) []byte {
		return fmt.Appendf(nil, `{"verb":"FINISH","tag":"b%015x","opts":{},"rc":16}`+"\n", n)
	}},
	{name: "ever new classes and numbers", message: func(n int) []byte {
		return fmt.Appendf(nil, `{"verb":"START","tag":"c%015x","opts":{"class":"c%d","left":"5000","key":"%d"},"blob":"o"}`+"\n", n, n, n)
	}},
	{name: "ever new numbers", fillsUp: true, message: func(n int) []byte {
		return fmt.Appendf(nil, `{"verb":"START","tag":"d%015x","opts":{"class":"voice","left":"5000","key":"%d","extras":"dest:0;width:1;via:-1"},"blob":"o"}`+"\n", n, n)
	}},
	{name: "echoes", message: func(n int) []byte {
		return fmt.Appendf(nil, `{"verb":"ECHO","tag":"%d","opts":{},"rc":0}`+"\n", n)
	}},
	{name: "echoes, answers unread", unread: true, message: func(n int) []byte {
		return fmt.Appendf(nil, `{"verb":"ECHO","tag":"%d","opts":{},"rc":0}`+"\n", n)
	}},
	{name: "malformed lines", message: func(n int) []byte { return fmt.Appendf(nil, "{\"verb\":%d\n", n) }},
	{name: "invalid set-ups", message: func(n int) []byte {
		return fmt.Appendf(nil, `{"verb":"START","tag":"e%015x","opts":{"class":"voice","left":"5000","key":"1","extras":"width:99"}}`+"\n", n)
	}},
	{name: "many short fields", message: func(n int) []byte {
		return []byte(`{"verb":"START","tag":"zz","opts":{` + strings.Repeat(`"a":1,`, 2600) + `"b":1}}` + "\n")
	}},
	{name: "many short members", message: func(n int) []byte {
		return []byte(`{"verb":"ECHO","tag":"1",` + strings.Repeat(`"a":1,`, 2600) + `"rc":0}` + "\n")
	}},
	{name: "Adds", h248: true, fillsUp: true, message: func(n int) []byte {
		return h248Frame("<flood>", addText(n+1, fmt.Sprintf("line/%d", n)))
	}},
	{name: "Adds by ever new gateways", h248: true, fillsUp: true, message: func(n int) []byte {
		return h248Frame(fmt.Sprintf("<g%d>", n), addText(n+1, "line/1"))
	}},
	{name: "audits by ever new gateways while releases wait", h248: true,
		prepare: func(p *limitedProcess) { p.exchange.releaseUnknownCalls(2000) }, message: func(n int) []byte {
			return h248Frame(fmt.Sprintf("<g%d>", n), fmt.Sprintf("Transaction=%d{Context=-{AuditValue=ROOT}}", n+1))
		}},
	{name: "Subtracts of unknown contexts", h248: true, message: func(n int) []byte {
		return h248Frame("<flood>", fmt.Sprintf("Transaction=%d{Context=%d{Subtract=*}}", n+1, n+1))
	}},
	{name: "audits by ever new gateways", h248: true, message: func(n int) []byte {
		return h248Frame(fmt.Sprintf("<g%d>", n), fmt.Sprintf("Transaction=%d{Context=-{AuditValue=ROOT}}", n+1))
	}},
	{name: "audits on the admin address, unread", admin: true, unread: true, message: func(n int) []byte {
		return h248Frame("<flood>", fmt.Sprintf("Transaction=%d{Context=-{AuditValue=ROOT}}", n+1))
	}},
	{name: "many transactions in a message", h248: true, message: func(n int) []byte {
		var text strings.Builder
		for i := range 300 {
			fmt.Fprintf(&text, "Transaction=%d{Context=-{AuditValue=ROOT}}", n*300+i+1)
		}
		return h248Frame("<flood>", text.String())
	}},
	{name: "many short descriptors", h248: true, message: func(n int) []byte {
		return h248Frame("<flood>", "Transaction="+strconv.Itoa(n+1)+"{Context=${Add=x{"+strings.Repeat("a,", 7000)+"b}}}")
	}},
	{name: "the same transaction", h248: true, message: func(n int) []byte {
		return h248Frame("<flood>", addText(1, "line/1"))
	}},
}

// run floods the process until the time is over. When the process closes the connection, it opens another.
func (f *flood) run(p *limitedProcess, end time.Time) (messages, connections int) {
	address := p.listen
	switch {
	case f.h248:
		address = p.gateways
	case f.admin:
		address = p.admin
	}
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		connections++
		messages = f.runOn(conn, messages, end)
	}
	return messages, connections
}

func (f *flood) runOn(conn net.Conn, messages int, end time.Time) int {
	const batchBytes = 32 << 10
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(end)
	switch {
	case f.releasesAnswered:
		go releaseAnswered(conn)
	case !f.unread:
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	for {
		var batch []byte
		for len(batch) < batchBytes {
			batch = append(batch, f.message(messages)...)
			messages++
		}
		if _, err := conn.Write(batch); err != nil {
			return messages
		}
	}
}

// releaseAnswered releases each call that is established on a connection.
func releaseAnswered(conn net.Conn) {
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		_, rest, isAnswer := strings.Cut(lines.Text(), `"STARTED","tag":"`)
		if id, _, ok := strings.Cut(rest, `"`); isAnswer && ok {
			_, _ = fmt.Fprintf(conn, `{"verb":"FINISH","tag":%q,"opts":{},"rc":16}`+"\n", id)
		}
	}
}

// Guards against a process that exceeds its memory, or answers other clients late, while one client sends at full speed
// on one connection, and against a log that grows with it.
func TestFloodOnOneConnection(t *testing.T) {
	for _, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			p := startLimited(t, limitedSockets)
			if f.prepare != nil {
				f.prepare(p)
				time.Sleep(200 * time.Millisecond)
			}
			end := time.Now().Add(*floodTime)
			var probing sync.WaitGroup
			probing.Go(func() { p.probe(t, *floodTime) })
			messages, connections := f.run(p, end)
			probing.Wait()
			time.Sleep(300 * time.Millisecond)
			t.Logf("%d messages on %d connections; %d set-ups and %d releases at the exchange",
				messages, connections, p.exchange.invites.Load(), p.exchange.releases.Load())
			p.check(t, f.fillsUp)
		})
	}
}
