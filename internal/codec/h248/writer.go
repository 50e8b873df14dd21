package h248

import "strconv"

// writtenVersion is the header with the protocol version of all written messages.
const writtenVersion = "MEGACO/1 "

// A textAppender can append its text encoding to a buffer.
type textAppender interface {
	appendText(b []byte) []byte
}

// appendItems appends items to a list, separated by commas. isFirst tells that the list is still empty.
func appendItems[T textAppender](b []byte, items []T, isFirst bool) []byte {
	for _, item := range items {
		if !isFirst {
			b = append(b, ',')
		}
		isFirst = false
		b = item.appendText(b)
	}
	return b
}

func (m *Message) appendText(b []byte) []byte {
	b = append(b, writtenVersion...)
	b = append(b, m.MID...)
	b = append(b, '\n')
	if m.Err != nil {
		b = m.Err.appendText(b)
		b = append(b, '\n')
	}
	for _, t := range m.Transactions {
		b = t.appendText(b)
		b = append(b, '\n')
	}
	return b
}

func (e *Error) appendText(b []byte) []byte {
	b = append(b, "Error="...)
	b = strconv.AppendInt(b, int64(e.Code), 10)
	b = append(b, '{')
	if e.Text != "" {
		b = appendQuoted(b, e.Text)
	}
	return append(b, '}')
}

func (t *Transaction) appendText(b []byte) []byte {
	b = append(b, t.Kind.String()...)
	if t.Kind == Ack {
		return t.appendAcknowledgements(b)
	}
	b = append(b, '=')
	b = strconv.AppendUint(b, uint64(t.ID), 10)
	b = append(b, '{')
	if t.Err != nil {
		b = t.Err.appendText(b)
	}
	b = appendItems(b, t.Actions, t.Err == nil)
	return append(b, '}')
}

// appendAcknowledgements appends the acknowledged ranges of transaction ids.
func (t *Transaction) appendAcknowledgements(b []byte) []byte {
	b = append(b, '{')
	for i, ids := range t.Acked {
		first, last := ids[0], ids[1]
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, uint64(first), 10)
		if last != first {
			b = append(b, '-')
			b = strconv.AppendUint(b, uint64(last), 10)
		}
	}
	return append(b, '}')
}

func (a *Action) appendText(b []byte) []byte {
	b = append(b, "Context="...)
	b = append(b, a.Context...)
	b = append(b, '{')
	b = appendItems(b, a.Commands, true)
	if a.Err != nil {
		b = appendItems(b, []*Error{a.Err}, len(a.Commands) == 0)
	}
	return append(b, '}')
}

func (c *Command) appendText(b []byte) []byte {
	b = append(b, c.Name...)
	b = append(b, '=')
	b = append(b, c.Termination...)
	if c.Err == nil && len(c.Descriptors) == 0 {
		return b
	}
	b = append(b, '{')
	if c.Err != nil {
		b = c.Err.appendText(b)
	}
	b = appendItems(b, c.Descriptors, c.Err == nil)
	return append(b, '}')
}

func (n *Node) appendText(b []byte) []byte {
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
		return appendOctets(b, n.Octets)
	}
	if len(n.Children) == 0 {
		return b
	}
	b = append(b, '{')
	b = appendItems(b, n.Children, true)
	return append(b, '}')
}

// appendQuoted appends a quoted string. Quotes and control characters cannot be represented and are replaced by
// apostrophes and spaces.
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

// appendOctets appends octets in braces. Closing braces within the octets are escaped.
func appendOctets(b, octets []byte) []byte {
	b = append(b, '{')
	for _, c := range octets {
		if c == '}' {
			b = append(b, '\\')
		}
		b = append(b, c)
	}
	return append(b, '}')
}
