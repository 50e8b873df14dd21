package record

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// The encoders below write fields of proto3 messages: a field with the zero value is left out. They allocate nothing
// if b has room.

// maxStringSize is the size in bytes at which a stored string is truncated.
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

// appendFixed64 encodes a field of type fixed64, also if it is zero.
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

// appendString encodes a field of type string, truncated to maxStringSize. Bytes that are not valid UTF-8 are stored
// as they are and replaced where they are printed.
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

// A wireField is a decoded field. A field of a type that the format does not use has neither value nor text.
type wireField struct {
	number protowire.Number
	value  uint64 // of a varint or fixed64 field
	text   []byte // of a string field; part of the buffer that it was decoded from
}

// consumeField decodes the first field of b and returns the bytes behind it.
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

// maxInternedStrings bounds an internTable. Servers, classes and ends of attempts are few; strings that an
// adversary chooses must not fill the memory.
const maxInternedStrings = 4096

// internTable holds one copy of each string that occurs in many records.
type internTable map[string]string

// intern returns b as a string, without an allocation if the string is known.
func (s internTable) intern(b []byte) string {
	if known, ok := s[string(b)]; ok { // the compiler converts b without an allocation here
		return known
	}
	text := string(b)
	if len(s) < maxInternedStrings {
		s[text] = text
	}
	return text
}
