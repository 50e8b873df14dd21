package console

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// minPartialWidth is the least width in which a text column that does not fit is shown in part.
const minPartialWidth = 10

// unsorted is the sort column of a table whose rows stay in their natural order.
const unsorted = -1

// A column describes one column of a table of T.
type column[T any] struct {
	layout columnLayout
	cell   func(*T) cell
}

// A columnLayout holds the heading, the width and the alignment of a column.
type columnLayout struct {
	heading string
	width   int
	align   alignment
}

func textColumn[T any](heading string, width int, cell func(*T) cell) column[T] {
	return column[T]{layout: columnLayout{heading: heading, width: width, align: alignLeft}, cell: cell}
}

func numberColumn[T any](heading string, width int, cell func(*T) cell) column[T] {
	return column[T]{layout: columnLayout{heading: heading, width: width, align: alignRight}, cell: cell}
}

// A row is one line of a table.
type row struct {
	name  string // identifies the row when it is opened
	cells []cell
}

// A table is the contents of a view. Columns on the right are left out on a narrow screen.
type table struct {
	columns []columnLayout
	rows    []row
}

// newTable returns a table with a row for each item.
func newTable[T any](items []T, name func(*T) string, columns []column[T]) *table {
	t := &table{}
	for _, c := range columns {
		t.columns = append(t.columns, c.layout)
	}
	for i := range items {
		r := row{name: name(&items[i])}
		for _, c := range columns {
			r.cells = append(r.cells, c.cell(&items[i]))
		}
		t.rows = append(t.rows, r)
	}
	return t
}

// rowCount returns the number of rows; a nil table has none.
func (t *table) rowCount() int {
	if t == nil {
		return 0
	}
	return len(t.rows)
}

// filter removes the rows that do not contain a text, regardless of case.
func (t *table) filter(text string) {
	if text == "" {
		return
	}
	text = strings.ToLower(text)
	matches := func(c cell) bool { return strings.Contains(strings.ToLower(c.text), text) }
	t.rows = slices.DeleteFunc(t.rows, func(r row) bool { return !slices.ContainsFunc(r.cells, matches) })
}

// A sortOrder is the column by which the rows of a table are sorted, and the direction.
type sortOrder struct {
	column     int // unsorted: the natural order
	isReversed bool
}

// sort sorts the rows: numbers from the highest, texts alphabetically, unless the order is reversed.
func (t *table) sort(order sortOrder) {
	if order.column < 0 || order.column >= len(t.columns) {
		if order.isReversed {
			slices.Reverse(t.rows)
		}
		return
	}
	slices.SortStableFunc(t.rows, func(a, b row) int {
		result := compareCells(a.cells[order.column], b.cells[order.column])
		if order.isReversed {
			return -result
		}
		return result
	})
}

func compareCells(a, b cell) int {
	if math.IsNaN(a.key) || math.IsNaN(b.key) {
		return strings.Compare(a.text, b.text)
	}
	return cmp.Compare(b.key, a.key)
}

// widths returns the widths of the columns that fit, one at least. The first text column that does not fit gets the
// rest of the line if that is wide enough.
func (t *table) widths(available int) []int {
	var all []int
	for i, c := range t.columns {
		switch {
		case i == 0:
			all = append(all, min(c.width, max(available, 1)))
		case c.width <= available:
			all = append(all, c.width)
		case c.align == alignLeft && available >= minPartialWidth:
			return append(all, available)
		default:
			return all
		}
		available -= c.width + 1
	}
	return all
}

// A cellStyle decorates the text of a cell.
type cellStyle func(text string, isFault bool) string

func plainCell(text string, _ bool) string { return text }

// line returns one row without styles.
func (t *table) line(cells []cell, width int) string { return t.styledLine(cells, width, plainCell) }

// styledLine returns one row with a style for each cell.
func (t *table) styledLine(cells []cell, width int, style cellStyle) string {
	var parts []string
	for i, w := range t.widths(width) {
		parts = append(parts, style(fit(cells[i].text, w, t.columns[i].align), cells[i].isFault))
	}
	return strings.Join(parts, " ")
}

// headingLine returns the headings. The sort column is marked with the direction.
func (t *table) headingLine(width int, order sortOrder) string {
	cells := make([]cell, len(t.columns))
	for i, c := range t.columns {
		cells[i].text = c.heading
		if i == order.column {
			cells[i].text += order.mark()
		}
	}
	return t.line(cells, width)
}

func (o sortOrder) mark() string {
	if o.isReversed {
		return "^"
	}
	return "v"
}
