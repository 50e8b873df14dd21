package h248

import (
	"fmt"
	"strings"
	"testing"

	"olivedale/internal/goldentest"
)

// errorCodes lists all error codes in ascending order.
var errorCodes = []int{
	SyntaxInMessage, ProtocolError, SyntaxInTransaction, VersionNotSupported, UnknownContext, UnknownAction,
	SyntaxInAction, UnknownTermination, NoTerminationMatched, NoTermination, TerminationInContext, MissingRemote,
	SyntaxInCommand, UnknownCommand, UnknownProperty, UnsupportedValue, InternalFailure, NotImplemented, NotReady,
	ServiceUnavailable, InsufficientResources, TemporaryFailure,
}

// goldenMessages returns frames that cover every kind of transaction and every command.
func goldenMessages(t *testing.T) []goldentest.Message {
	messages := goldenRequests(t)
	messages = append(messages, goldenReplies(t)...)
	messages = append(messages, goldenErrors(t)...)
	for _, received := range []struct{ name, text string }{
		{"received in the long form", longForm},
		{"received in the short form", shortForm},
	} {
		length := len(received.text) + frameHeaderSize
		frame := append([]byte{3, 0, byte(length >> 8), byte(length)}, received.text...)
		messages = append(messages, goldentest.Message{Name: received.name, Bytes: frame})
	}
	return messages
}

// encode returns the encoded frame of a message.
func encode(t *testing.T, name string, m *Message) goldentest.Message {
	t.Helper()
	m.MID = "[127.0.0.2]:2944"
	b, err := AppendFrame(nil, m)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return goldentest.Message{Name: name, Bytes: b}
}

func media(children ...*Node) []*Node { return []*Node{{Name: "Media", Children: children}} }

func reply(id uint32, context string, c *Command) *Transaction {
	return &Transaction{Kind: Reply, ID: id, Actions: []*Action{{Context: context, Commands: []*Command{c}}}}
}

func goldenRequests(t *testing.T) (messages []goldentest.Message) {
	request := func(name, context string, commands ...*Command) {
		actions := []*Action{{Context: context, Commands: commands}}
		m := &Message{Transactions: []*Transaction{{Kind: Request, ID: 7, Actions: actions}}}
		messages = append(messages, encode(t, name, m))
	}
	state := &Node{Name: "TerminationState", Children: []*Node{
		{Name: "oc/class", Value: "voice"},
		{Name: "oc/peer", Value: "a \"b\"\n", Quoted: true},
		{Name: "oc/none", Quoted: true},
	}}
	remote := &Node{Name: "Remote", Octets: []byte("v=0\r\ns={-} \\x\r\n")}
	request("add", "$", &Command{Name: "Add", Termination: "call/9b1f03aa5c7e2d41/0", Descriptors: media(state, remote)})
	release := &Node{Name: "oc/rel", Children: []*Node{{Name: "cause", Value: "16"}}}
	request("subtract and notify", "5",
		&Command{Name: "Subtract", Termination: "p/1"},
		&Command{Name: "Notify", Termination: "p/2",
			Descriptors: []*Node{{Name: "ObservedEvents", Value: "1", Children: []*Node{release}}}})
	request("modify, move and audits", "-",
		&Command{Name: "Modify", Termination: "ROOT", Descriptors: media(state)},
		&Command{Name: "Move", Termination: "*"},
		&Command{Name: "AuditValue", Termination: "ROOT"},
		&Command{Name: "AuditCapability", Termination: "$"})
	services := &Node{Name: "Services", Children: []*Node{
		{Name: "Method", Value: "Graceful"},
		{Name: "Reason", Value: "905", Quoted: true},
	}}
	request("service change", "-",
		&Command{Name: "ServiceChange", Termination: "ROOT", Descriptors: []*Node{services}})
	return messages
}

