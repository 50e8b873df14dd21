// Package record stores the events of an instance on disk and reads them back.
//
// A store is a directory that one process at a time writes to (Log) and any number of processes read (Reader), also
// while it is written. It consists of segments: files to which records are only appended. A segment begins with a
// header, stored twice, followed by frames. A frame holds one Record as protobuf (record.proto) with its size and a
// CRC32C. Each record has a sequence number. Sequence numbers never repeat; where records are lost, a gap record
// stands for their range and names the cause.
//
// The package owns the encoding (codec.go, header.go, frame.go, names.go), the queue between event loop and disk
// (ring.go), the writer with retention (writer.go, commit.go, retention.go), the recovery at start (recover.go), and
// the readers of one store, of its copies and of many stores (reader.go, union.go, merge.go). It never interprets
// what it stores: that is the subject of internal/incident.
package record
