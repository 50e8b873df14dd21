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

// A crashingDisk is a file system that crashes after some steps. Renames and removals that SyncDir has not made durable
// may be kept or undone by a crash; a file that was being written is truncated at random.
type crashingDisk struct {
	files     map[string][]byte // as seen by programs
	durable   map[string][]byte // as left by a crash
	stepsLeft int               // steps until the crash; negative: no crash
	rng       *rand.Rand
}

func newCrashingDisk(seed uint64) *crashingDisk {
	return &crashingDisk{
		files:     make(map[string][]byte),
		durable:   make(map[string][]byte),
		stepsLeft: -1,
		rng:       rand.New(rand.NewPCG(seed, 1)),
	}
}

// step counts a step and reports whether the disk has not crashed yet.
func (d *crashingDisk) step() bool {
	if d.stepsLeft == 0 {
		return false
	}
	d.stepsLeft--
	return true
}

func (d *crashingDisk) Write(name string, data []byte) error {
	if !d.step() { // in the middle of the write
		d.files[name] = bytes.Clone(data[:d.rng.IntN(len(data)+1)])
		if d.rng.IntN(2) == 0 {
			d.durable[name] = d.files[name]
		}
		return errCrash
	}
	d.files[name] = bytes.Clone(data)
	if !d.step() { // written but not synced: any prefix may be on the disk
		d.durable[name] = bytes.Clone(data[:d.rng.IntN(len(data)+1)])
		return errCrash
	}
	d.durable[name] = d.files[name] // with its directory entry, as a system may sync more than requested
	return nil
}

