package config

import (
	"cmp"
	"time"
)

// Records is the section [records], which enables the durable records.
type Records struct {
	Dir     string   `toml:"dir" json:"dir"`         // directory that only this instance writes to
	Queue   Size     `toml:"queue" json:"queue"`     // memory for records not yet written to disk
	Sync    Duration `toml:"sync" json:"sync"`       // maximum time until a record is synced to disk
	Segment Size     `toml:"segment" json:"segment"` // size at which a segment file is closed
	Total   Size     `toml:"total" json:"total"`     // maximum size of all files; the oldest are removed first
	Age     Duration `toml:"age" json:"age"`         // age at which files are removed; 0: never
}

// Defaults of Records.
const (
	defaultQueue   Size = 1 << 20
	defaultSync         = Duration(200 * time.Millisecond)
	defaultSegment Size = 16 << 20
	defaultTotal   Size = 512 << 20
)

// Limits of Records.
const (
	minQueue   Size = 64 << 10
	maxQueue   Size = 64 << 20
	minSync         = Duration(10 * time.Millisecond)
	maxSync         = Duration(10 * time.Second)
	minSegment Size = 256 << 10
	maxSegment Size = 1 << 30

	minSegmentsInTotal = 4
)

func (r *Records) applyDefaults() {
	r.Queue = cmp.Or(r.Queue, defaultQueue)
	r.Sync = cmp.Or(r.Sync, defaultSync)
	r.Segment = cmp.Or(r.Segment, defaultSegment)
	r.Total = cmp.Or(r.Total, defaultTotal)
}

// Validate applies the defaults and returns a KeyError for the first invalid key.
func (r *Records) Validate() error {
	r.applyDefaults()
	switch {
	case r.Dir == "":
		return keyErrorf("dir", "missing; set it to a directory that only this instance writes to")
	case r.Queue < minQueue || r.Queue > maxQueue:
		return keyErrorf("queue", "%v is not between %v and %v", r.Queue, minQueue, maxQueue)
	case r.Sync < minSync || r.Sync > maxSync:
		return keyErrorf("sync", "%v is not between %v and %v", r.Sync, minSync, maxSync)
	case r.Segment < minSegment || r.Segment > maxSegment:
		return keyErrorf("segment", "%v is not between %v and %v", r.Segment, minSegment, maxSegment)
	case r.Total < minSegmentsInTotal*r.Segment:
		return keyErrorf("total", "%v is less than four times segment (%v)", r.Total, r.Segment)
	case r.Age < 0:
		return keyErrorf("age", "%v is negative", r.Age)
	}
	return nil
}
