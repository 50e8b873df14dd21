package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A file is a header and the data. The header, little-endian:
//
//	offset  bytes  content
//	0       8      magic, with the version of the format in the last byte
//	8       8      serial
//	16      8      length of the data
//	24      4      CRC-32C of the header before it and of the data
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

// Errors of a damaged file.
var (
	errForeign     = errors.New("not a value of this program")
	errWrongSerial = errors.New("the file name has another serial")
	errChecksum    = errors.New("damaged: wrong checksum")
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

// decode returns the data of a file, which must have the serial.
func decode(file []byte, serial uint64) ([]byte, error) {
	if len(file) < headerBytes || [8]byte(file) != magic {
		return nil, errForeign
	}
	data := file[headerBytes:]
	if length := binary.LittleEndian.Uint64(file[lengthOffset:]); length != uint64(len(data)) {
		return nil, fmt.Errorf("torn: %d bytes of %d", len(data), length)
	}
	if binary.LittleEndian.Uint64(file[serialOffset:]) != serial {
		return nil, errWrongSerial
	}
	if binary.LittleEndian.Uint32(file[checksumOffset:]) != checksum(file, data) {
		return nil, errChecksum
	}
	return data, nil
}
