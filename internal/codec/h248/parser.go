package h248

import (
	"bytes"
	"strconv"
	"strings"
)

// Limits defined by H.248.1.
const (
	minVersion       = 1
	maxVersion       = 3
	maxMIDLength     = 255
	maxTerminationID = 255 // length in bytes
)

// Parse parses a complete message. If it returns an error, no command of the message may be executed. The returned
// message is then nil or incomplete, and only its MID is valid.
func Parse(text []byte) (*Message, *Error) {
	p := &parser{text: text}
	return p.message()
}

func (p *parser) message() (*Message, *Error) {
	version, err := p.header()
	if err != nil {
		return nil, err
	}
	m := &Message{MID: p.mid()}
	if m.MID == "" {
		return nil, p.fail(SyntaxInMessage, "no message id")
	}
	if version < minVersion || version > maxVersion {
		return m, p.fail(VersionNotSupported, "version %d", version)
	}
	for p.peek() != 0 {
		if err := p.messageElement(m); err != nil {
			return m, err
		}
	}
	if p.pos < len(p.text) {
		return m, p.fail(SyntaxInMessage, "a NUL character")
	}
	if m.Err == nil && len(m.Transactions) == 0 {
		return m, p.fail(SyntaxInMessage, "no transaction")
	}
	return m, nil
}

// header reads 'MEGACO/version' or '!/version'.
func (p *parser) header() (version int, err *Error) {
	name, text, hasVersion := strings.Cut(p.word(), "/")
	if !hasVersion || !isToken(name, "MEGACO", "!") {
		return 0, p.fail(SyntaxInMessage, "no MEGACO header")
	}
	version, atoiErr := strconv.Atoi(text)
	if atoiErr != nil {
		return 0, p.fail(SyntaxInMessage, "version %.10q", text)
	}
	return version, nil
}

// mid reads a message identifier: '[address]:port', '<domain name>:port' or a device name. It returns "" if there is no
// valid one.
func (p *parser) mid() string {
	isDomainName := p.peek() == '<'
	start := p.pos
	if isDomainName {
		end := bytes.IndexByte(p.text[start:], '>')
		if end < len("<x") {
			return ""
		}
		p.pos += end + 1
	}
	hasPort := p.pos < len(p.text) && p.text[p.pos] == ':'
	if !isDomainName || hasPort {
		p.word()
	}
	id := string(p.text[start:p.pos])
	if strings.ContainsAny(id, " \t\r\n\x00") || len(id) > maxMIDLength {
		return ""
	}
	return id
}

// messageElement reads one transaction, or the error descriptor of the message.
func (p *parser) messageElement(m *Message) (err *Error) {
	token := p.word()
	if isErrorToken(token) {
		m.Err, err = p.errorDescriptor(SyntaxInMessage)
		return err
	}
	kind, ok := transactionKinds[strings.ToLower(token)]
	if !ok {
		return p.fail(SyntaxInMessage, "%.20q is no transaction", token)
	}
	t := &Transaction{Kind: kind}
	m.Transactions = append(m.Transactions, t)
	if kind == Ack {
		return p.list(SyntaxInTransaction, func() *Error { return p.acknowledgement(t) })
	}
	return p.transaction(t)
}

// transaction reads the id and the actions of a transaction.
func (p *parser) transaction(t *Transaction) (err *Error) {
	if t.Kind == Request && p.peek() == '{' {
		return p.fail(SyntaxInTransaction, "no transaction id")
	}
	t.ID, err = p.number(SyntaxInTransaction)
	if err != nil {
		return err
	}
	return p.list(SyntaxInTransaction, func() *Error {
		if t.Kind == Pending {
			return p.fail(SyntaxInTransaction, "a pending holds something")
		}
		return p.transactionElement(t)
	})
}

// acknowledgement reads a transaction id, or a range 'first-last' of them.
func (p *parser) acknowledgement(t *Transaction) *Error {
	firstText, lastText, isRange := strings.Cut(p.word(), "-")
	if !isRange {
		lastText = firstText
	}
	first, firstErr := parseUint32(firstText)
	last, lastErr := parseUint32(lastText)
	if firstErr != nil || lastErr != nil || first > last {
		return p.fail(SyntaxInTransaction, "an acknowledgement")
	}
	t.Acked = append(t.Acked, [2]uint32{first, last})
	return nil
}

