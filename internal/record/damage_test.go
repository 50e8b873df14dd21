package record

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A damagedSegment is a copy of a segment with random damage.
type damagedSegment struct {
	data      []byte
	isRemoved bool
	isLost    []bool // by frame index: the frame is no longer intact
}

// drawDamage returns a copy of a segment with a random kind of damage.
func drawDamage(rt *rapid.T, s *testSegment) damagedSegment {
	d := damagedSegment{data: slices.Clone(s.data), isLost: make([]bool, len(s.frames))}
	kinds := []string{"nothing", "flip", "flips", "cut", "remove", "header", "zeros"}
	switch rapid.SampledFrom(kinds).Draw(rt, "damage") {
	case "flip", "flips":
		for range rapid.IntRange(1, 3).Draw(rt, "flips") {
			offset := rapid.IntRange(headerSize, len(d.data)-1).Draw(rt, "at")
			d.data[offset] ^= 1 << rapid.IntRange(0, 7).Draw(rt, "bit")
		}
		d.loseChangedFrames(s)
	case "cut":
		size := rapid.IntRange(0, len(d.data)-1).Draw(rt, "to")
		d.data = d.data[:size]
		if size < headerSize {
			d.loseFramesFrom(0)
		} else {
			d.loseFramesFrom(s.frameAt(size))
		}
	case "zeros":
		from := rapid.IntRange(headerSize, len(d.data)-1).Draw(rt, "from")
		to := rapid.IntRange(from+1, len(d.data)).Draw(rt, "to")
		clear(d.data[from:to])
		d.loseChangedFrames(s)
	case "header": // the second copy of the header remains intact
		d.data[rapid.IntRange(0, headerCopySize-1).Draw(rt, "at")] ^= 1
	case "remove":
		d.isRemoved = true
		d.loseFramesFrom(0)
	}
	return d
}

// loseFramesFrom marks the frames from the given index on as lost.
func (d *damagedSegment) loseFramesFrom(first int) {
	for i := first; i < len(d.isLost); i++ {
		d.isLost[i] = true
	}
}

// loseChangedFrames marks the frames that differ from the original as lost. Damage may leave a frame unchanged: two
// flips can cancel each other out, and zeros can replace zeros.
func (d *damagedSegment) loseChangedFrames(original *testSegment) {
	for i := range original.frames {
		if !slices.Equal(original.frameData(d.data, i), original.frameData(original.data, i)) {
			d.isLost[i] = true
		}
	}
}

// TestAnyDamage checks that a reader of a store with random bit flips, truncated, zeroed or removed segments returns
// exactly the intact records, and gaps for exactly the lost records that precede an intact one. Reading starts at the
// sequence number in the name of the first remaining file.
func TestAnyDamage(t *testing.T) {
	const records = 300
	store := writeStore(t, records)
	rapid.Check(t, func(rt *rapid.T) {
		var isLost []bool // index: sequence number - 1
		firstSeq := 0     // in the name of the first remaining file; 0: none remains
		for i := range store.segments {
			s := &store.segments[i]
			damaged := drawDamage(rt, s)
			if !damaged.isRemoved && firstSeq == 0 {
				firstSeq = len(isLost) + 1
			}
			isLost = append(isLost, damaged.isLost...)
			path := filepath.Join(store.dir, s.name)
			if damaged.isRemoved {
				_ = os.Remove(path)
			} else if err := os.WriteFile(path, damaged.data, 0o600); err != nil {
				rt.Fatal(err)
			}
		}
		if len(isLost) != records {
			rt.Fatalf("the store has %d frames, want %d", len(isLost), records)
		}
		got, _ := readAll(t, store.dir)
		want := expectedSummaries(isLost, max(firstSeq, 1))
		if difference := firstDifference(withoutCauses(got), want); difference != "" {
			rt.Fatal(difference)
		}
	})
}

// expectedSummaries returns the expected summaries from sequence number firstSeq on, with gaps without a cause.
func expectedSummaries(isLost []bool, firstSeq int) []string {
	var want []string
	gapFrom := 0
	for seq := firstSeq; seq <= len(isLost); seq++ {
		if isLost[seq-1] {
			if gapFrom == 0 {
				gapFrom = seq
			}
			continue
		}
		if gapFrom > 0 {
			want = append(want, fmt.Sprintf("gap %d-%d", gapFrom, seq-1))
		}
		gapFrom = 0
		want = append(want, sampleSummary(seq))
	}
	return want
}

// withoutCauses returns the lines with the causes removed from the summaries of gaps.
func withoutCauses(lines []string) []string {
	stripped := slices.Clone(lines)
	for i, line := range stripped {
		if strings.HasPrefix(line, "gap") {
			stripped[i] = line[:strings.LastIndexByte(line, ' ')]
		}
	}
	return stripped
}
