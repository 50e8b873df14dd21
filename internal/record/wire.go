package record

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// The encoders below append fields of proto3 messages to b: a field with the zero value is omitted. They do not
// allocate if b has enough capacity.

// maxStringSize is the maximum size in bytes of a stored string; longer strings are truncated.
const maxStringSize = 512

// appendUint encodes a field of type uint32, uint64 or bool.
func appendUint(b []byte, number protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), v)
}

// appendInt encodes a field of type sint32 or sint64.
func appendInt(b []byte, number protowire.Number, v int64) []byte {
	return appendUint(b, number, protowire.EncodeZigZag(v))
}

// appendFixed64 encodes a field of type fixed64, even if it is zero.
func appendFixed64(b []byte, number protowire.Number, v uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, number, protowire.Fixed64Type), v)
}

// appendFloat encodes the bits of a floating-point number as a field of type fixed64.
func appendFloat(b []byte, number protowire.Number, v float64) []byte {
	if v == 0 {
		return b
	}
	return appendFixed64(b, number, math.Float64bits(v))
}

// appendString encodes a field of type string, truncated to maxStringSize. Invalid UTF-8 is stored unchanged
// and replaced when it is printed.
func appendString(b []byte, number protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	s = truncate(s, maxStringSize)
	return protowire.AppendString(protowire.AppendTag(b, number, protowire.BytesType), s)
}

// truncate returns the first maxSize bytes of s.
func truncate(s string, maxSize int) string {
	if len(s) > maxSize {
		return s[:maxSize]
	}
	return s
}

// errMalformedField is returned for bytes that are not a protobuf field.
var errMalformedField = errors.New("record: malformed protobuf field")

// A wireField is a decoded field. For wire types that the format does not use, value and text are not set.
type wireField struct {
	number protowire.Number
	value  uint64 // value of a varint or fixed64 field
	text   []byte // value of a string field; a slice of the buffer that was decoded
}

// consumeField decodes the first field of b and returns the bytes after it.
func consumeField(b []byte) (field wireField, rest []byte, err error) {
	number, wireType, tagSize := protowire.ConsumeTag(b)
	if tagSize < 0 {
		return wireField{}, nil, errMalformedField
	}
	b = b[tagSize:]
	field.number = number
	var size int
	switch wireType {
	case protowire.VarintType:
		field.value, size = protowire.ConsumeVarint(b)
	case protowire.Fixed64Type:
		field.value, size = protowire.ConsumeFixed64(b)
	case protowire.BytesType:
		field.text, size = protowire.ConsumeBytes(b)
	default:
		size = protowire.ConsumeFieldValue(number, wireType, b)
	}
	if size < 0 {
		return wireField{}, nil, errMalformedField
	}
	return field, b[size:], nil
}

// maxInternedStrings limits the size of an internTable. There are few distinct servers, classes and ends of attempts;
// the limit prevents strings chosen by an attacker from exhausting the memory.
const maxInternedStrings = 4096

// An internTable holds one copy of each string, shared by all records in which it occurs.
type internTable map[string]string

// intern returns b as a string, without an allocation if the table contains it.
func (s internTable) intern(b []byte) string {
	if known, ok := s[string(b)]; ok { // the compiler does not allocate for this conversion
		return known
	}
	text := string(b)
	if len(s) < maxInternedStrings {
		s[text] = text
	}
	return text
}
