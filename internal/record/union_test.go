package record

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"pgregory.net/rapid"
)

// TestCopiesAreOne checks that copies of one store with different segments missing are merged: each record that any
// copy contains is returned once.
func TestCopiesAreOne(t *testing.T) {
	store := writeStore(t, 300)
	rapid.Check(t, func(rt *rapid.T) {
		root, err := os.MkdirTemp("", "copies")
		if err != nil {
			rt.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(root) }()
		isPresent := drawCopies(rt, root, &store)
		stores, err := Find(root)
		if err != nil {
			rt.Fatal(err)
		}
		if len(stores) > 1 {
			rt.Fatalf("%d stores", len(stores))
		}
		var got []string
		if len(stores) == 1 {
			got = readUnion(rt, stores[0])
		}
		if difference := firstDifference(got, expectedUnion(&store, isPresent)); difference != "" {
			rt.Fatal(difference)
		}
	})
}

// drawCopies writes copies of a store with random segments missing, and reports for each segment whether any copy
// contains it.
func drawCopies(rt *rapid.T, root string, store *testStore) []bool {
	isPresent := make([]bool, len(store.segments))
	for i := range rapid.IntRange(1, 3).Draw(rt, "copies") {
		dir := filepath.Join(root, fmt.Sprint(i))
		if err := os.Mkdir(dir, 0o700); err != nil {
			rt.Fatal(err)
		}
		for j, s := range store.segments {
			if !rapid.Bool().Draw(rt, "there") {
				continue
			}
			isPresent[j] = true
			if err := os.WriteFile(filepath.Join(dir, s.name), s.data, 0o600); err != nil {
				rt.Fatal(err)
			}
		}
	}
	return isPresent
}

// readUnion returns the summaries of all records of a store.
func readUnion(rt *rapid.T, s Store) []string {
	u, err := OpenStore(s)
	if err != nil {
		rt.Fatal(err)
	}
	defer func() { _ = u.Close() }()
	var lines []string
	var rec Record
	for u.Next(&rec) == nil {
		lines = append(lines, summary(&rec))
	}
	if u.Conflicts() > 0 {
		rt.Fatalf("%d conflicts", u.Conflicts())
	}
	return lines
}

// expectedUnion returns the summaries of the records in the present segments and of the gaps between them.
func expectedUnion(store *testStore, isPresent []bool) []string {
	var want []string
	seq := 1         // first sequence number of the segment
	expectedSeq := 0 // sequence number after the last present segment; 0: none yet
	for i, s := range store.segments {
		end := seq + len(s.frames)
		if isPresent[i] {
			if expectedSeq > 0 && expectedSeq < seq {
				want = append(want, fmt.Sprintf("gap %d-%d missing", expectedSeq, seq-1))
			}
			for j := seq; j < end; j++ {
				want = append(want, sampleSummary(j))
			}
			expectedSeq = end
		}
		seq = end
	}
	return want
}
