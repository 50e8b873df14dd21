package goldentest

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// CompareFile compares what a test made with a committed file, byte for byte, and reports the first line that
// differs. With -update it writes the file.
func CompareFile(t testing.TB, path string, got []byte) {
	t.Helper()
	if *update {
		if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o755), os.WriteFile(path, got, 0o644)); err != nil {
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

// CompareDir compares the files in a directory with those in a committed one, by name and byte for byte. With
// -update it replaces the committed files. Neither directory may hold others.
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
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names
}

// maxShownBytes bounds how much of a differing line is shown.
const maxShownBytes = 300

// firstDifference returns the first line in which two texts differ, from shortly before the byte that does.
func firstDifference(got, want []byte) string {
	gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range min(len(gotLines), len(wantLines)) {
		g, w := gotLines[i], wantLines[i]
		if bytes.Equal(g, w) {
			continue
		}
		same := 0
		for same < min(len(g), len(w)) && g[same] == w[same] {
			same++
		}
		from := max(same-maxShownBytes/2, 0)
		g, w = g[from:min(from+maxShownBytes, len(g))], w[from:min(from+maxShownBytes, len(w))]
		return fmt.Sprintf("line %d differs at byte %d\n got %q\nwant %q", i+1, same+1, g, w)
	}
	return fmt.Sprintf("got %d lines, want %d", len(gotLines), len(wantLines))
}
