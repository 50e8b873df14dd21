package record

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestRecoveryOfADamagedSegment checks that recovery does not remove intact records that follow damage, and that new
// sequence numbers are greater than all that may have been used.
func TestRecoveryOfADamagedSegment(t *testing.T) {
	store := writeStore(t, 20)
	last := store.lastSegment()
	const damagedFrame = 2
	data := slices.Clone(last.data)
	data[last.frames[damagedFrame]+framePrefixSize] ^= 0x10
	if err := os.WriteFile(filepath.Join(store.dir, last.name), data, 0o600); err != nil {
		t.Fatal(err)
	}
	l, recovery := openLog(t, testOptions(store.dir))
	if recovery.SetAsideFile != last.name+setAsideSuffix || recovery.LastSeq != 20 || recovery.Clean {
		t.Errorf("%+v", recovery)
	}
	l.Put(sampleRecord(0))
	closeLog(t, l)

	lostSeq := 20 - len(last.frames) + 1 + damagedFrame
	lines, r := readAll(t, store.dir)
	text := strings.Join(lines, "\n")
	damagedGap := fmt.Sprintf("gap %d-%d damaged", lostSeq, lostSeq)
	if !strings.Contains(text, damagedGap) || !strings.Contains(text, "\n20 ") ||
		!strings.Contains(text, "gap 21-") || !strings.Contains(text, "set_aside") {
		t.Error(text)
	}
	d, _ := r.Damages()
	if len(d) != 1 || d[0].Offset != int64(last.frames[damagedFrame]) ||
		d[0].From != uint64(lostSeq) || d[0].To != d[0].From {
		t.Errorf("%+v", d)
	}
	testRecoveryOfANewerFormat(t, store.dir)
}

// testRecoveryOfANewerFormat changes the format version of the last segment, and checks that recovery sets it aside and
// that a reader reports it.
func testRecoveryOfANewerFormat(t *testing.T, dir string) {
	t.Helper()
	all, err := listSegments(dir)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, all[len(all)-1].name)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[versionOffset] = 2
	data[headerCopySize+versionOffset] = 2
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	l, recovery := openLog(t, testOptions(dir))
	if recovery.SetAsideFile == "" || recovery.SkippedNumbers == 0 {
		t.Errorf("%+v", recovery)
	}
	l.Put(sampleRecord(5))
	closeLog(t, l)
	_, r := readAll(t, dir)
	d, _ := r.Damages()
	if len(d) != 2 || d[1].Cause != NewerFormat || !strings.Contains(d[1].Text, "version 2") {
		t.Errorf("%+v", d)
	}
}