func (d *crashingDisk) Rename(from, to string) error {
	if !d.step() {
		return errCrash
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	if d.rng.IntN(2) == 0 { // may reach the disk before SyncDir
		d.durable[to] = d.files[to]
		delete(d.durable, from)
	}
	return nil
}

func (d *crashingDisk) Remove(name string) error {
	if !d.step() {
		return errCrash
	}
	delete(d.files, name)
	if d.rng.IntN(2) == 0 {
		delete(d.durable, name)
	}
	return nil
}

func (d *crashingDisk) SyncDir() error {
	if !d.step() {
		return errCrash
	}
	d.durable = make(map[string][]byte)
	for n, b := range d.files {
		d.durable[n] = b
	}
	return nil
}

func (d *crashingDisk) Read(name string) ([]byte, error) {
	if b, ok := d.files[name]; ok {
		return bytes.Clone(b), nil
	}
	return nil, os.ErrNotExist
}

func (d *crashingDisk) List() (all []string, err error) {
	for n := range d.files {
		all = append(all, n)
	}
	return all, nil
}

// crash discards everything that is not durable and makes the disk work again.
func (d *crashingDisk) crash() {
	d.files = make(map[string][]byte)
	for n, b := range d.durable {
		d.files[n] = bytes.Clone(b)
	}
	d.stepsLeft = -1
}

func value(i int) []byte { return []byte(strings.Repeat(fmt.Sprint("value ", i, " "), 1+i%5)) }

// A crash at any step of Save leaves the old value or the new one. A value whose Save succeeded is never lost, and the
// store works after the crash.
func TestCrashAtEachStep(t *testing.T) {
	crashes := 0
	for seed := range uint64(40) {
		for steps := range 12 {
			if crashDuringSave(t, seed, steps) {
				crashes++
			}
		}
	}
	if crashes < 100 {
		t.Errorf("%d saves crashed, want at least 100", crashes)
	}
}

// crashDuringSave saves five values, crashes after some steps of the sixth Save, and checks the value that is left. It
// reports whether the crash occurred before the end of Save.
func crashDuringSave(t *testing.T, seed uint64, steps int) (crashed bool) {
	t.Helper()
	d := newCrashingDisk(seed)
	s := OpenFS(d)
	for i := range 5 {
		if _, err := s.Save("table", value(i)); err != nil {
			t.Fatal(err)
		}
	}
	d.stepsLeft = steps
	_, err := s.Save("table", value(5))
	if err != nil && !errors.Is(err, errCrash) {
		t.Fatal(err)
	}
	crashed = err != nil
	d.crash()
	v, err := s.Load("table")
	if err != nil {
		t.Fatalf("seed %d, step %d: %v", seed, steps, err)
	}
	isOld := bytes.Equal(v.Data, value(4))
	isNew := bytes.Equal(v.Data, value(5))
	isLost := !crashed && !isNew
	if !isOld && !isNew || isLost {
		t.Fatalf("seed %d, step %d (crashed: %v): %q", seed, steps, crashed, v.Data)
	}
	if _, err := s.Save("table", value(6)); err != nil {
		t.Fatal(err)
	}
	if v, err = s.Load("table"); err != nil || !bytes.Equal(v.Data, value(6)) {
		t.Fatalf("seed %d, step %d: after the crash %q, %v", seed, steps, v.Data, err)
	}
	return crashed
}

// changeFile replaces the content of a file.
func changeFile(t *testing.T, path string, change func(content []byte) []byte) {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, change(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// openWithTenVersions returns a store with ten versions of the value named table, and a value whose name has that name
// as a prefix.
func openWithTenVersions(t *testing.T) (s *Store, dir string) {
	t.Helper()
	dir = filepath.Join(t.TempDir(), "state")
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Load("table"); !errors.Is(err, ErrNotFound) {
		t.Errorf("Load from an empty store: error %v, want ErrNotFound", err)
	}
	for i := range 10 {
		if n, err := s.Save("table", value(i)); err != nil || n != uint64(i+1) {
			t.Fatal(n, err)
		}
	}
	if _, err := s.Save("tables", value(99)); err != nil {
		t.Fatal(err)
	}
	return s, dir
}

// Load skips damaged versions, lists them and returns the newest intact one. Save removes the oldest versions.
func TestFallback(t *testing.T) {
	s, dir := openWithTenVersions(t)
	files, err := filepath.Glob(filepath.Join(dir, "table-*"))
	if err != nil || len(files) != maxVersions {
		t.Fatal(files, err)
	}
	flipLastBit := func(b []byte) []byte { b[len(b)-1] ^= 1; return b }
	truncate := func(b []byte) []byte { return b[:len(b)-3] }
	empty := func([]byte) []byte { return nil }
	changeFile(t, files[2], flipLastBit)
	v, err := s.Load("table")
	if err != nil || !bytes.Equal(v.Data, value(8)) || len(v.DamagedFiles) != 1 || !strings.Contains(v.DamagedFiles[0], "damaged") {
		t.Errorf("%+v, %v", v, err)
	}
	changeFile(t, files[1], truncate)
	v, err = s.Load("table")
	if err != nil || !bytes.Equal(v.Data, value(7)) || len(v.DamagedFiles) != 2 || !strings.Contains(v.DamagedFiles[1], "torn") {
		t.Errorf("%+v, %v", v, err)
	}
	changeFile(t, files[0], empty)
	if _, err := s.Load("table"); !errors.Is(err, ErrNoIntactValue) || errors.Is(err, ErrNotFound) {
		t.Errorf("Load of a value without an intact version: error %v, want ErrNoIntactValue", err)
	}
	if n, err := s.Save("table", value(1)); err != nil || n != 11 {
		t.Errorf("Save after all versions were damaged: serial %d, error %v, want serial 11", n, err)
	}
}

// A name that is empty, too long or has characters other than lower-case letters and digits is rejected.
func TestInvalidNames(t *testing.T) {
	s, _ := openWithTenVersions(t)
	for _, name := range []string{"", "../x", "A", strings.Repeat("x", 64)} {
		if _, err := s.Save(name, nil); err == nil {
			t.Errorf("%q was accepted as a name", name)
		}
	}
}
