package console

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

type testItem struct {
	name  string
	count uint64
}

func newTestTable() *table {
	items := []testItem{{"Alpha", 2}, {"beta", 10}, {"gamma", 10}}
	return newTable(items, func(i *testItem) string { return i.name }, []column[testItem]{
		textColumn("NAME", 6, func(i *testItem) cell { return textCell(i.name) }),
		numberColumn("COUNT", 5, func(i *testItem) cell { return countCell(i.count) }),
		textColumn("NOTE", 20, func(*testItem) cell { return textCell("a note on the item") }),
	})
}

func rowNames(t *table) []string {
	var names []string
	for _, r := range t.rows {
		names = append(names, r.name)
	}
	return names
}

func TestTableSort(t *testing.T) {
	for name, c := range map[string]struct {
		order sortOrder
		want  []string
	}{
		"natural":          {sortOrder{column: unsorted}, []string{"Alpha", "beta", "gamma"}},
		"natural reversed": {sortOrder{column: unsorted, isReversed: true}, []string{"gamma", "beta", "Alpha"}},
		"text":             {sortOrder{column: 0}, []string{"Alpha", "beta", "gamma"}},
		"number":           {sortOrder{column: 1}, []string{"beta", "gamma", "Alpha"}},
		"number reversed":  {sortOrder{column: 1, isReversed: true}, []string{"Alpha", "beta", "gamma"}},
		"absent column":    {sortOrder{column: 9}, []string{"Alpha", "beta", "gamma"}},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTestTable()
			table.sort(c.order)
			if got := rowNames(table); !slices.Equal(got, c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

func TestTableFilterIgnoresCase(t *testing.T) {
	table := newTestTable()
	table.filter("ALPH")
	if got := rowNames(table); !slices.Equal(got, []string{"Alpha"}) {
		t.Errorf("%v", got)
	}
}

func TestTableWidths(t *testing.T) {
	for _, c := range []struct {
		available int
		want      []int
	}{
		{80, []int{6, 5, 20}},
		{25, []int{6, 5, 12}}, // the last text column gets the rest
		{20, []int{6, 5}},     // the rest is too narrow
		{4, []int{4}},
		{0, []int{1}},
	} {
		if got := newTestTable().widths(c.available); !slices.Equal(got, c.want) {
			t.Errorf("%d columns: %v, want %v", c.available, got, c.want)
		}
	}
}

func TestTableLines(t *testing.T) {
	table := newTestTable()
	heading := table.headingLine(80, sortOrder{column: 1, isReversed: true})
	if want := "NAME   COUN~ NOTE                "; heading != want {
		t.Errorf("%q, want %q", heading, want)
	}
	if line, want := table.line(table.rows[1].cells, 12), "beta      10"; line != want {
		t.Errorf("%q, want %q", line, want)
	}
}

func TestRateCell(t *testing.T) {
	for _, c := range []struct {
		rate float64
		want string
	}{{math.NaN(), "-"}, {0, "0"}, {0.25, "0.2"}, {9.94, "9.9"}, {9.95, "10"}, {120.4, "120"}} {
		if got := rateCell(c.rate).text; got != c.want {
			t.Errorf("%v: %q, want %q", c.rate, got, c.want)
		}
	}
}

func TestFormatAge(t *testing.T) {
	for age, want := range map[time.Duration]string{
		-time.Second:               "0s",
		1500 * time.Millisecond:    "1s",
		62 * time.Second:           "1m02s",
		time.Hour + 90*time.Second: "1h01m",
	} {
		if got := formatAge(age); got != want {
			t.Errorf("%v: %q, want %q", age, got, want)
		}
	}
}

func TestWrapKeepsAllCharacters(t *testing.T) {
	lines := wrap(strings.Repeat("0123456789", 3), 12)
	want := []string{"012345678901", "    23456789", "    01234567", "    89"}
	if !slices.Equal(lines, want) {
		t.Errorf("%q, want %q", lines, want)
	}
}
