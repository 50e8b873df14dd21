package server

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/codec/jsonl"
)

// A testCaller is a caller that uses either protocol.
type testCaller interface {
	setUp(number string, left time.Duration) (key string)
	hangUp(key string)
	close()
}

// answerLog records the answers that callers receive, by key and in order.
type answerLog struct {
	mu       sync.Mutex
	byKey    map[string][]string
	changed  chan struct{}
	onAnswer func(key, what string) // called for each answer if not nil; must be set before the first one
}

func newAnswerLog() *answerLog {
	return &answerLog{byKey: make(map[string][]string), changed: make(chan struct{}, 1)}
}

func (h *answerLog) add(key, what string) {
	h.mu.Lock()
	h.byKey[key] = append(h.byKey[key], what)
	h.mu.Unlock()
	if h.onAnswer != nil {
		h.onAnswer(key, what)
	}
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

func (h *answerLog) of(key string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.byKey[key], " ")
}

// await waits until n answers have been received under a key, and returns them.
func (h *answerLog) await(t testing.TB, key string, n int) string {
	t.Helper()
	end := time.After(6 * time.Second)
	for {
		h.mu.Lock()
		got := len(h.byKey[key])
		h.mu.Unlock()
		if got >= n {
			return h.of(key)
		}
		select {
		case <-h.changed:
		case <-time.After(20 * time.Millisecond):
		case <-end:
			t.Fatalf("%s received %q, want %d answers", key, h.of(key), n)
		}
	}
}

type jsonCaller struct {
	*answerLog
	conn     net.Conn
	lastID   int
	idPrefix string
}

func dialJSONCaller(t testing.TB, addr string, answers *answerLog, idPrefix string) *jsonCaller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	k := &jsonCaller{answerLog: answers, conn: c, idPrefix: idPrefix}
	go func() {
		var in jsonl.Reader
		buf := make([]byte, 4096)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			_ = in.Feed(buf[:n], func(m *jsonl.Message) bool {
				switch m.Verb {
				case jsonl.Started:
					answers.add(m.Tag, "stands "+string(m.Blob))
				case jsonl.Finish:
					answers.add(m.Tag, fmt.Sprint("end ", m.ResultCode))
					k.send(&jsonl.Message{Verb: jsonl.Finished, Tag: m.Tag})
				case jsonl.Echoed:
					answers.add("echo", fmt.Sprint(m.ResultCode))
				}
				return true
			})
		}
	}()
	t.Cleanup(k.close)
	return k
}

func (k *jsonCaller) close()                { _ = k.conn.Close() }
func (k *jsonCaller) send(m *jsonl.Message) { _, _ = k.conn.Write(jsonl.Append(nil, m)) }

func (k *jsonCaller) setUp(number string, left time.Duration) string {
	k.lastID++
	tag := fmt.Sprintf("%8s%08x", k.idPrefix, k.lastID)
	k.send(&jsonl.Message{Verb: jsonl.Start, Tag: tag, Blob: []byte(offeredDescription(number)), Options: []jsonl.Option{{Name: "class", Value: "voice"},
		{Name: "left", Value: fmt.Sprint(left.Milliseconds())}, {Name: "key", Value: number}, {Name: "extras", Value: "dest:0;width:1;via:-1"}}})
	return tag
}

func (k *jsonCaller) hangUp(tag string) {
	k.send(&jsonl.Message{Verb: jsonl.Finish, Tag: tag, ResultCode: 16, HasResultCode: true})
}

type gatewayCaller struct {
	*answerLog
	conn         net.Conn
	messageID    string
	lastID       uint32
	mu           sync.Mutex
	contexts     map[string]string // by termination
	replies      map[uint32]int    // number of replies by transaction
	acknowledges bool              // whether it acknowledges replies; must be set before the first call
}

