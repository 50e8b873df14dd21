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

// goldenSaves returns values in the order in which they are saved: more versions of one name than the store keeps, an
// empty value, and a value with every byte.
func goldenSaves() []goldenSave {
	everyByte := make([]byte, 256)
	for i := range everyByte {
		everyByte[i] = byte(i)
	}
	return []goldenSave{
		{"standing", []byte(`{"active":"1"}`)},
		{"standing", []byte(`{"active":"2","before":"1"}`)},
		{"empty", nil},
		{"standing", []byte(`{"active":"3","before":"2"}`)},
		{"standing", []byte(`{"active":"4","before":"3"}`)},
		{"7b3cbfb4b82e4e7b", everyByte},
	}
}

// Save writes files that are identical to the committed ones.
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

// Load and History read the committed files.
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
		if err != nil || v.Serial != c.serial || len(v.DamagedFiles) > 0 || !bytes.Equal(v.Data, c.data) {
			t.Errorf("%s: %+v, %v", c.name, v, err)
		}
	}
	older := s.History("standing", 4)
	if len(older) != 2 || older[0].Serial != 3 || !bytes.Equal(older[0].Data, saves[3].data) ||
		older[1].Serial != 2 || !bytes.Equal(older[1].Data, saves[1].data) {
		t.Errorf("history: %+v", older)
	}
}
