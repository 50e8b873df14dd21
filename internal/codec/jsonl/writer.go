package jsonl

import "strconv"

// Append appends a message with its line feed to b. A message without options gets an empty options object; a missing
// result code or blob is omitted.
func Append(b []byte, m *Message) []byte {
	b = append(b, `{"verb":`...)
	b = appendString(b, m.Verb)
	b = append(b, `,"tag":`...)
	b = appendString(b, m.Tag)
	b = append(b, `,"opts":{`...)
	for i, o := range m.Options {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendString(b, o.Name)
		b = append(b, ':')
		b = appendString(b, o.Value)
	}
	b = append(b, '}')
	if m.HasResultCode {
		b = append(b, `,"rc":`...)
		b = strconv.AppendInt(b, int64(m.ResultCode), 10)
	}
	if m.Blob != nil {
		b = append(b, `,"blob":`...)
		b = appendString(b, m.Blob)
	}
	return append(b, "}\n"...)
}

// appendString appends a quoted string. It escapes only the characters that JSON requires to be escaped.
func appendString[T string | []byte](b []byte, s T) []byte {
	const hexDigits = "0123456789abcdef"
	b = append(b, '"')
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c == '\n':
			b = append(b, `\n`...)
		case c == '\r':
			b = append(b, `\r`...)
		case c == '\t':
			b = append(b, `\t`...)
		case c < ' ':
			b = append(b, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&0xf])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
