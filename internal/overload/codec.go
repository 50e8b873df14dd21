package overload

import (
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// A sampleField is the number of a count of a serverSample and its bit in the mask of the counts that follow.
type sampleField int

// Fields of a sample, in wire order.
const (
	fieldOffered     sampleField = 0 // the first of priorityCount fields
	fieldOverflow                = fieldOffered + priorityCount
	fieldAnswered                = fieldOverflow + 1
	fieldWait                    = fieldAnswered + 1
	sampleFieldCount             = fieldWait + 1
)

// sampleOverloadedBit is the mask bit of an overloaded server.
const sampleOverloadedBit = 7

// Encoded lengths in bytes.
const (
	serverKeyBytes      = 3
	maxServerLimitBytes = 8
)

// field returns a pointer to the count of a field.
func (s *serverSample) field(f sampleField) *int {
	switch f {
	case fieldOverflow:
		return &s.overflow
	case fieldAnswered:
		return &s.answered
	case fieldWait:
		return &s.wait
	default:
		return &s.offered[f-fieldOffered]
	}
}

// append appends the encoded header.
func (h *messageHeader) append(b []byte) []byte {
	b = append(b, protocolVersion<<4|byte(h.kind))
	b = protowire.AppendVarint(b, uint64(h.sender))
	b = protowire.AppendVarint(b, uint64(h.incarnation))
	return protowire.AppendVarint(b, uint64(h.sequence))
}

func appendKey(b []byte, key uint32) []byte {
	return append(b, byte(key>>16), byte(key>>8), byte(key))
}

// append appends the encoded report. Samples that do not fit are omitted, so the
// most important ones must come first.
func (r *loadReport) append(b []byte) []byte {
	b = r.messageHeader.append(b)
	overloaded := uint64(0)
	if r.overloaded {
		overloaded = 1
	}
	b = protowire.AppendVarint(b, uint64(r.span)<<1|overloaded)
	for i := range r.samples {
		start := len(b)
		b = r.samples[i].append(b)
		if len(b) > MaxMessageBytes {
			return b[:start]
		}
	}
	return b
}

// append appends the encoded sample: the server's key, a mask and the counts that are not 0.
func (s *serverSample) append(b []byte) []byte {
	maskIndex := len(b) + serverKeyBytes
	mask := byte(0)
	b = append(appendKey(b, s.key), mask)
	for f := range sampleFieldCount {
		count := *s.field(f)
		if count > 0 {
			mask |= 1 << f
			b = protowire.AppendVarint(b, uint64(count))
		}
	}
	if s.overloaded {
		mask |= 1 << sampleOverloadedBit
	}
	b[maskIndex] = mask
	return b
}

// append appends the encoded update. Limits that do not fit are omitted; for those servers each member relies on
// its own measurements.
func (u *limitUpdate) append(b []byte) []byte {
	b = u.messageHeader.append(b)
	b = protowire.AppendVarint(b, uint64(u.aliveMembers))
	for _, l := range u.limits {
		if len(b)+maxServerLimitBytes > MaxMessageBytes {
			break
		}
		b = appendKey(b, l.key)
		b = append(b, byte(l.priority), byte(l.throttle), byte(l.overflowThrottle))
		b = protowire.AppendVarint(b, uint64(l.wait))
	}
	return b
}

// append appends the encoded digest. Members that do not fit are omitted.
func (d *membershipDigest) append(b []byte) []byte {
	b = d.messageHeader.append(b)
	b = protowire.AppendVarint(b, uint64(d.aliveMembers))
	b = protowire.AppendVarint(b, uint64(d.peakMembers))
	fitting := min(len(d.members), MaxMessageBytes-len(b))
	return append(b, d.members[:fitting]...)
}

// decode decodes a message. It returns an error that wraps ErrTooLong, ErrTruncated, ErrUnsupported or
// ErrOutOfRange and no message.
func decode(b []byte) (message, error) {
	if len(b) > MaxMessageBytes {
		return nil, fmt.Errorf("overload: %w: %d bytes, at most %d are allowed", ErrTooLong, len(b), MaxMessageBytes)
	}
	r := &messageReader{rest: b}
	m := r.readMessage()
	if r.err != nil {
		return nil, fmt.Errorf("overload: %w", r.err)
	}
	return m, nil
}

// A messageReader reads the values of a message. After an error it returns zeros.
type messageReader struct {
	rest []byte // not yet read
	err  error  // the first error
}

// fail records the first error and discards the rest of the message.
func (r *messageReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.rest = nil
}

func (r *messageReader) readByte() byte {
	if len(r.rest) == 0 {
		r.fail(ErrTruncated)
		return 0
	}
	c := r.rest[0]
	r.rest = r.rest[1:]
	return c
}

// readNumber reads a varint of at most maxValue.
func (r *messageReader) readNumber(maxValue uint64) int {
	v, n := protowire.ConsumeVarint(r.rest)
	if n < 0 {
		r.fail(ErrTruncated)
		return 0
	}
	if v > maxValue {
		r.fail(ErrOutOfRange)
		return 0
	}
	r.rest = r.rest[n:]
	return int(v)
}

func (r *messageReader) readKey() uint32 {
	high, middle, low := r.readByte(), r.readByte(), r.readByte()
	return uint32(high)<<16 | uint32(middle)<<8 | uint32(low)
}

// readMessage reads a message of any kind. The result is valid only if r.err is nil.
func (r *messageReader) readMessage() message {
	first := r.readByte()
	if r.err == nil && first>>4 != protocolVersion {
		r.fail(ErrUnsupported)
		return nil
	}
	h := messageHeader{kind: messageKind(first & 15)}
	h.sender = r.readNumber(maxMembers - 1)
	h.incarnation = uint32(r.readNumber(math.MaxUint32))
	h.sequence = uint32(r.readNumber(math.MaxUint32))
	switch h.kind {
	case kindLoadReport:
		return r.readLoadReport(h)
	case kindLimitUpdate:
		return r.readLimitUpdate(h)
	case kindMembershipDigest:
		return r.readMembershipDigest(h)
	}
	r.fail(ErrUnsupported)
	return nil
}

func (r *messageReader) readLoadReport(h messageHeader) *loadReport {
	report := &loadReport{messageHeader: h}
	span := r.readNumber(2*maxWait + 1)
	report.span = span >> 1
	report.overloaded = span&1 == 1
	for len(r.rest) > 0 {
		report.samples = append(report.samples, r.readSample())
	}
	return report
}

func (r *messageReader) readSample() serverSample {
	s := serverSample{key: r.readKey()}
	mask := r.readByte()
	for f := range sampleFieldCount {
		if mask>>f&1 == 1 {
			*s.field(f) = r.readNumber(maxCount)
		}
	}
	s.wait = min(s.wait, maxWait)
	s.overloaded = mask>>sampleOverloadedBit == 1
	return s
}

func (r *messageReader) readLimitUpdate(h messageHeader) *limitUpdate {
	update := &limitUpdate{messageHeader: h, aliveMembers: r.readNumber(maxMembers)}
	for len(r.rest) > 0 {
		update.limits = append(update.limits, r.readServerLimit())
	}
	return update
}

func (r *messageReader) readServerLimit() serverLimit {
	l := serverLimit{key: r.readKey()}
	l.priority = int(r.readByte())
	l.throttle = int(r.readByte())
	l.overflowThrottle = int(r.readByte())
	l.wait = r.readNumber(maxWait)
	if l.priority >= priorityCount {
		r.fail(ErrOutOfRange)
	}
	return l
}

func (r *messageReader) readMembershipDigest(h messageHeader) *membershipDigest {
	d := &membershipDigest{messageHeader: h}
	d.aliveMembers = r.readNumber(maxMembers)
	d.peakMembers = r.readNumber(maxMembers)
	d.members = append(d.members, r.rest...)
	return d
}
