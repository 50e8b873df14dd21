package record

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
)

const (
	segmentSuffix = ".rec"
	// setAsideSuffix follows segmentSuffix in the name of a segment that recovery has set aside.
	setAsideSuffix = ".aside"
)

// A segment describes a segment file by the parts of its name.
type segment struct {
	name       string
	first      uint64 // first sequence number
	runID      uint64 // Header.RunID
	index      uint64 // number of the segment within the run, starting at 0
	isSetAside bool
}

// segmentName returns the file name of a segment. Names sort in the order of the records.
func segmentName(first, runID, index uint64) string {
	return fmt.Sprintf("%020d-%016x-%06d%s", first, runID, index, segmentSuffix)
}

// parseSegmentName parses a name returned by segmentName, with or without setAsideSuffix.
func parseSegmentName(name string) (s segment, isSegment bool) {
	base, isSetAside := strings.CutSuffix(name, setAsideSuffix)
	base, hasSuffix := strings.CutSuffix(base, segmentSuffix)
	parts := strings.Split(base, "-")
	if !hasSuffix || len(parts) != 3 || len(parts[0]) != 20 {
		return segment{}, false
	}
	first, firstErr := strconv.ParseUint(parts[0], 10, 64)
	runID, runIDErr := strconv.ParseUint(parts[1], 16, 64)
	index, indexErr := strconv.ParseUint(parts[2], 10, 64)
	if errors.Join(firstErr, runIDErr, indexErr) != nil {
		return segment{}, false
	}
	return segment{name: name, first: first, runID: runID, index: index, isSetAside: isSetAside}, true
}

// isSameAs reports whether both names refer to the same segment, whether or not it has been set aside.
func (s segment) isSameAs(other segment) bool {
	return s.first == other.first && s.runID == other.runID && s.index == other.index
}

// listSegments returns the segments of a store in the order of their records.
func listSegments(dir string) ([]segment, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	var all []segment
	for _, entry := range entries {
		s, isSegment := parseSegmentName(entry.Name())
		if isSegment && entry.Type().IsRegular() {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b segment) int { return strings.Compare(a.name, b.name) })
	return all, nil
}
