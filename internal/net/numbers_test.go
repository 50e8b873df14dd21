package net

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lapiscourse/internal/config"
	"lapiscourse/internal/numbering"
	"lapiscourse/internal/record"
)

// numberRules are rules by which all numbers go to one pool, but those that begin with 9, which
// are barred. Numbers of stand-in calls are words, so the classes of calls stand in for digits:
// the key is made of digits, and a stand-in server answers every one of them.
func numberRules(pool int) string {
	return fmt.Sprintf("version = \"to %d\"\ndefault = \"r\"\n[[barred]]\nprefix = \"9\"\ncause = 17\n[[route]]\nname = \"r\"\n[[route.target]]\npool = %d\n", pool, pool)
}

// Tables are swapped while calls are in the middle of their set-up and others come: each call
// goes by the table that it began with, and by no other, as its records tell.
func TestTableSwappedInService(t *testing.T) {
	t.Parallel()
	f, h := startFleet(t, 2), newHeard()
	file := filepath.Join(t.TempDir(), "numbers.toml")
	digest := make(map[string]int) // pool by digest
	write := func(pool int) {
		t.Helper()
		if err := os.WriteFile(file, []byte(numberRules(pool)), 0o600); err != nil {
			t.Fatal(err)
		}
		table, err := ReadNumbers(file, numbering.Env{}, time.Duration(time.Now().UnixNano()))
		if err != nil {
			t.Fatal(err)
		}
		digest[table.Digest()] = pool
	}
	write(0)
	f.numbers = &config.Numbers{File: file}
	dir := t.TempDir()
	s := f.node(t, "n0", dir, new(atomic.Int64))
	k := dialJSON(t, s.json(), h, "aaaaaaaa")
	status := func() []numbering.Status {
		got := make(chan []numbering.Status, 1)
		s.n.exec(func() { got <- s.n.numbers.reg.List() })
		return <-got
	}
	holds := func(pool int) (n int) {
		for _, v := range status() {
			if digest[v.Digest] == pool {
				n += v.Pins
			}
		}
		return n
	}
	if said := h.wait(t, k.setUp("911", 4*time.Second), 1); said != "end 17" {
		t.Errorf("a barred number: %q", said)
	}
	held := k.setUp("100", 4*time.Second) // the stand-in answers no number that it does not know
	eventually(t, "it is at the server of pool 0", func() bool { return f.r.tries("100") == 1 })
	for i := range 6 {
		pool := (i + 1) % 2
		write(pool)
		s.n.ReloadNumbers()
		eventually(t, "the table is in force", func() bool {
			for _, v := range status() {
				if v.State == numbering.InForce {
					return digest[v.Digest] == pool
				}
			}
			return false
		})
		number := fmt.Sprint("20", i)
		key := k.setUp(number, 4*time.Second)
		eventually(t, "it is at a server or refused", func() bool { return f.r.tries(number) == 1 || h.of(key) != "" })
	}
	if holds(0) == 0 || holds(1) == 0 {
		t.Errorf("calls hold %+v", status())
	}
	// A bad table changes nothing.
	if err := os.WriteFile(file, []byte("default = \"none\""), 0o600); err != nil {
		t.Fatal(err)
	}
	before := status()
	s.n.ReloadNumbers()
	if after := status(); len(after) != len(before) || after[0].Digest != before[0].Digest || after[0].State != before[0].State {
		t.Errorf("a bad table: %+v, before %+v", after, before)
	}
	k.hangUp(held)
	k.close()
	eventually(t, "all calls have let go", func() bool { return holds(0)+holds(1) == 0 })
	s.stop(t)

	// What the records tell, call by call, against what each table says in so many words.
	r, err := record.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	var rec record.Record
	pools := make(map[string]int)
	tries := make(map[int]int)
	for r.Next(&rec) == nil {
		switch rec.Kind {
		case record.KindSetUp:
			if strings.HasPrefix(rec.Number, "9") {
				continue
			}
			pool, ok := digest[rec.Text]
			if !ok {
				t.Errorf("%s went by a table that there is not: %q", rec.Call, rec.Text)
			}
			pools[rec.Call] = pool
		case record.KindTry:
			if want := fmt.Sprint("s-", pools[rec.Call]); rec.Server != want {
				t.Errorf("%s went to %s, its table says %s", rec.Call, rec.Server, want)
			}
			tries[pools[rec.Call]]++
		}
	}
	if tries[0] == 0 || tries[1] == 0 {
		t.Errorf("attempts by pool: %v", tries)
	}
}
