package eventloop

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An idle list stays ordered by the latest messages whatever is added and removed, and in the list of connections that
// may become overdue, the overdue ones are at the front.
func TestIdleList(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		type member struct {
			conn                    *Conn
			element, overdueElement Element
		}
		var all, mayOverdue IdleList[*member]
		var want []*member
		now := time.Duration(1)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, int(InputTimeout/2)).Draw(t, "gap"))
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action == 0 || len(want) == 0:
				m := &member{conn: NewConn(nil, now)}
				m.element, m.overdueElement = all.Add(m), mayOverdue.Add(m)
				want = append(want, m)
			case action == 1:
				i := rapid.IntRange(0, len(want)-1).Draw(t, "which")
				all.Remove(&want[i].element)
				mayOverdue.Remove(&want[i].overdueElement)
				all.Remove(&want[i].element) // a second removal does nothing
				want = slices.Delete(want, i, i+1)
			default:
				i := rapid.IntRange(0, len(want)-1).Draw(t, "which")
				m := want[i]
				all.Touch(m.element)
				m.conn.RecordInput(now, rapid.Bool().Draw(t, "complete"), rapid.Bool().Draw(t, "partial"))
				mayOverdue.UpdateOverdue(&m.overdueElement, m, m.conn, now)
				want = append(slices.Delete(want, i, i+1), m)
			}
		}
		oldestFirst := slices.Collect(all.Oldest())
		if !slices.Equal(oldestFirst, want) || all.Len() != len(want) {
			t.Fatalf("Oldest returned %d connections, want %d in the order of their latest messages",
				len(oldestFirst), len(want))
		}
		latestFirst := slices.Collect(all.Latest())
		slices.Reverse(latestFirst)
		if !slices.Equal(latestFirst, want) {
			t.Fatal("Latest does not return the reverse order of Oldest")
		}
		now += InputTimeout
		previousOverdue := true
		found := 0
		for m := range mayOverdue.Oldest() {
			isOverdue := m.conn.IsOverdue(now)
			if isOverdue && !previousOverdue {
				t.Fatal("an overdue connection is behind one that is not overdue")
			}
			previousOverdue = isOverdue
			if isOverdue {
				found++
			}
		}
		overdue := 0
		for _, m := range want {
			if m.conn.IsOverdue(now) {
				overdue++
			}
		}
		if overdue != found {
			t.Fatalf("%d connections are overdue, but the list contains %d of them", overdue, found)
		}
	})
}

// BenchmarkIdleList measures the cost per message of maintaining the order, by the number of connections, and compares
// it with a slice:
//
//	go test -run '^$' -bench IdleList ./internal/eventloop
func BenchmarkIdleList(b *testing.B) {
	for _, n := range []int{100, 5000, 20000} {
		rng := rand.New(rand.NewPCG(1, 1))
		b.Run(fmt.Sprint("list/", n), func(b *testing.B) {
			var idle IdleList[int]
			elements := make([]Element, n)
			for i := range elements {
				elements[i] = idle.Add(i)
			}
			for b.Loop() {
				idle.Touch(elements[rng.IntN(n)])
			}
		})
		b.Run(fmt.Sprint("slice/", n), func(b *testing.B) {
			all := make([]*int, n)
			for i := range all {
				all[i] = new(int)
			}
			for b.Loop() {
				used := all[rng.IntN(n)]
				all = append(slices.DeleteFunc(all, func(other *int) bool { return other == used }), used)
			}
		})
	}
}
