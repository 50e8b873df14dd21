package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var errCrash = errors.New("crashed")

// disk is a file system that crashes after so many steps. Until the folder is synced a rename or
// a removal may or may not have reached it; a file whose write was cut is there in part.
type disk struct {
	files map[string][]byte // as programs see them
	safe  map[string][]byte // as a crash leaves them at the least
	steps int               // until the crash; negative: none
	rng   *rand.Rand
}

func newDisk(seed uint64) *disk {
	return &disk{files: make(map[string][]byte), safe: make(map[string][]byte), steps: -1, rng: rand.New(rand.NewPCG(seed, 1))}
}

func (d *disk) step() bool {
	if d.steps == 0 {
		return false
	}
	d.steps--
	return true
}

func (d *disk) Write(name string, data []byte) error {
	if !d.step() { // in the middle of the write
		d.files[name] = bytes.Clone(data[:d.rng.IntN(len(data)+1)])
		if d.rng.IntN(2) == 0 {
			d.safe[name] = d.files[name]
		}
		return errCrash
	}
	d.files[name] = bytes.Clone(data)
	if !d.step() { // written, not synced: what the disk has is anything
		d.safe[name] = bytes.Clone(data[:d.rng.IntN(len(data)+1)])
		return errCrash
	}
	d.safe[name] = d.files[name] // the entry as well: the system may sync more than it is asked for
	return nil
}

func (d *disk) Rename(from, to string) error {
	if !d.step() {
		return errCrash
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	if d.rng.IntN(2) == 0 { // it may reach the disk before the folder is synced
		d.safe[to] = d.files[to]
		delete(d.safe, from)
	}
	return nil
}

func (d *disk) Remove(name string) error {
	if !d.step() {
		return errCrash
	}
	delete(d.files, name)
	if d.rng.IntN(2) == 0 {
		delete(d.safe, name)
	}
	return nil
}

func (d *disk) SyncDir() error {
	if !d.step() {
		return errCrash
	}
	d.safe = make(map[string][]byte)
	for n, b := range d.files {
		d.safe[n] = b
	}
	return nil
}

func (d *disk) Read(name string) ([]byte, error) {
	if b, ok := d.files[name]; ok {
		return bytes.Clone(b), nil
	}
	return nil, os.ErrNotExist
}

func (d *disk) List() (all []string, err error) {
	for n := range d.files {
		all = append(all, n)
	}
	return all, nil
}

// crash leaves what is safe.
func (d *disk) crash() {
	d.files = make(map[string][]byte)
	for n, b := range d.safe {
		d.files[n] = bytes.Clone(b)
	}
	d.steps = -1
}

func value(i int) []byte { return []byte(strings.Repeat(fmt.Sprint("value ", i, " "), 1+i%5)) }

// A crash at each step of a Save, of many, leaves the old value or the new; one that was
// acknowledged is never lost; and the store goes on.
func TestCrashAtEachStep(t *testing.T) {
	points := 0
	for seed := range uint64(40) {
		for steps := range 12 {
			d := newDisk(seed)
			s := OpenFS(d)
			for i := range 5 {
				if _, err := s.Save("table", value(i)); err != nil {
					t.Fatal(err)
				}
			}
			d.steps = steps
			_, err := s.Save("table", value(5))
			if err != nil && !errors.Is(err, errCrash) {
				t.Fatal(err)
			}
			if err != nil {
				points++
			}
			d.crash()
			v, loaded := s.Load("table")
			if loaded != nil {
				t.Fatalf("seed %d, step %d: %v", seed, steps, loaded)
			}
			old, fresh := bytes.Equal(v.Data, value(4)), bytes.Equal(v.Data, value(5))
			if !old && !fresh || err == nil && !fresh {
				t.Fatalf("seed %d, step %d (%v): %q", seed, steps, err, v.Data)
			}
			if _, err := s.Save("table", value(6)); err != nil {
				t.Fatal(err)
			}
			if v, err = s.Load("table"); err != nil || !bytes.Equal(v.Data, value(6)) {
				t.Fatalf("seed %d, step %d: after the crash %q, %v", seed, steps, v.Data, err)
			}
		}
	}
	if points < 100 {
		t.Errorf("only %d saves crashed", points)
	}
}

// What is damaged is passed over and named, by the value before it; values past those that are
// kept go.
func TestFallBack(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(filepath.Join(dir, "state"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Load("table"); !errors.Is(err, ErrNotFound) {
		t.Errorf("nothing kept: %v", err)
	}
	for i := range 10 {
		if n, err := s.Save("table", value(i)); err != nil || n != uint64(i+1) {
			t.Fatal(n, err)
		}
	}
	if _, err := s.Save("tables", value(99)); err != nil { // another name that begins alike
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(dir, "state", "table-*"))
	if err != nil || len(files) != keep {
		t.Fatal(files, err)
	}
	damage := func(file string, how func(b []byte) []byte) {
		t.Helper()
		b, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, how(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	damage(files[2], func(b []byte) []byte { b[len(b)-1] ^= 1; return b })
	if v, err := s.Load("table"); err != nil || !bytes.Equal(v.Data, value(8)) || len(v.Bad) != 1 || !strings.Contains(v.Bad[0], "damaged") {
		t.Errorf("%+v, %v", v, err)
	}
	damage(files[1], func(b []byte) []byte { return b[:len(b)-3] })
	if v, err := s.Load("table"); err != nil || !bytes.Equal(v.Data, value(7)) || len(v.Bad) != 2 || !strings.Contains(v.Bad[1], "torn") {
		t.Errorf("%+v, %v", v, err)
	}
	damage(files[0], func([]byte) []byte { return nil })
	if _, err := s.Load("table"); err == nil || errors.Is(err, ErrNotFound) {
		t.Errorf("nothing whole: %v", err)
	}
	if n, err := s.Save("table", value(1)); err != nil || n != 11 {
		t.Errorf("%d, %v", n, err)
	}
	for _, name := range []string{"", "../x", "A", strings.Repeat("x", 64)} {
		if _, err := s.Save(name, nil); err == nil {
			t.Errorf("%q was taken for a name", name)
		}
	}
}