func dialGatewayCaller(t testing.TB, addr string, answers *answerLog, mid string) *gatewayCaller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	k := &gatewayCaller{answerLog: answers, conn: c, messageID: mid, contexts: make(map[string]string), replies: make(map[uint32]int)}
	go func() {
		var in h248.Framer
		buf := make([]byte, 4096)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			_ = in.Feed(buf[:n], func(text []byte) bool {
				m, bad := h248.Parse(text)
				if bad != nil {
					answers.add("error", bad.Error())
					return false
				}
				if m.Err != nil {
					answers.add("error", m.Err.Error())
				}
				for _, tr := range m.Transactions {
					k.handleTransaction(tr)
				}
				return true
			})
		}
	}()
	t.Cleanup(k.close)
	return k
}

func (k *gatewayCaller) handleTransaction(t *h248.Transaction) {
	key := fmt.Sprintf("%s/%d", strings.Trim(k.messageID, "<>"), t.ID)
	switch t.Kind {
	case h248.Pending:
		k.add(key+"/pending", "pending")
	case h248.Reply:
		k.mu.Lock()
		k.replies[t.ID]++
		k.mu.Unlock()
		if k.acknowledges {
			k.send(&h248.Transaction{Kind: h248.Ack, Acked: [][2]uint32{{t.ID, t.ID}}})
		}
		if t.Err != nil {
			k.add(key, fmt.Sprint("error ", t.Err.Code))
			return
		}
		for _, a := range t.Actions {
			if a.Err != nil {
				what := fmt.Sprint("error ", a.Err.Code)
				switch a.Err.Code { // mapped to what a JSON caller receives
				case h248.InsufficientResources:
					what = "end 34"
				case h248.TemporaryFailure:
					what = "end 41"
				}
				k.add(key, what)
			}
			for _, c := range a.Commands {
				if desc, ok := transaction.Description(c, "Local"); ok {
					k.mu.Lock()
					k.contexts[c.Termination] = a.Context
					k.mu.Unlock()
					k.add(key, "stands "+string(desc))
				} else {
					k.add(key, "done "+c.Name)
				}
			}
		}
	case h248.Request:
		c := t.Actions[0].Commands[0]
		cause, _ := transaction.ParseReleaseEvent(c)
		k.add(c.Termination, fmt.Sprint("end ", cause))
		k.send(&h248.Transaction{Kind: h248.Reply, ID: t.ID, Actions: []*h248.Action{{Context: t.Actions[0].Context,
			Commands: []*h248.Command{{Name: c.Name, Termination: c.Termination}}}}})
	}
}

func (k *gatewayCaller) close() { _ = k.conn.Close() }

func (k *gatewayCaller) send(t *h248.Transaction) {
	b, err := h248.AppendFrame(nil, &h248.Message{MID: k.messageID, Transactions: []*h248.Transaction{t}})
	if err == nil {
		_, _ = k.conn.Write(b)
	}
}

// addTransaction returns a set-up on the termination named key.
func addTransaction(key string, id uint32, number string, left time.Duration) *h248.Transaction {
	state := &h248.Node{Name: "TerminationState", Children: []*h248.Node{{Name: "oc/class", Value: "voice"}, {Name: "oc/first", Value: "0"},
		{Name: "oc/number", Value: number}, {Name: "oc/left", Value: fmt.Sprint(left.Milliseconds())}}}
	return &h248.Transaction{ID: id, Actions: []*h248.Action{{Context: "$", Commands: []*h248.Command{{Name: "Add", Termination: key,
		Descriptors: []*h248.Node{{Name: "Media", Children: []*h248.Node{state, {Name: "Remote", Octets: []byte(offeredDescription(number))}}}}}}}}}
}

func (k *gatewayCaller) setUp(number string, left time.Duration) string {
	k.lastID++
	key := fmt.Sprintf("%s/%d", strings.Trim(k.messageID, "<>"), k.lastID)
	k.send(addTransaction(key, k.lastID, number, left))
	return key
}

func (k *gatewayCaller) hangUp(key string) {
	k.mu.Lock()
	context := k.contexts[key]
	k.mu.Unlock()
	if context == "" {
		context = "*"
	}
	k.lastID++
	k.send(&h248.Transaction{ID: k.lastID, Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{{Name: "Subtract", Termination: key}}}}})
}
