package server

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A roster's order is that of the last word, whatever comes and goes, and what is overdue is at the
// front of the watched ones.
func TestRoster(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		type conn struct {
			s           stream
			at, watched seat
		}
		var all, watched roster[*conn]
		var want []*conn
		now := time.Duration(1)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, int(firstWord/2)).Draw(t, "gap"))
			switch what := rapid.IntRange(0, 3).Draw(t, "what"); {
			case what == 0 || len(want) == 0:
				c := &conn{s: stream{born: now}}
				c.at, c.watched = all.add(c), watched.add(c)
				want = append(want, c)
			case what == 1:
				i := rapid.IntRange(0, len(want)-1).Draw(t, "which")
				all.leave(&want[i].at)
				watched.leave(&want[i].watched)
				all.leave(&want[i].at) // a second time does nothing
				want = slices.Delete(want, i, i+1)
			default:
				i := rapid.IntRange(0, len(want)-1).Draw(t, "which")
				c := want[i]
				all.heard(c.at)
				c.s.read(now, rapid.Bool().Draw(t, "whole"), rapid.Bool().Draw(t, "half"))
				watched.watch(&c.watched, c, &c.s, now)
				want = append(slices.Delete(want, i, i+1), c)
			}
		}
		got := slices.Collect(all.oldest())
		if !slices.Equal(got, want) || all.len() != len(want) {
			t.Fatalf("%d in order, want %d", len(got), len(want))
		}
		back := slices.Collect(all.latest())
		slices.Reverse(back)
		if !slices.Equal(back, want) {
			t.Fatal("from the latest it is another order")
		}
		now += firstWord
		over := true
		found := 0
		for c := range watched.oldest() {
			is := c.s.overdue(now)
			if is && !over {
				t.Fatal("one that is overdue is behind one that is not")
			}
			if over = is; is {
				found++
			}
		}
		n := 0
		for _, c := range want {
			if c.s.overdue(now) {
				n++
			}
		}
		if n != found {
			t.Fatalf("%d are overdue, %d are found", n, found)
		}
	})
}

// What keeping the order costs a message, by connections, beside the slice that was there before:
// go test -run '^$' -bench Order ./internal/server
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{100, 5000, 20000} {
		rng := rand.New(rand.NewPCG(1, 1))
		b.Run(fmt.Sprint("roster/", n), func(b *testing.B) {
			var r roster[int]
			seats := make([]seat, n)
			for i := range seats {
				seats[i] = r.add(i)
			}
			for b.Loop() {
				r.heard(seats[rng.IntN(n)])
			}
		})
		b.Run(fmt.Sprint("slice/", n), func(b *testing.B) {
			all := make([]*int, n)
			for i := range all {
				all[i] = new(int)
			}
			for b.Loop() {
				k := all[rng.IntN(n)]
				all = append(slices.DeleteFunc(all, func(other *int) bool { return other == k }), k)
			}
		})
	}
}
