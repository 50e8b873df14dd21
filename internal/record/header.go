package record

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/encoding/protowire"
)

// A segment begins with two copies of its header. The layout of a copy in bytes, integers little-endian:
//
//	magic 6, version 2, payload size 2, CRC32C of these fields and the payload 4, payload (message Header), zeros
const (
	formatVersion     = 1
	headerCopySize    = 256
	headerSize        = 2 * headerCopySize
	headerPrefixSize  = 14
	versionOffset     = 6
	payloadSizeOffset = 8
	checksumOffset    = 10
	maxHeaderString   = 64 // in bytes; a longer instance name or program version is truncated
)

// Field numbers of message Header in record.proto.
const (
	headerFieldName protowire.Number = iota + 1
	headerFieldStore
	headerFieldBoot
	headerFieldNonce
	headerFieldFirst
	headerFieldWall
	headerFieldProgram
	headerFieldIndex
)

var (
	magic      = [6]byte{'O', 'L', 'V', 'R', 'E', 'C'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// A Header describes a segment.
type Header struct {
	Name      string // name of the instance
	Store     uint64 // random id of the store, generated when it is created
	RunID     uint64 // random id of the run, generated at each start of the program
	Nonce     uint64 // random, seeds the CRC of the frames: the content of a field is not mistaken for a frame
	First     uint64 // first sequence number in the segment
	StartTime Time   // start of the program; stored times are relative to it
	Program   string // program version
	Index     uint64 // number of the segment within the run, starting at 1
}

// A VersionError reports a segment of a newer format version.
type VersionError struct {
	Version int // format version of the segment
}

// Error names the segment's format version and the newest supported one.
func (e *VersionError) Error() string {
	return fmt.Sprintf("format version %d; this program reads up to %d", e.Version, formatVersion)
}

// errNoIntactHeader is returned if neither copy of a segment's header is intact.
var errNoIntactHeader = errors.New("no intact header")

// appendHeader encodes both copies of a header.
func appendHeader(b []byte, h *Header) []byte {
	payload := h.appendPayload(nil)
	var headerCopy [headerCopySize]byte
	copy(headerCopy[:], magic[:])
	binary.LittleEndian.PutUint16(headerCopy[versionOffset:], formatVersion)
	binary.LittleEndian.PutUint16(headerCopy[payloadSizeOffset:], uint16(len(payload)))
	copy(headerCopy[headerPrefixSize:], payload)
	binary.LittleEndian.PutUint32(headerCopy[checksumOffset:], headerChecksum(headerCopy[:], len(payload)))
	b = append(b, headerCopy[:]...)
	return append(b, headerCopy[:]...)
}

// appendPayload encodes message Header.
func (h *Header) appendPayload(b []byte) []byte {
	b = appendString(b, headerFieldName, truncate(h.Name, maxHeaderString))
	b = appendFixed64(b, headerFieldStore, h.Store)
	b = appendFixed64(b, headerFieldBoot, h.RunID)
	b = appendFixed64(b, headerFieldNonce, h.Nonce)
	b = appendUint(b, headerFieldFirst, h.First)
	b = appendInt(b, headerFieldWall, int64(h.StartTime))
	b = appendString(b, headerFieldProgram, truncate(h.Program, maxHeaderString))
	return appendUint(b, headerFieldIndex, h.Index)
}

// headerChecksum returns the CRC32C of a header copy without its checksum field.
func headerChecksum(headerCopy []byte, payloadSize int) uint32 {
	sum := crc32.Checksum(headerCopy[:checksumOffset], castagnoli)
	return crc32.Update(sum, castagnoli, headerCopy[headerPrefixSize:headerPrefixSize+payloadSize])
}

// decodeHeader decodes the first intact copy of the header from the first headerSize bytes of a segment. It returns
// a *VersionError for a newer format and errNoIntactHeader if no copy is intact.
func decodeHeader(b []byte) (Header, error) {
	if len(b) < headerSize {
		return Header{}, errNoIntactHeader
	}
	first, second := b[:headerCopySize], b[headerCopySize:headerSize]
	for _, headerCopy := range [][]byte{first, second} {
		payload, isIntact := intactPayload(headerCopy)
		if !isIntact {
			continue
		}
		if version := versionOf(headerCopy); version != formatVersion {
			return Header{}, &VersionError{Version: version}
		}
		return decodeHeaderPayload(payload)
	}
	// A newer format may have a different layout after the version field. Both copies must have the same version, so
	// that a single flipped bit is not reported as a newer format.
	agree := bytes.Equal(first[:payloadSizeOffset], second[:payloadSizeOffset])
	if version := versionOf(first); agree && hasMagic(first) && version > formatVersion {
		return Header{}, &VersionError{Version: version}
	}
	return Header{}, errNoIntactHeader
}

func hasMagic(headerCopy []byte) bool { return bytes.HasPrefix(headerCopy, magic[:]) }

func versionOf(headerCopy []byte) int {
	return int(binary.LittleEndian.Uint16(headerCopy[versionOffset:]))
}

// intactPayload returns the payload of a header copy if magic, size and checksum are valid.
func intactPayload(headerCopy []byte) (payload []byte, isIntact bool) {
	size := int(binary.LittleEndian.Uint16(headerCopy[payloadSizeOffset:]))
	if !hasMagic(headerCopy) || size > headerCopySize-headerPrefixSize {
		return nil, false
	}
	if binary.LittleEndian.Uint32(headerCopy[checksumOffset:]) != headerChecksum(headerCopy, size) {
		return nil, false
	}
	return headerCopy[headerPrefixSize : headerPrefixSize+size], true
}

// decodeHeaderPayload decodes message Header. Unknown fields are ignored.
func decodeHeaderPayload(payload []byte) (Header, error) {
	var h Header
	for len(payload) > 0 {
		field, rest, err := consumeField(payload)
		if err != nil {
			return h, errNoIntactHeader
		}
		payload = rest
		switch field.number {
		case headerFieldName:
			h.Name = string(field.text)
		case headerFieldStore:
			h.Store = field.value
		case headerFieldBoot:
			h.RunID = field.value
		case headerFieldNonce:
			h.Nonce = field.value
		case headerFieldFirst:
			h.First = field.value
		case headerFieldWall:
			h.StartTime = Time(protowire.DecodeZigZag(field.value))
		case headerFieldProgram:
			h.Program = string(field.text)
		case headerFieldIndex:
			h.Index = field.value
		default: // a field added by a newer program
		}
	}
	return h, nil
}
