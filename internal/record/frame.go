package record

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/encoding/protowire"
)

// The layout of a segment, in bytes.
//
//	header: magic 6, formatVersion 2, length 2, CRC32C 4, payload; once at 0, once at headerCopySize
//	frame:  mark 2, length 2, CRC32C of nonce and payload 4, payload; from headerSize on
//
// Figures are little-endian.
const (
	formatVersion    = 1
	headerCopySize = 256
	headerSize = 512
	headerPrefixSize = 14
	framePrefixSize  = 8
	frameMark0      = 0xf5 // no byte of a UTF-8 text
	frameMark1      = 0xc1 // nor is this one
)

var (
	magic      = [6]byte{'O', 'L', 'V', 'R', 'E', 'C'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// A Header begins a segment.
type Header struct {
	Name    string // of the instance
	Store   uint64 // drawn when the store was made
	Boot    uint64 // drawn at each start of the program
	Nonce   uint64 // of the segment: a frame that a caller smuggles into a field has the wrong CRC
	First   uint64 // least sequence number in it
	Wall    Time   // Unix clock at the start of the program; times of records count from it
	Program string // version
	Index   uint64 // of the segment since the start of the program
}

// A VersionError tells of a segment that a newer program wrote.
type VersionError struct{ Version int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("format version %d; this program reads up to %d", e.Version, formatVersion)
}

var errNoIntactHeader = errors.New("no intact header")

func cut(s string, n int) string {
	if len(s) > n {
		return s[:n]
	}
	return s
}

// appendHeader encodes a header, both copies.
func appendHeader(b []byte, h *Header) []byte {
	var p []byte
	p = appendString(p, 1, cut(h.Name, 64))
	for n, v := range [...]uint64{h.Store, h.Boot, h.Nonce} {
		p = protowire.AppendFixed64(protowire.AppendTag(p, protowire.Number(n+2), protowire.Fixed64Type), v)
	}
	p = appendUint(p, 5, h.First)
	p = appendInt(p, 6, int64(h.Wall))
	p = appendString(p, 7, cut(h.Program, 64))
	p = appendUint(p, 8, h.Index)
	var one [headerCopySize]byte
	copy(one[:], magic[:])
	binary.LittleEndian.PutUint16(one[6:], formatVersion)
	binary.LittleEndian.PutUint16(one[8:], uint16(len(p)))
	copy(one[headerPrefixSize:], p)
	binary.LittleEndian.PutUint32(one[10:], headerChecksum(one[:], len(p)))
	return append(append(b, one[:]...), one[:]...)
}

func headerChecksum(one []byte, size int) uint32 {
	return crc32.Update(crc32.Checksum(one[:10], castagnoli), castagnoli, one[headerPrefixSize:headerPrefixSize+size])
}

// decodeHeader reads the header from a segment's first headerSize bytes: the first copy
// that is intact.
func decodeHeader(b []byte) (h Header, err error) {
	if len(b) < headerSize {
		return h, errNoIntactHeader
	}
	for _, one := range [][]byte{b[:headerCopySize], b[headerCopySize:headerSize]} {
		size := int(binary.LittleEndian.Uint16(one[8:]))
		if [6]byte(one[:6]) != magic || size > headerCopySize-headerPrefixSize ||
			binary.LittleEndian.Uint32(one[10:]) != headerChecksum(one, size) {
			continue
		}
		if v := binary.LittleEndian.Uint16(one[6:]); v != formatVersion {
			return h, &VersionError{int(v)}
		}
		return h, h.decode(one[headerPrefixSize : headerPrefixSize+size])
	}
	// A later version may lay out the rest in another way. Both copies must say so: a
	// single flipped bit does not make a version.
	if a, b := b[:headerCopySize], b[headerCopySize:]; bytes.Equal(a[:8], b[:8]) && [6]byte(a[:6]) == magic {
		if v := binary.LittleEndian.Uint16(a[6:]); v > formatVersion {
			return h, &VersionError{int(v)}
		}
	}
	return h, errNoIntactHeader
}

func (h *Header) decode(b []byte) error {
	for len(b) > 0 {
		n, v, s, size := consumeField(b)
		if size < 0 {
			return errNoIntactHeader
		}
		b = b[size:]
		switch n {
		case 1:
			h.Name = string(s)
		case 2:
			h.Store = v
		case 3:
			h.Boot = v
		case 4:
			h.Nonce = v
		case 5:
			h.First = v
		case 6:
			h.Wall = Time(protowire.DecodeZigZag(v))
		case 7:
			h.Program = string(s)
		case 8:
			h.Index = v
		}
	}
	return nil
}

// frameSeed is the CRC that a segment's frames start from.
func frameSeed(nonce uint64) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], nonce)
	return crc32.Checksum(b[:], castagnoli)
}

// appendFrame encodes one frame.
func appendFrame(b, payload []byte, seed uint32) []byte {
	b = append(b, frameMark0, frameMark1)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Update(seed, castagnoli, payload))
	return append(b, payload...)
}

// What frameAt finds.
type frameStatus int

const (
	frameIntact frameStatus = iota
	frameIncomplete        // it may be a frame; more bytes are needed to tell
	frameInvalid       // it is none
)

// parseFrame looks for a frame at the start of b.
func parseFrame(b []byte, seed uint32) (payload []byte, size int, what frameStatus) {
	switch {
	case len(b) > 0 && b[0] != frameMark0, len(b) > 1 && b[1] != frameMark1:
		return nil, 0, frameInvalid
	case len(b) < framePrefixSize:
		return nil, 0, frameIncomplete
	}
	n := int(binary.LittleEndian.Uint16(b[2:]))
	switch {
	case n == 0 || n > maxPayloadSize:
		return nil, 0, frameInvalid
	case len(b) < framePrefixSize+n:
		return nil, 0, frameIncomplete
	}
	payload = b[framePrefixSize : framePrefixSize+n]
	if binary.LittleEndian.Uint32(b[4:]) != crc32.Update(seed, castagnoli, payload) {
		return nil, 0, frameInvalid
	}
	return payload, framePrefixSize + n, frameIntact
}
