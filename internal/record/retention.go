package record

import (
	"errors"
	"os"
	"time"
)

// maxSegments limits the number of segments of a store, so that a program that restarts every second does not fill the
// directory with small files.
const maxSegments = 1024

// A closedSegment is a segment that is no longer written.
type closedSegment struct {
	name         string
	size         int64
	lastModified time.Time
}

// closedSegments holds the closed segments of a store, oldest first.
type closedSegments struct {
	files []closedSegment
}

// add appends a segment that was closed just now.
func (c *closedSegments) add(name string, size int64) {
	c.files = append(c.files, closedSegment{name: name, size: size, lastModified: time.Now()})
}

// makeRoom removes the oldest segments until another full segment fits within the limits of the options. If a segment
// cannot be removed, it returns the error, and no further segment may be written.
func (c *closedSegments) makeRoom(o *Options) error {
	total := o.SegmentBytes
	for _, s := range c.files {
		total += s.size
	}
	now := time.Now()
	for len(c.files) > 0 {
		oldest := c.files[0]
		isTooLarge := total > o.TotalBytes
		isTooMany := len(c.files) >= maxSegments
		isTooOld := o.MaxAge != 0 && now.Sub(oldest.lastModified) > o.MaxAge
		if !isTooLarge && !isTooMany && !isTooOld {
			return nil
		}
		if err := o.Disk.Remove(oldest.name); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		total -= oldest.size
		c.files = c.files[1:]
	}
	return nil
}
