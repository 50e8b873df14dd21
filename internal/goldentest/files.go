package goldentest

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

var update = flag.Bool("update", false, "overwrite the golden files instead of comparing with them")

// CompareFile compares the output of a test with a committed file byte for byte and reports the first line that
// differs. With -update it writes the file instead.
func CompareFile(t testing.TB, path string, got []byte) {
	t.Helper()
	if *update {
		if err := writeFile(path, got); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Error(err)
		return
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: %s", path, firstDifference(got, want))
	}
}

// writeFile writes a file and creates its directory if necessary.
func writeFile(path string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// CompareDir compares the files in directory got with those in the committed directory path: the names must be the
// same, and the contents equal byte for byte. With -update it replaces the committed files. The directories must not
// have subdirectories.
func CompareDir(t testing.TB, path, got string) {
	t.Helper()
	names := fileNames(t, got)
	if *update {
		if err := os.RemoveAll(path); err != nil {
			t.Fatal(err)
		}
	} else if want := fileNames(t, path); !slices.Equal(names, want) {
		t.Errorf("%s: files are\n got %q\nwant %q", path, names, want)
		return
	}
	for _, name := range names {
		data, err := os.ReadFile(filepath.Join(got, name))
		if err != nil {
			t.Fatal(err)
		}
		CompareFile(t, filepath.Join(path, name), data)
	}
}

func fileNames(t testing.TB, dir string) []string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names
}

// maxShownBytes limits the length of a line in an error message.
const maxShownBytes = 300

// firstDifference describes the first line in which two texts differ. Long lines are shown from shortly before the
// first byte that differs.
func firstDifference(got, want []byte) string {
	gotLines := bytes.Split(got, []byte("\n"))
	wantLines := bytes.Split(want, []byte("\n"))
	for i := range min(len(gotLines), len(wantLines)) {
		gotLine, wantLine := gotLines[i], wantLines[i]
		if bytes.Equal(gotLine, wantLine) {
			continue
		}
		common := commonPrefixLength(gotLine, wantLine)
		from := max(common-maxShownBytes/2, 0)
		return fmt.Sprintf("line %d differs at byte %d\n got %q\nwant %q",
			i+1, common+1, excerpt(gotLine, from), excerpt(wantLine, from))
	}
	return fmt.Sprintf("got %d lines, want %d", len(gotLines), len(wantLines))
}

func commonPrefixLength(a, b []byte) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// excerpt returns at most maxShownBytes bytes of a line, starting at from.
func excerpt(line []byte, from int) []byte {
	return line[from:min(from+maxShownBytes, len(line))]
}
