package eventqueue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"olivedale/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// Events are popped by due time, and events of the same time in the order in which they were pushed.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type event struct {
			due    time.Duration
			number int
		}
		var queue Queue[event]
		var want []event
		byDueTime := func(a, b event) int { return int(a.due - b.due) }
		for number, due := range rapid.SliceOf(rapid.IntRange(0, 5)).Draw(t, "times") {
			e := event{time.Duration(due), number}
			queue.Push(e.due, e)
			want = append(want, e)
			if !rapid.Bool().Draw(t, "pop") {
				continue
			}
			slices.SortStableFunc(want, byDueTime)
			if queue.NextTime() != want[0].due {
				t.Fatalf("NextTime() = %v, want %v", queue.NextTime(), want[0].due)
			}
			if _, got := queue.Pop(); got != want[0] {
				t.Fatalf("popped %v, want %v", got, want[0])
			}
			want = want[1:]
		}
		slices.SortStableFunc(want, byDueTime)
		for _, w := range want {
			if _, got := queue.Pop(); got != w {
				t.Fatalf("popped %v, want %v", got, w)
			}
		}
		if queue.Len() != 0 || queue.NextTime() != Never {
			t.Fatalf("%d events are left in the queue", queue.Len())
		}
	})
}
