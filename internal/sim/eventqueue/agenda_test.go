package eventqueue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"olivedale/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// What comes off is in the order of time, and of one time in the order in which it was put down.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			at time.Duration
			n  int
		}
		var a Agenda[entry]
		var want []entry
		for n, at := range rapid.SliceOf(rapid.IntRange(0, 5)).Draw(t, "times") {
			e := entry{time.Duration(at), n}
			a.Add(e.at, e)
			if want = append(want, e); rapid.Bool().Draw(t, "pop") {
				slices.SortStableFunc(want, func(x, y entry) int { return int(x.at - y.at) })
				if a.Next() != want[0].at {
					t.Fatalf("next at %v, want %v", a.Next(), want[0].at)
				}
				if _, got := a.Pop(); got != want[0] {
					t.Fatalf("%v, want %v", got, want[0])
				}
				want = want[1:]
			}
		}
		slices.SortStableFunc(want, func(x, y entry) int { return int(x.at - y.at) })
		for _, w := range want {
			if _, got := a.Pop(); got != w {
				t.Fatalf("%v, want %v", got, w)
			}
		}
		if a.Len() != 0 || a.Next() != Never {
			t.Fatalf("%d are left", a.Len())
		}
	})
}
