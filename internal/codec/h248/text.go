package h248

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Error codes of H.248.8.
const (
	SyntaxInMessage      = 400
	ProtocolError        = 401
	SyntaxInTransaction  = 403
	VersionNotSupported  = 406
	UnknownContext       = 411
	UnknownAction        = 421
	SyntaxInAction       = 422
	UnknownTermination   = 430
	NoTerminationMatched = 431
	NoTermination        = 432
	TerminationInContext = 433
	MissingRemote        = 441
	SyntaxInCommand      = 442
	UnknownCommand       = 443
	UnknownProperty      = 445
	BadValue             = 449
	InternalFailure      = 500
	NotImplemented       = 501
	NotReady             = 502
	ServiceUnavailable   = 503
	Insufficient         = 510
	TemporaryFailure     = 530
)

// An Error is an error descriptor, and also what Parse returns.
type Error struct {
	Code int
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("h248: error %d: %s", e.Code, e.Text) }

// A Message is one message: an error descriptor or transactions.
type Message struct {
	MID          string // who sends it, as written
	Err          *Error
	Transactions []*Transaction
}

// A Kind is a kind of transaction.
type Kind int

// Kinds of transactions.
const (
	Request Kind = iota
	Reply
	Pending
	Ack // of replies
)

// A Transaction is a request, a reply, a pending or an acknowledgement.
type Transaction struct {
	Kind    Kind
	ID      uint32
	Err     *Error // of a reply
	Actions []*Action
	Acked   [][2]uint32 // ranges of ids
}

// An Action is what is to be done in one context.
type Action struct {
	Context  string // a number, "$", "*" or "-"
	Err      *Error
	Commands []*Command
}

// A Command is a command or its reply.
type Command struct {
	Name        string // the long form
	Termination string
	Err         *Error
	Descriptors []*Node
}

// A Node is a descriptor, or a part of one: a name, a value, parts or octets.
type Node struct {
	Name, Value string
	Quoted      bool
	Octets      []byte // of Local and Remote; nil elsewhere
	Kids        []*Node
}

// Find returns the first part with that path of names, nil if there is none.
func Find(nodes []*Node, path ...string) *Node {
	for _, n := range nodes {
		if strings.EqualFold(n.Name, path[0]) {
			if len(path) == 1 {
				return n
			}
			if found := Find(n.Kids, path[1:]...); found != nil {
				return found
			}
		}
	}
	return nil
}

// Value returns the value at a path, "" if there is none.
func Value(nodes []*Node, path ...string) string {
	if n := Find(nodes, path...); n != nil {
		return n.Value
	}
	return ""
}

// Tokens in their short and long forms, in small letters.
var (
	commands = map[string]string{"a": "Add", "add": "Add", "mv": "Move", "move": "Move", "mf": "Modify", "modify": "Modify",
		"s": "Subtract", "subtract": "Subtract", "av": "AuditValue", "auditvalue": "AuditValue",
		"ac": "AuditCapability", "auditcapability": "AuditCapability", "n": "Notify", "notify": "Notify",
		"sc": "ServiceChange", "servicechange": "ServiceChange"}
	kinds = map[string]Kind{"t": Request, "transaction": Request, "p": Reply, "reply": Reply,
		"pn": Pending, "pending": Pending, "k": Ack, "transactionresponseack": Ack}
	parts = map[string]string{"m": "Media", "l": "Local", "r": "Remote", "o": "LocalControl", "ts": "TerminationState",
		"st": "Stream", "oe": "ObservedEvents", "sv": "Services", "mt": "Method", "re": "Reason", "er": "Error",
		"sa": "Statistics", "at": "Audit", "e": "Events", "c": "Context", "si": "ServiceStates"}
)

func long(name string) string {
	if full, ok := parts[strings.ToLower(name)]; ok {
		return full
	}
	return name
}

// Parse reads a whole message. On an error nothing of it may be carried out; the
// error says where the fault is, and the message, if there is one, who sent it.
func Parse(text []byte) (*Message, *Error) {
	p := &parser{text: text}
	m, err := p.message()
	if err != nil {
		return m, err
	}
	return m, nil
}

type parser struct {
	text  []byte
	at    int
	depth int
}

// deepest bounds nesting: it guards the stack.
const deepest = 16

func (p *parser) fail(code int, format string, args ...any) *Error {
	return &Error{code, fmt.Sprintf(format, args...) + " at byte " + strconv.Itoa(p.at)}
}

// space passes over white space and comments.
func (p *parser) space() {
	for p.at < len(p.text) {
		switch p.text[p.at] {
		case ' ', '\t', '\r', '\n':
			p.at++
		case ';':
			for p.at < len(p.text) && p.text[p.at] != '\n' && p.text[p.at] != '\r' {
				p.at++
			}
		default:
			return
		}
	}
}

