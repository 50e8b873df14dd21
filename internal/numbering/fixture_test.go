package numbering

import (
	"fmt"
	"testing"
	"time"

	"olivedale/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// now is a Tuesday, within the hours of condition "office".
var now = Time(time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC).UnixNano())

var testDeployment = Deployment{Classes: []Class{{Name: "voice"}, {Name: "alarm", Pools: []int{0, 1, 2}}}, Now: now}

const testRules = `
version = "test"
default = "rest"
[[plan]]
name = "chile"
country = "56"
international = "00"
national = "0"
min_digits = 8
max_digits = 9
[[translate]]
match = "7"
exact = true
strip = 1
add = "0221234567"
[[emergency]]
number = "133"
route = "alarm"
[[barred]]
prefix = "56900"
[[barred]]
prefix = "569"
cause = 17
classes = ["alarm"]
[[prefix]]
prefix = "562"
route = "santiago"
[[prefix]]
prefix = "5622"
route = "centre"
[[prefix]]
prefix = "569"
route = "mobile"
ported = true
[[range]]
first = "5641000"
last = "5641249"
route = "centre"
[[route]]
name = "santiago"
[[route.target]]
pool = 1
weight = 3
[[route.target]]
pool = 2
weight = 1
[[route.target]]
pool = 3
step = 1
[[route]]
name = "centre"
[[route.target]]
pool = 2
when = "office"
[[route.target]]
pool = 4
step = 9
[[route]]
name = "mobile"
[[route.target]]
pool = 5
[[route]]
name = "alarm"
[[route.target]]
pool = 0
[[route]]
name = "rest"
[[route.target]]
pool = 6
[[when]]
name = "office"
zone = "America/Santiago"
weekdays = ["mon", "tue", "wed", "thu", "fri"]
hours = ["08:00-18:30"]
holidays = ["2026-12-25"]
`

func compileText(t testing.TB, text string) *Table {
	t.Helper()
	r, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	table, err := Compile(r, testDeployment)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// tableWithPool returns a table that routes all numbers to a pool.
func tableWithPool(t testing.TB, pool int) *Table {
	t.Helper()
	return compileText(t, fmt.Sprintf(`
version = "v%d"
default = "r"
[[route]]
name = "r"
[[route.target]]
pool = %d
`, pool, pool))
}

func describeDecision(d Decision) string {
	prefix := ""
	if d.Emergency {
		prefix = "emergency "
	}
	switch d.Verdict {
	case Rejected:
		return fmt.Sprint(prefix, "refused ", d.Cause)
	case LookUpRequired:
		return "ask"
	default:
		return fmt.Sprint(prefix, "routed ", d.Number, " ", d.Route, " ", d.Pools())
	}
}
