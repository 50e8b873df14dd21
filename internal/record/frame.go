package record

import (
	"encoding/binary"
	"hash/crc32"
)

// Frames follow the header of a segment. The layout of a frame in bytes, integers little-endian:
//
//	mark 2, payload size 2, CRC32C of the segment's nonce and the payload 4, payload (message Record)
const (
	framePrefixSize     = 8
	frameSizeOffset     = 2
	frameChecksumOffset = 4
	// The mark consists of two bytes that never occur in valid UTF-8.
	frameMarkByte0 = 0xf5
	frameMarkByte1 = 0xc1
)

// frameSize returns the size in bytes of a frame with the given payload.
func frameSize(payload []byte) int { return framePrefixSize + len(payload) }

// frameSeed returns the CRC of a segment's nonce, the initial value for the CRC of each of its frames.
func frameSeed(nonce uint64) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], nonce)
	return crc32.Checksum(b[:], castagnoli)
}

// appendFrame appends a frame with the given payload to b; seed is the segment's frameSeed.
func appendFrame(b, payload []byte, seed uint32) []byte {
	b = append(b, frameMarkByte0, frameMarkByte1)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Update(seed, castagnoli, payload))
	return append(b, payload...)
}

// A frameStatus is the result of parseFrame.
type frameStatus int

const (
	frameIntact     frameStatus = iota
	frameIncomplete             // the bytes may be the beginning of a frame; more bytes are needed
	frameInvalid                // the bytes are not the beginning of a frame
)

// parseFrame checks whether b begins with a frame, and returns the payload of an intact frame as a slice of b.
func parseFrame(b []byte, seed uint32) ([]byte, frameStatus) {
	if len(b) > 0 && b[0] != frameMarkByte0 || len(b) > 1 && b[1] != frameMarkByte1 {
		return nil, frameInvalid
	}
	if len(b) < framePrefixSize {
		return nil, frameIncomplete
	}
	size := int(binary.LittleEndian.Uint16(b[frameSizeOffset:]))
	if size == 0 || size > maxPayloadSize {
		return nil, frameInvalid
	}
	if len(b) < framePrefixSize+size {
		return nil, frameIncomplete
	}
	payload := b[framePrefixSize : framePrefixSize+size]
	if binary.LittleEndian.Uint32(b[frameChecksumOffset:]) != crc32.Update(seed, castagnoli, payload) {
		return nil, frameInvalid
	}
	return payload, frameIntact
}