func (p *parser) peek() byte {
	if p.space(); p.at < len(p.text) {
		return p.text[p.at]
	}
	return 0
}

func (p *parser) eat(c byte) bool {
	if p.peek() != c {
		return false
	}
	p.at++
	return true
}

// word reads a run of what may stand in a name or a value.
func (p *parser) word() string {
	p.space()
	from := p.at
	for p.at < len(p.text) {
		c := p.text[p.at]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`{}=,;"<>#`, c) >= 0 {
			break
		}
		p.at++
	}
	return string(p.text[from:p.at])
}

func (p *parser) message() (*Message, *Error) {
	head := p.word()
	name, version, ok := strings.Cut(head, "/")
	if !ok || !strings.EqualFold(name, "MEGACO") && name != "!" {
		return nil, p.fail(SyntaxInMessage, "no MEGACO header")
	}
	v, err := strconv.Atoi(version)
	if err != nil {
		return nil, p.fail(SyntaxInMessage, "version %.10q", version)
	}
	m := &Message{MID: p.mid()}
	if m.MID == "" {
		return nil, p.fail(SyntaxInMessage, "no message id")
	}
	if v < 1 || v > 3 {
		return m, p.fail(VersionNotSupported, "version %d", v)
	}
	for p.peek() != 0 {
		if e := p.part(m); e != nil {
			return m, e
		}
	}
	if p.at < len(p.text) {
		return m, p.fail(SyntaxInMessage, "a NUL character")
	}
	if m.Err == nil && len(m.Transactions) == 0 {
		return m, p.fail(SyntaxInMessage, "no transaction")
	}
	return m, nil
}

// mid reads '[address]:port', '<name>:port' or a device's name.
func (p *parser) mid() string {
	from := 0
	if p.peek() == '<' {
		from = p.at
		end := bytes.IndexByte(p.text[p.at:], '>')
		if end < 2 {
			return ""
		}
		p.at += end + 1
		if p.at < len(p.text) && p.text[p.at] == ':' {
			p.word()
		}
	} else {
		from = p.at
		p.word()
	}
	id := string(p.text[from:p.at])
	if strings.ContainsAny(id, " \t\r\n\x00") || len(id) > 255 {
		return ""
	}
	return id
}

// part reads one transaction, or the message's error descriptor.
func (p *parser) part(m *Message) *Error {
	name := p.word()
	if strings.EqualFold(name, "Error") || strings.EqualFold(name, "ER") {
		e, err := p.errorDescriptor(SyntaxInMessage)
		m.Err = e
		return err
	}
	kind, ok := kinds[strings.ToLower(name)]
	if !ok {
		return p.fail(SyntaxInMessage, "%.20q is no transaction", name)
	}
	t := &Transaction{Kind: kind}
	m.Transactions = append(m.Transactions, t)
	if kind == Ack {
		return p.acks(t)
	}
	if kind == Request && p.peek() == '{' {
		return p.fail(SyntaxInTransaction, "no transaction id")
	}
	id, err := p.number(SyntaxInTransaction)
	if err != nil {
		return err
	}
	t.ID = id
	return p.list(SyntaxInTransaction, func() *Error {
		if kind == Pending {
			return p.fail(SyntaxInTransaction, "a pending holds something")
		}
		return p.action(t)
	})
}

func (p *parser) number(code int) (uint32, *Error) {
	if !p.eat('=') {
		return 0, p.fail(code, "no number")
	}
	word := p.word()
	v, err := strconv.ParseUint(word, 10, 32)
	if err != nil {
		return 0, p.fail(code, "number %.20q", word)
	}
	return uint32(v), nil
}

func (p *parser) acks(t *Transaction) *Error {
	return p.list(SyntaxInTransaction, func() *Error {
		from, to, ok := strings.Cut(p.word(), "-")
		if !ok {
			to = from
		}
		a, err := strconv.ParseUint(from, 10, 32)
		b, err2 := strconv.ParseUint(to, 10, 32)
		if err != nil || err2 != nil || a > b {
			return p.fail(SyntaxInTransaction, "an acknowledgement")
		}
		t.Acked = append(t.Acked, [2]uint32{uint32(a), uint32(b)})
		return nil
	})
}

// list reads '{ item, item }'; the braces may hold nothing.
func (p *parser) list(code int, item func() *Error) *Error {
	if !p.eat('{') {
		return p.fail(code, "want '{'")
	}
	if p.depth++; p.depth > deepest {
		return p.fail(code, "nested too deeply")
	}
	defer func() { p.depth-- }()
	if p.eat('}') {
		return nil
	}
	for {
		if err := item(); err != nil {
			return err
		}
		if p.eat(',') {
			continue
		}
		if p.eat('}') {
			return nil
		}
		return p.fail(code, "want ',' or '}'")
	}
}

