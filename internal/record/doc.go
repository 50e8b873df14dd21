// Package record stores the events of an instance on disk and reads them back.
//
// A store is a directory that one process at a time writes to (Log) and any number of processes read (Reader), even
// while it is being written. It consists of segments, which are append-only files. A segment begins with a header,
// stored twice, followed by frames. A frame holds one Record encoded as protobuf (record.proto), its size and a CRC32C.
// Each record has a sequence number. Sequence numbers are never reused; where records are lost, a gap record gives
// their range and the cause.
//
// The package contains the encoding (codec.go, header.go, frame.go, names.go), the queue between the event loop and the
// disk (ring.go), the writer with retention (writer.go, commit.go, retention.go), the recovery at startup (recover.go),
// and the readers of one store, of its copies and of several stores (reader.go, union.go, merge.go). It does not
// interpret the records; internal/incident does.
package record