func goldenReplies(t *testing.T) []goldentest.Message {
	statistics := &Node{Name: "Statistics", Children: []*Node{
		{Name: "oc/requests", Value: "12"},
		{Name: "oc/server", Children: []*Node{{Name: "oc/name", Value: "s-1", Quoted: true}}},
	}}
	local := &Node{Name: "Local", Octets: []byte{}}
	return []goldentest.Message{encode(t, "replies", &Message{Transactions: []*Transaction{
		reply(1<<32-1, "9", &Command{Name: "Add", Termination: "p/1", Descriptors: media(local)}),
		reply(0, "-", &Command{Name: "AuditValue", Termination: "ROOT", Descriptors: []*Node{statistics}}),
		{Kind: Pending, ID: 8},
		{Kind: Ack, Acked: [][2]uint32{{1, 3}, {9, 9}}},
	}})}
}

func goldenErrors(t *testing.T) []goldentest.Message {
	failed := reply(2, "5", &Command{Name: "Add", Termination: "p/1", Err: &Error{Code: UnsupportedValue, Text: "x"}})
	failed.Actions[0].Err = &Error{Code: NotReady}
	errorReplies := &Message{
		Err:          &Error{Code: SyntaxInMessage, Text: "no \"MEGACO\" header"},
		Transactions: []*Transaction{{Kind: Reply, ID: 1, Err: &Error{Code: NotImplemented}}, failed},
	}
	codes := &Transaction{Kind: Reply, ID: 3}
	for _, code := range errorCodes {
		codes.Actions = append(codes.Actions, &Action{Context: "$", Err: &Error{Code: code, Text: "e"}})
	}
	return []goldentest.Message{
		encode(t, "errors", errorReplies),
		encode(t, "every error code", &Message{Transactions: []*Transaction{codes}}),
	}
}

func dumpError(b *strings.Builder, indent string, e *Error) {
	if e != nil {
		_, _ = fmt.Fprintf(b, "%serror %d %q\n", indent, e.Code, e.Text)
	}
}

func dumpNodes(b *strings.Builder, indent string, nodes []*Node) {
	for _, n := range nodes {
		_, _ = fmt.Fprintf(b, "%snode %q value %q quoted %v octets %q none %v\n",
			indent, n.Name, n.Value, n.Quoted, n.Octets, n.Octets == nil)
		dumpNodes(b, indent+"  ", n.Children)
	}
}

// dumpMessage writes all fields of a message with fixed labels.
func dumpMessage(b *strings.Builder, m *Message) {
	_, _ = fmt.Fprintf(b, "from %q\n", m.MID)
	dumpError(b, "", m.Err)
	for _, t := range m.Transactions {
		_, _ = fmt.Fprintf(b, "transaction kind %d id %d acked %v\n", t.Kind, t.ID, t.Acked)
		dumpError(b, "  ", t.Err)
		for _, a := range t.Actions {
			_, _ = fmt.Fprintf(b, "  action context %q\n", a.Context)
			dumpError(b, "    ", a.Err)
			for _, c := range a.Commands {
				_, _ = fmt.Fprintf(b, "    command %q termination %q\n", c.Name, c.Termination)
				dumpError(b, "      ", c.Err)
				dumpNodes(b, "      ", c.Descriptors)
			}
		}
	}
}

// TestGoldenMessages compares encoded messages and their parsed form with the golden files.
func TestGoldenMessages(t *testing.T) {
	var dump strings.Builder
	for _, m := range goldentest.CompareMessages(t, "messages.txt", goldenMessages(t)) {
		texts, err := readFrames(m.Bytes)
		if err != nil || len(texts) != 1 {
			t.Errorf("%s: got %d messages, error %v", m.Name, len(texts), err)
			continue
		}
		_, _ = fmt.Fprintf(&dump, "== %s\n", m.Name)
		parsed, parseErr := Parse([]byte(texts[0]))
		if parseErr != nil {
			t.Errorf("%s: %v", m.Name, parseErr)
			continue
		}
		dumpMessage(&dump, parsed)
	}
	goldentest.Compare(t, "parsed.txt", dump.String())
}