func (p *parser) errorDescriptor(code int) (*Error, *Error) {
	n, err := p.number(code)
	if err != nil {
		return nil, err
	}
	e := &Error{Code: int(n)}
	return e, p.list(code, func() *Error {
		text, err := p.quoted(code)
		e.Text = text
		return err
	})
}

func (p *parser) quoted(code int) (string, *Error) {
	if !p.eat('"') {
		return "", p.fail(code, "want a quoted text")
	}
	end := bytes.IndexByte(p.text[p.at:], '"')
	if end < 0 {
		return "", p.fail(code, "a quoted text without end")
	}
	text := string(p.text[p.at : p.at+end])
	p.at += end + 1
	if strings.ContainsAny(text, "\r\n\x00") {
		return "", p.fail(code, "a line end in a quoted text")
	}
	return text, nil
}

func (p *parser) action(t *Transaction) *Error {
	name := p.word()
	if t.Kind == Reply && (strings.EqualFold(name, "Error") || strings.EqualFold(name, "ER")) {
		e, err := p.errorDescriptor(SyntaxInTransaction)
		t.Err = e
		return err
	}
	if t.Kind == Reply && (strings.EqualFold(name, "ImmAckRequired") || strings.EqualFold(name, "IA")) {
		return nil
	}
	if !strings.EqualFold(long(name), "Context") || !p.eat('=') {
		return p.fail(SyntaxInTransaction, "want a context, got %.20q", name)
	}
	a := &Action{Context: p.word()}
	if _, err := strconv.ParseUint(a.Context, 10, 32); err != nil && a.Context != "$" && a.Context != "*" && a.Context != "-" {
		return p.fail(SyntaxInAction, "context %.20q", a.Context)
	}
	t.Actions = append(t.Actions, a)
	return p.list(SyntaxInAction, func() *Error { return p.command(a) })
}

func (p *parser) command(a *Action) *Error {
	word := p.word()
	if strings.EqualFold(word, "Error") || strings.EqualFold(word, "ER") {
		e, err := p.errorDescriptor(SyntaxInAction)
		a.Err = e
		return err
	}
	name := strings.ToLower(word)
	name = strings.TrimPrefix(strings.TrimPrefix(name, "o-"), "w-")
	full, ok := commands[name]
	if !ok {
		if p.peek() != '=' {
			return p.fail(SyntaxInAction, "%.20q is no command", word)
		}
		return p.fail(UnknownCommand, "command %.20q", word)
	}
	if !p.eat('=') {
		return p.fail(SyntaxInCommand, "%s names no termination", full)
	}
	c := &Command{Name: full, Termination: p.word()}
	if c.Termination == "" || len(c.Termination) > 255 {
		return p.fail(SyntaxInCommand, "%s names no termination", full)
	}
	a.Commands = append(a.Commands, c)
	if p.peek() != '{' {
		return nil
	}
	return p.list(SyntaxInCommand, func() *Error {
		n, err := p.node()
		if err != nil {
			return err
		}
		if n.Name != "Error" {
			c.Descriptors = append(c.Descriptors, n)
			return nil
		}
		code, bad := strconv.Atoi(n.Value)
		if bad != nil {
			return p.fail(SyntaxInCommand, "error code %.20q", n.Value)
		}
		c.Err = &Error{Code: code}
		if len(n.Kids) > 0 {
			c.Err.Text = n.Kids[0].Value
		}
		return nil
	})
}

// node reads a descriptor or a part of one.
func (p *parser) node() (*Node, *Error) {
	n := &Node{}
	if p.peek() == '"' { // an error's text, or a value in a list
		text, err := p.quoted(SyntaxInCommand)
		n.Value, n.Quoted = text, true
		return n, err
	}
	if n.Name = long(p.word()); n.Name == "" {
		return nil, p.fail(SyntaxInCommand, "want a name")
	}
	if c := p.peek(); c == '=' || c == '<' || c == '>' || c == '#' {
		p.at++
		if p.peek() == '"' {
			text, err := p.quoted(SyntaxInCommand)
			if err != nil {
				return nil, err
			}
			n.Value, n.Quoted = text, true
		} else if n.Value = p.word(); n.Value == "" {
			return nil, p.fail(SyntaxInCommand, "%.20s has no value", n.Name)
		}
	}
	if p.peek() != '{' {
		return n, nil
	}
	if strings.EqualFold(n.Name, "Local") || strings.EqualFold(n.Name, "Remote") {
		return n, p.octets(n)
	}
	return n, p.list(SyntaxInCommand, func() *Error {
		kid, err := p.node()
		if err == nil {
			n.Kids = append(n.Kids, kid)
		}
		return err
	})
}