// errorDescriptor reads the rest of an error descriptor after its token.
func (p *parser) errorDescriptor(code int) (descriptor, parseErr *Error) {
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

// transactionElement reads one action. In a reply it may be an error descriptor or ImmAckRequired instead.
func (p *parser) transactionElement(t *Transaction) (err *Error) {
	token := p.word()
	isReply := t.Kind == Reply
	if isReply && isErrorToken(token) {
		t.Err, err = p.errorDescriptor(SyntaxInTransaction)
		return err
	}
	if isReply && isImmAckRequiredToken(token) {
		return nil
	}
	if !isContextToken(token) || !p.accept('=') {
		return p.fail(SyntaxInTransaction, "want a context, got %.20q", token)
	}
	a := &Action{Context: p.word()}
	if !isContextID(a.Context) {
		return p.fail(SyntaxInAction, "context %.20q", a.Context)
	}
	t.Actions = append(t.Actions, a)
	return p.list(SyntaxInAction, func() *Error { return p.actionElement(a) })
}

func isContextID(s string) bool {
	switch s {
	case "$", "*", "-":
		return true
	}
	_, err := parseUint32(s)
	return err == nil
}

// actionElement reads one command, or the error descriptor of the action.
func (p *parser) actionElement(a *Action) (err *Error) {
	token := p.word()
	if isErrorToken(token) {
		a.Err, err = p.errorDescriptor(SyntaxInAction)
		return err
	}
	name, ok := commandName(token)
	if !ok && p.peek() != '=' {
		return p.fail(SyntaxInAction, "%.20q is no command", token)
	}
	if !ok {
		return p.fail(UnknownCommand, "command %.20q", token)
	}
	if !p.accept('=') {
		return p.fail(SyntaxInCommand, "%s names no termination", name)
	}
	c := &Command{Name: name, Termination: p.word()}
	if c.Termination == "" || len(c.Termination) > maxTerminationID {
		return p.fail(SyntaxInCommand, "%s names no termination", name)
	}
	a.Commands = append(a.Commands, c)
	if p.peek() != '{' {
		return nil
	}
	return p.list(SyntaxInCommand, func() *Error { return p.commandElement(c) })
}

// commandElement reads one descriptor. An error descriptor becomes the error of the command.
func (p *parser) commandElement(c *Command) *Error {
	n, err := p.node()
	if err != nil {
		return err
	}
	if n.Name != DescriptorError {
		c.Descriptors = append(c.Descriptors, n)
		return nil
	}
	code, atoiErr := strconv.Atoi(n.Value)
	if atoiErr != nil {
		return p.fail(SyntaxInCommand, "error code %.20q", n.Value)
	}
	c.Err = &Error{Code: code}
	if len(n.Children) > 0 {
		c.Err.Text = n.Children[0].Value
	}
	return nil
}

// node reads a descriptor or a parameter of one, which may be a bare quoted string.
func (p *parser) node() (n *Node, err *Error) {
	n = &Node{}
	if p.peek() == '"' {
		err = p.nodeValue(n)
		return n, err
	}
	n.Name = longName(p.word())
	if n.Name == "" {
		return nil, p.fail(SyntaxInCommand, "want a name")
	}
	switch p.peek() {
	case '=', '<', '>', '#':
		p.pos++
		if err := p.nodeValue(n); err != nil {
			return nil, err
		}
	}
	if p.peek() != '{' {
		return n, nil
	}
	if strings.EqualFold(n.Name, DescriptorLocal) || strings.EqualFold(n.Name, DescriptorRemote) {
		n.Octets, err = p.octets(n.Name)
		return n, err
	}
	return n, p.list(SyntaxInCommand, func() *Error { return p.child(n) })
}

// nodeValue reads the value of a node.
func (p *parser) nodeValue(n *Node) (err *Error) {
	if p.peek() == '"' {
		n.Quoted = true
		n.Value, err = p.quoted(SyntaxInCommand)
		return err
	}
	n.Value = p.word()
	if n.Value == "" {
		return p.fail(SyntaxInCommand, "%.20s has no value", n.Name)
	}
	return nil
}

// child reads one parameter of a node.
func (p *parser) child(n *Node) *Error {
	child, err := p.node()
	if err == nil {
		n.Children = append(n.Children, child)
	}
	return err
}
