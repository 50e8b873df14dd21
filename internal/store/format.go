package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A file consists of a header and the data. The header is little-endian:
//
//	offset  bytes  content
//	0       8      magic number; its last byte is the version of the format
//	8       8      serial
//	16      8      length of the data
//	24      4      CRC-32C of the preceding header bytes and the data
const (
	serialOffset   = 8
	lengthOffset   = 16
	checksumOffset = 24
	headerBytes    = 28
)

var (
	magic      = [8]byte{'O', 'L', 'V', 'S', 'T', 'O', 'R', 1}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Errors returned by decode.
var (
	errUnknownFormat    = errors.New("not a value file: header missing or unknown magic number")
	errSerialMismatch   = errors.New("serial in the header differs from that in the file name")
	errChecksumMismatch = errors.New("damaged: checksum mismatch")
)

func encode(serial uint64, data []byte) []byte {
	file := make([]byte, headerBytes, headerBytes+len(data))
	copy(file, magic[:])
	binary.LittleEndian.PutUint64(file[serialOffset:], serial)
	binary.LittleEndian.PutUint64(file[lengthOffset:], uint64(len(data)))
	binary.LittleEndian.PutUint32(file[checksumOffset:], checksum(file, data))
	return append(file, data...)
}

func checksum(header, data []byte) uint32 {
	sum := crc32.Checksum(header[:checksumOffset], castagnoli)
	return crc32.Update(sum, castagnoli, data)
}

// decode verifies the content of a file with the given serial and returns its data.
func decode(file []byte, serial uint64) ([]byte, error) {
	if len(file) < headerBytes || [8]byte(file) != magic {
		return nil, errUnknownFormat
	}
	data := file[headerBytes:]
	if length := binary.LittleEndian.Uint64(file[lengthOffset:]); length != uint64(len(data)) {
		return nil, fmt.Errorf("torn write: %d of %d data bytes present", len(data), length)
	}
	if binary.LittleEndian.Uint64(file[serialOffset:]) != serial {
		return nil, errSerialMismatch
	}
	if binary.LittleEndian.Uint32(file[checksumOffset:]) != checksum(file, data) {
		return nil, errChecksumMismatch
	}
	return data, nil
}
