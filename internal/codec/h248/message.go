// Package h248 implements the codec of H.248.1 messages in the text encoding (RFC 3525, Annex B) and their framing on
// TCP (TPKT, Annex D).
//
// It contains the message types, the parser, the writer and the framer. It keeps no calls or transactions and opens no
// connections.
package h248

import (
	"bytes"
	"fmt"
	"strings"
)

// A Message holds an error descriptor or a list of transactions.
type Message struct {
	MID          string // message identifier, which names the sender, as written in the message
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

// A Transaction is a request, a reply, a pending response or an acknowledgement of replies.
type Transaction struct {
	Kind    TransactionKind
	ID      uint32
	Err     *Error // error that a reply has instead of actions
	Actions []*Action
	Acked   [][2]uint32 // first and last transaction id of each acknowledged range
}

// An Action holds the commands for one context.
type Action struct {
	Context  string // a number, "$" (choose), "*" (all) or "-" (null)
	Err      *Error // why the commands after those in Commands were not executed; nil if all were
	Commands []*Command
}

// A Command is a command or the reply to one.
type Command struct {
	Name        string // long form, one of the Command constants
	Termination string
	Err         *Error
	Descriptors []*Node
}

// A Node is a descriptor, a parameter of a descriptor, or a bare value in a list.
type Node struct {
	Name, Value string
	Quoted      bool    // whether the value is a quoted string
	Octets      []byte  // session description of a Local or Remote descriptor; nil in other nodes
	Children    []*Node // parameters
}

// Find returns the first node at the given path of names, or nil if there is none. Names are not case-sensitive.
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

// Value returns the value of the first node at the given path of names, or "" if there is none.
func Value(nodes []*Node, path ...string) string {
	if n := Find(nodes, path...); n != nil {
		return n.Value
	}
	return ""
}

// IsEncodable reports whether a session description can be represented in the text encoding. The encoding cannot
// represent a NUL character or a backslash directly before the closing brace.
func IsEncodable(description []byte) bool {
	return bytes.IndexByte(description, 0) < 0 && !bytes.HasSuffix(description, []byte{'\\'})
}

// IsUnquotedValue reports whether s can be written as a value without quotes.
func IsUnquotedValue(s string) bool {
	p := parser{text: []byte(s)}
	return s != "" && p.word() == s
}
