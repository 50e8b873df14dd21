package eventloop

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An idle list is in the order of the latest messages, whatever is added and removed, and the connections that are
// overdue are the first of those that may become overdue.
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
				all.Remove(&want[i].element) // a second time does nothing
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
			t.Fatalf("%d in order, want %d", len(oldestFirst), len(want))
		}
		latestFirst := slices.Collect(all.Latest())
		slices.Reverse(latestFirst)
		if !slices.Equal(latestFirst, want) {
			t.Fatal("from the latest it is another order")
		}
		now += InputTimeout
		previousOverdue := true
		found := 0
		for m := range mayOverdue.Oldest() {
			isOverdue := m.conn.IsOverdue(now)
			if isOverdue && !previousOverdue {
				t.Fatal("one that is overdue is behind one that is not")
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
			t.Fatalf("%d are overdue, %d are found", overdue, found)
		}
	})
}

// BenchmarkIdleList measures what keeping the order costs a message, by the number of connections, beside a slice:
// go test -run '^$' -bench IdleList ./internal/eventloop
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
