package record

import (
	"errors"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// maxPayloadSize is the maximum size in bytes of an encoded record. maxStringSize ensures that no record exceeds it.
const maxPayloadSize = 4096

// Field numbers of message Record in record.proto.
const (
	fieldSeq protowire.Number = iota + 1
	fieldFrom
	fieldAt
	fieldKind
	fieldCall
	fieldClass
	fieldNumber
	fieldServer
	fieldText
	fieldAttempt
	fieldCode
	fieldEnd
	fieldCause
	fieldWait
	fieldTook
	fieldPool
	fieldFlag
	fieldValue
	fieldCount
	fieldSince
	fieldT1
	fieldT2
	fieldT3
	fieldT4
	fieldBy
)

// errMalformedRecord is returned for a payload that is not a valid record.
var errMalformedRecord = errors.New("record: malformed record")

// appendRecord encodes a record; its times are stored relative to base, the start of the program. It does not
// allocate if b has enough capacity.
func appendRecord(b []byte, r *Record, base Time) []byte {
	b = appendUint(b, fieldSeq, r.Seq)
	b = appendUint(b, fieldFrom, r.From)
	b = appendUint(b, fieldAt, uint64(max(r.At-base, 0)))
	b = appendUint(b, fieldKind, uint64(r.Kind))
	b = appendString(b, fieldCall, r.Call)
	b = appendString(b, fieldClass, r.Class)
	b = appendString(b, fieldNumber, r.Number)
	b = appendString(b, fieldServer, r.Server)
	b = appendString(b, fieldText, r.Text)
	b = appendInt(b, fieldAttempt, int64(r.Attempt))
	b = appendUint(b, fieldCode, uint64(r.Code))
	b = appendString(b, fieldEnd, r.End)
	b = appendUint(b, fieldCause, uint64(uint32(r.Cause)))
	b = appendUint(b, fieldWait, uint64(max(r.Wait, 0)))
	b = appendUint(b, fieldTook, uint64(max(r.Took, 0)))
	b = appendInt(b, fieldPool, int64(r.Pool))
	if r.Flag {
		b = appendUint(b, fieldFlag, 1)
	}
	b = appendFloat(b, fieldValue, r.Value)
	b = appendUint(b, fieldCount, r.Count)
	b = appendInt(b, fieldSince, int64(r.storedSince(base)))
	for i, t := range r.T {
		b = appendInt(b, fieldT1+protowire.Number(i), t)
	}
	return appendString(b, fieldBy, r.By)
}

// storedSince returns the stored form of Since: relative to base for a gap, Unix time for a server.
func (r *Record) storedSince(base Time) Time {
	if r.Kind == KindGap && r.Since != 0 {
		return r.Since - base
	}
	return r.Since
}

// decodeRecord decodes a payload into r; stored times are relative to base. Unknown fields are ignored, so that an
// older program can read the records of a newer one.
func decodeRecord(payload []byte, r *Record, base Time, interned internTable) error {
	*r = Record{}
	for len(payload) > 0 {
		field, rest, err := consumeField(payload)
		if err != nil {
			return errMalformedRecord
		}
		r.setField(field, interned)
		payload = rest
	}
	isGap := r.Kind == KindGap
	if r.Seq == 0 || r.From > r.Seq || isGap && r.From == 0 {
		return errMalformedRecord
	}
	r.At += base
	if isGap {
		r.Since += base
	}
	return nil
}

// setField sets the field of r that corresponds to a decoded field.
func (r *Record) setField(field wireField, interned internTable) {
	switch field.number {
	case fieldSeq:
		r.Seq = field.value
	case fieldFrom:
		r.From = field.value
	case fieldAt:
		r.At = Time(field.value)
	case fieldKind:
		r.Kind = Kind(min(field.value, math.MaxUint8))
	case fieldCall:
		r.Call = string(field.text)
	case fieldClass:
		r.Class = interned.intern(field.text)
	case fieldNumber:
		r.Number = string(field.text)
	case fieldServer:
		r.Server = interned.intern(field.text)
	case fieldText:
		r.Text = string(field.text)
	case fieldAttempt:
		r.Attempt = int(protowire.DecodeZigZag(field.value))
	case fieldCode:
		r.Code = uint8(min(field.value, math.MaxUint8))
	case fieldEnd:
		r.End = interned.intern(field.text)
	case fieldCause:
		r.Cause = int(int32(field.value))
	case fieldWait:
		r.Wait = time.Duration(field.value)
	case fieldTook:
		r.Took = time.Duration(field.value)
	case fieldPool:
		r.Pool = int(protowire.DecodeZigZag(field.value))
	case fieldFlag:
		r.Flag = field.value != 0
	case fieldValue:
		r.Value = math.Float64frombits(field.value)
	case fieldCount:
		r.Count = field.value
	case fieldSince:
		r.Since = Time(protowire.DecodeZigZag(field.value))
	case fieldT1, fieldT2, fieldT3, fieldT4:
		r.T[field.number-fieldT1] = protowire.DecodeZigZag(field.value)
	case fieldBy:
		r.By = interned.intern(field.text)
	default: // a field added by a newer program
	}
}

// firstSeqOf returns firstSeq of an encoded record without decoding the rest. It relies on the order of fields in
// appendRecord: Seq is the first field, and From, which only gaps have, is the second.
func firstSeqOf(payload []byte) uint64 {
	seq, size := protowire.ConsumeVarint(payload[1:])
	rest := payload[1+size:]
	const fromTag = byte(fieldFrom) << 3
	if len(rest) > 1 && rest[0] == fromTag {
		from, _ := protowire.ConsumeVarint(rest[1:])
		return from
	}
	return seq
}
