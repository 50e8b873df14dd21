// Package wire reads and writes the line format in which a host talks to
// several access nodes at once. It translates and checks; it decides nothing.
package simproto

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"olivedale/internal/admission"
)

// A Batch is what one line brings: the clock and the items of each node.
type Batch struct {
	Now   admission.Time
	Nodes []Node
}

// A Node holds the items for one access node, in the order of arrival.
type Node struct {
	Number int
	Items  []Item
}

// An Item is a Start, a Kill or an event for the module.
type Item struct {
	Start *Start
	Kill  bool
	Event admission.Event
}

// Start begins a node without any state.
type Start struct {
	Seed     uint64
	Settings admission.Settings
}

// A Reply is a node's actions.
type Reply struct {
	Number  int
	Actions []admission.Action
}

// A Decoder reads lines and keeps what spans them: their count and the
// numbered server lists. Its zero value is ready for use.
type Decoder struct {
	line  int
	pages map[int][]admission.Server
}

type rawBatch struct {
	AtTime *float64 `json:"atTime"`
	Nodes  []struct {
		Node  *int              `json:"node"`
		Items []json.RawMessage `json:"items"`
	} `json:"nodes"`
}

// Decode reads one line. Its error names the line, the event and the field.
func (d *Decoder) Decode(line []byte) (Batch, error) {
	d.line++
	b, err := d.decode(line)
	if err != nil {
		return Batch{}, fmt.Errorf("line %d: %w", d.line, err)
	}
	return b, nil
}

func (d *Decoder) decode(line []byte) (Batch, error) {
	var raw rawBatch
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, fmt.Errorf("batch: %w", err)
	}
	if raw.AtTime == nil {
		return Batch{}, fmt.Errorf("batch: atTime: missing")
	}
	now, err := millis(*raw.AtTime)
	if err != nil {
		return Batch{}, fmt.Errorf("batch: atTime: %w", err)
	}
	b := Batch{Now: now}
	for _, n := range raw.Nodes {
		if n.Node == nil {
			return Batch{}, fmt.Errorf("batch: node: missing")
		}
		node := Node{Number: *n.Node}
		for _, text := range n.Items {
			items, err := d.item(text)
			if err != nil {
				return Batch{}, err
			}
			node.Items = append(node.Items, items...)
		}
		b.Nodes = append(b.Nodes, node)
	}
	return b, nil
}

// item reads one event; a PAGE yields none.
func (d *Decoder) item(text json.RawMessage) ([]Item, error) {
	var cells []json.RawMessage
	if err := json.Unmarshal(text, &cells); err != nil || len(cells) == 0 {
		return nil, fmt.Errorf("item %.40q: want an array that begins with a name", text)
	}
	r := &row{name: "item", cells: cells}
	name := r.str(0, "name")
	if r.err != nil {
		return nil, r.err
	}
	r.name = name
	want, ok := arity[name]
	if !ok {
		return nil, fmt.Errorf("unknown event %q", name)
	}
	if len(cells) != want {
		return nil, fmt.Errorf("%s: want %d values, got %d", name, want-1, len(cells)-1)
	}
	it := d.read(name, r)
	if r.err != nil {
		return nil, r.err
	}
	if it == nil {
		return nil, nil
	}
	return []Item{*it}, nil
}

// arity counts the values of each event, its name included.
var arity = map[string]int{
	"START": 3, "PAGE": 3, "MEMBERS": 4, "ASK": 11, "HEADERS": 5, "GONE": 2,
	"PROBED": 5, "RETURNED": 9, "KILL": 1, "BELL": 2, "HEARD": 3,
}

func (d *Decoder) read(name string, r *row) *Item {
	switch name {
	case "START":
		return d.start(r)
	case "PAGE":
		if d.pages == nil {
			d.pages = make(map[int][]admission.Server)
		}
		d.pages[r.num(1, "rosterId")] = r.entries(2, "lines")
		return nil
	case "MEMBERS":
		return d.members(r)
	case "ASK":
		r.optFloat(2, "work")
		r.num(4, "units")
		flags := r.num(6, "flags")
		r.optNum(9, "via", -1)
		return event(admission.CallOffered{
			CallID: r.str(1, "opId"), PreferredPool: r.num(3, "farEnd"), Deadline: r.time(5, "validUntil"),
			Redialed: flags&2 != 0, Reestablish: flags&16 != 0,
			Number: r.optStr(8, "entity"), Class: r.str(10, "service"),
		})
	case "HEADERS":
		return event(admission.CallEstablished{CallID: r.str(1, "opId"), Attempt: r.num(2, "leg"),
			Server: r.str(3, "server"), SetupTime: r.time(4, "elapsed")})
	case "GONE":
		return event(admission.CallAbandoned{CallID: r.str(1, "opId")})
	case "PROBED":
		code := r.str(1, "code")
		server, _ := r.str(2, "server"), r.time(3, "elapsed")
		return event(admission.LoadReported{Server: server, OK: code == "delivered", Load: r.load(4, "telemetry")})
	case "RETURNED":
		return returned(r)
	case "KILL":
		return &Item{Kill: true}
	case "BELL":
		return event(admission.TimerFired{Key: r.int64(1, "keyBack")})
	default: // HEARD: the module sends no messages and has no use for them
		r.num(1, "sender")
		r.str(2, "content")
		return nil
	}
}

