package store

import (
	"bytes"
	"path/filepath"
	"testing"

	"olivedale/internal/goldentest"
)

var goldenState = filepath.Join("testdata", "golden", "state")

type goldenSave struct {
	name string
	data []byte
}

// goldenSaves are what is saved, in this order: more values of one name than are kept, one that is empty, and
// one of all bytes.
func goldenSaves() []goldenSave {
	bytesOfAll := make([]byte, 256)
	for i := range bytesOfAll {
		bytesOfAll[i] = byte(i)
	}
	return []goldenSave{
		{"standing", []byte(`{"active":"1"}`)},
		{"standing", []byte(`{"active":"2","before":"1"}`)},
		{"empty", nil},
		{"standing", []byte(`{"active":"3","before":"2"}`)},
		{"standing", []byte(`{"active":"4","before":"3"}`)},
		{"7b3cbfb4b82e4e7b", bytesOfAll},
	}
}

// The same values are saved as the same bytes as when the files were committed.
func TestGoldenStateIsSavedTheSame(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range goldenSaves() {
		if _, err := s.Save(v.name, v.data); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.CompareDir(t, goldenState, dir)
}

// The committed values are found whole, with those to fall back on.
func TestGoldenStateIsLoaded(t *testing.T) {
	s, err := Open(goldenState)
	if err != nil {
		t.Fatal(err)
	}
	saves := goldenSaves()
	for _, c := range []struct {
		name   string
		serial uint64
		data   []byte
	}{
		{"standing", 4, saves[4].data}, {"empty", 1, nil}, {"7b3cbfb4b82e4e7b", 1, saves[5].data},
	} {
		v, err := s.Load(c.name)
		if err != nil || v.Serial != c.serial || len(v.Bad) > 0 || !bytes.Equal(v.Data, c.data) {
			t.Errorf("%s: %+v, %v", c.name, v, err)
		}
	}
	before := s.History("standing", 4)
	if len(before) != 2 || before[0].Serial != 3 || !bytes.Equal(before[0].Data, saves[3].data) ||
		before[1].Serial != 2 || !bytes.Equal(before[1].Data, saves[1].data) {
		t.Errorf("to fall back on: %+v", before)
	}
}
