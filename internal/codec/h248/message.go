// Package h248 is the codec of H.248.1 messages in the text form (RFC 3525, Annex B) and of their framing on TCP
// (TPKT, Annex D).
//
// It owns the message types, the parser, the writer and the framer. It knows no calls, keeps no transactions and never
// opens a connection.
package h248

import (
	"bytes"
	"fmt"
	"strings"
)

// A Message is an error descriptor or a list of transactions.
type Message struct {
	MID          string // the message identifier, which names the sender, as it is written
	Err          *Error
	Transactions []*Transaction
}

// A TransactionKind is the kind of a transaction.
type TransactionKind int

// Kinds of transactions.
const (
	Request TransactionKind = iota
	Reply
	Pending
	Ack // TransactionResponseAck, which acknowledges replies
)

var transactionTokens = [...]string{
	Request: "Transaction",
	Reply:   "Reply",
	Pending: "Pending",
	Ack:     "TransactionResponseAck",
}

// String returns the long form of the kind's token.
func (k TransactionKind) String() string {
	if k < 0 || int(k) >= len(transactionTokens) {
		return fmt.Sprintf("TransactionKind(%d)", int(k))
	}
	return transactionTokens[k]
}

// A Transaction is a request, a reply, a pending or an acknowledgement of replies.
type Transaction struct {
	Kind    TransactionKind
	ID      uint32
	Err     *Error // of a reply in place of its actions
	Actions []*Action
	Acked   [][2]uint32 // of an acknowledgement: the first and last transaction id of each range
}

// An Action is a list of commands in one context.
type Action struct {
	Context  string // a number, "$" (choose), "*" (all) or "-" (null)
	Err      *Error // the reason why the commands after those in Commands were not executed
	Commands []*Command
}

// A Command is a command or its reply.
type Command struct {
	Name        string // in the long form, one of the Command constants
	Termination string
	Err         *Error
	Descriptors []*Node
}

// A Node is a descriptor, a parameter of one, or a bare value in a list.
type Node struct {
	Name, Value string
	Quoted      bool    // the value is a quoted string
	Octets      []byte  // the session description of a Local or Remote descriptor; nil elsewhere
	Children    []*Node // the parameters
}

// Find returns the first node with that path of names, nil if there is none. Names are not case-sensitive.
func Find(nodes []*Node, path ...string) *Node {
	for _, n := range nodes {
		if !strings.EqualFold(n.Name, path[0]) {
			continue
		}
		if len(path) == 1 {
			return n
		}
		if found := Find(n.Children, path[1:]...); found != nil {
			return found
		}
	}
	return nil
}

// Value returns the value of the first node with that path of names, "" if there is none.
func Value(nodes []*Node, path ...string) string {
	if n := Find(nodes, path...); n != nil {
		return n.Value
	}
	return ""
}

// IsEncodable reports whether the text form can represent a session description. It can represent neither a NUL
// character nor a backslash directly before the closing brace.
func IsEncodable(description []byte) bool {
	return bytes.IndexByte(description, 0) < 0 && !bytes.HasSuffix(description, []byte{'\\'})
}

// IsUnquotedValue reports whether a text can be a value without quotes.
func IsUnquotedValue(s string) bool {
	p := parser{text: []byte(s)}
	return s != "" && p.word() == s
}