func event(e admission.Event) *Item { return &Item{Event: e} }

func (d *Decoder) members(r *row) *Item {
	how, number := r.str(1, "how"), r.num(2, "rosterId")
	r.num(3, "rev")
	if r.err != nil {
		return nil
	}
	if how == "failed" {
		return event(admission.ServersUpdated{Failed: true})
	}
	page, ok := d.pages[number]
	if !ok {
		r.fail("rosterId", fmt.Errorf("no PAGE has number %d", number))
		return nil
	}
	list := admission.ServersUpdated{Servers: page}
	switch how {
	case "delta":
	case "full":
		list.Full = true
	case "cached":
		list.Full, list.Cached = true, true
	default:
		r.fail("how", fmt.Errorf("unknown kind %q", how))
	}
	return event(list)
}

var codes = map[string]admission.AttemptResult{
	"delivered": admission.Delivered, "app_error": admission.ServerError, "shed": admission.ServerBusy,
	"expired": admission.TimedOut, "dial_failed": admission.DialFailed,
	"dropped": admission.ConnectionLost, "revoked": admission.Canceled, "unused": admission.NotSent,
}

func returned(r *row) *Item {
	text := r.str(4, "code")
	code, ok := codes[text]
	if !ok {
		r.fail("code", fmt.Errorf("unknown code %q", text))
	}
	note := r.optNum(7, "clearCode", 0)
	e := admission.AttemptEnded{CallID: r.str(1, "opId"), Attempt: r.num(2, "leg"), Server: r.str(3, "server"),
		Result: code, Elapsed: r.time(5, "elapsed"), Final: r.flag(6, "terminal"), Load: r.load(8, "telemetry")}
	if note > 0 {
		e.RetryAfter = time.Duration(note>>4) * time.Millisecond
		switch cause := note & 15; cause {
		case 1, 2, 3, 4:
			e.Cause = admission.FailureCause(cause)
		}
	}
	return event(e)
}

// Encode writes the replies of one batch as a line, its newline included.
func Encode(replies []Reply) ([]byte, error) {
	type node struct {
		Node      int     `json:"node"`
		Decisions [][]any `json:"decisions"`
	}
	out := struct {
		Nodes []node `json:"nodes"`
	}{Nodes: []node{}}
	for _, reply := range replies {
		if len(reply.Actions) == 0 {
			continue
		}
		n := node{Node: reply.Number}
		for _, a := range reply.Actions {
			if _, ok := a.(admission.RateLimitChanged); ok {
				continue // tells the staff; the simulator has no row for it
			}
			cells, err := encode(a)
			if err != nil {
				return nil, fmt.Errorf("node %d: %w", reply.Number, err)
			}
			n.Decisions = append(n.Decisions, cells)
		}
		if len(n.Decisions) > 0 {
			out.Nodes = append(out.Nodes, n)
		}
	}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(out); err != nil {
		return nil, fmt.Errorf("encoding a reply: %w", err)
	}
	return buf.Bytes(), nil
}

func encode(a admission.Action) ([]any, error) {
	switch a := a.(type) {
	case admission.SendAttempt:
		return []any{"RELAY", a.CallID, a.Server, toMillis(a.Timeout)}, nil
	case admission.RejectCall:
		if a.RetryAfter <= 0 {
			return []any{"BUSY", a.CallID, nil}, nil
		}
		return []any{"BUSY", a.CallID, toMillis(a.RetryAfter)}, nil
	case admission.FailCall:
		return []any{"RESPOND_ERROR", a.CallID}, nil
	case admission.CancelAttempt:
		return []any{"ABORT_ATTEMPT", a.CallID, a.Attempt}, nil
	case admission.SetTimer:
		return []any{"DEFER", toMillis(a.At), a.Key}, nil
	case admission.WatchServers:
		return []any{"TRACK", true}, nil
	case admission.LogMessage:
		return []any{"PRINT", a.Text}, nil
	}
	return nil, fmt.Errorf("action %T has no form on the wire", a)
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// millis turns milliseconds into a duration; the simulator counts microseconds.
func millis(ms float64) (time.Duration, error) {
	us := math.Round(ms * 1000)
	if math.IsNaN(us) || math.Abs(us) > math.MaxInt64/2000 {
		return 0, fmt.Errorf("%v ms is out of range", ms)
	}
	return time.Duration(us) * time.Microsecond, nil
}