// octets reads a session description as it is, '\}' standing for '}'.
func (p *parser) octets(n *Node) *Error {
	p.at++
	n.Octets = []byte{}
	for ; p.at < len(p.text); p.at++ {
		switch c := p.text[p.at]; {
		case c == '}':
			p.at++
			return nil
		case c == 0:
			return p.fail(SyntaxInCommand, "a NUL character")
		case c == '\\' && p.at+1 < len(p.text) && p.text[p.at+1] == '}':
			p.at++
			n.Octets = append(n.Octets, '}')
		default:
			n.Octets = append(n.Octets, c)
		}
	}
	return p.fail(SyntaxInCommand, "%s has no end", n.Name)
}

// Fits tells whether a description can be written: the text form has no way to
// say a NUL, nor a backslash just before the closing brace.
func Fits(description []byte) bool {
	return bytes.IndexByte(description, 0) < 0 && !bytes.HasSuffix(description, []byte{'\\'})
}

// Words tells whether a text can stand as a value without quotes.
func Words(s string) bool {
	p := parser{text: []byte(s)}
	return s != "" && p.word() == s
}

var kindNames = [...]string{Request: "Transaction", Reply: "Reply", Pending: "Pending", Ack: "TransactionResponseAck"}

func (m *Message) append(b []byte) []byte {
	b = append(append(append(b, "MEGACO/1 "...), m.MID...), '\n')
	if m.Err != nil {
		b = append(m.Err.append(b), '\n')
	}
	for _, t := range m.Transactions {
		b = append(t.append(b), '\n')
	}
	return b
}

func (e *Error) append(b []byte) []byte {
	b = append(strconv.AppendInt(append(b, "Error="...), int64(e.Code), 10), '{')
	if e.Text != "" {
		b = appendQuoted(b, e.Text)
	}
	return append(b, '}')
}

// appendQuoted writes a quoted text, which has no way to say a quote or a line end.
func appendQuoted(b []byte, s string) []byte {
	b = append(b, '"')
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"':
			b = append(b, '\'')
		case c < ' ':
			b = append(b, ' ')
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}

func (t *Transaction) append(b []byte) []byte {
	b = append(b, kindNames[t.Kind]...)
	if t.Kind == Ack {
		b = append(b, '{')
		for i, r := range t.Acked {
			if i > 0 {
				b = append(b, ',')
			}
			b = strconv.AppendUint(b, uint64(r[0]), 10)
			if r[1] != r[0] {
				b = strconv.AppendUint(append(b, '-'), uint64(r[1]), 10)
			}
		}
		return append(b, '}')
	}
	b = append(strconv.AppendUint(append(b, '='), uint64(t.ID), 10), '{')
	if t.Err != nil {
		b = t.Err.append(b)
	}
	for i, a := range t.Actions {
		if i > 0 || t.Err != nil {
			b = append(b, ',')
		}
		b = a.append(b)
	}
	return append(b, '}')
}

func (a *Action) append(b []byte) []byte {
	b = append(append(append(b, "Context="...), a.Context...), '{')
	for i, c := range a.Commands {
		if i > 0 {
			b = append(b, ',')
		}
		b = c.append(b)
	}
	if a.Err != nil {
		if len(a.Commands) > 0 {
			b = append(b, ',')
		}
		b = a.Err.append(b)
	}
	return append(b, '}')
}

func (c *Command) append(b []byte) []byte {
	b = append(append(append(b, c.Name...), '='), c.Termination...)
	if c.Err == nil && len(c.Descriptors) == 0 {
		return b
	}
	b = append(b, '{')
	if c.Err != nil {
		b = c.Err.append(b)
	}
	for i, n := range c.Descriptors {
		if i > 0 || c.Err != nil {
			b = append(b, ',')
		}
		b = n.append(b)
	}
	return append(b, '}')
}

func (n *Node) append(b []byte) []byte {
	b = append(b, n.Name...)
	if n.Name != "" && (n.Value != "" || n.Quoted) {
		b = append(b, '=')
	}
	if n.Quoted {
		b = appendQuoted(b, n.Value)
	} else {
		b = append(b, n.Value...)
	}
	if n.Octets != nil {
		b = append(b, '{')
		for _, c := range n.Octets {
			if c == '}' {
				b = append(b, '\\')
			}
			b = append(b, c)
		}
		return append(b, '}')
	}
	if len(n.Kids) == 0 {
		return b
	}
	b = append(b, '{')
	for i, kid := range n.Kids {
		if i > 0 {
			b = append(b, ',')
		}
		b = kid.append(b)
	}
	return append(b, '}')
}
