// Package record keeps what happened in an instance on disk and reads it back.
//
// A store is a folder that one process at a time writes to (Log) and any number read
// (Reader), also while it is written. It consists of segments, files that are only ever
// appended to. A segment begins with a header, kept twice, and goes on with frames; a frame
// holds one Record as protobuf (record.proto) with its length and a CRC32C. Every record has
// a sequence number; numbers never repeat, and a number is skipped only by a gap record that
// stands in its place and names what is lost and why.
//
// The package owns the codec, the queue between the loop and the disk, recovery at start
// and retention. It never judges what it keeps: analysis is in internal/incident.
package record
