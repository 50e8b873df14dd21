package numbering

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"olivedale/internal/goldentest"
)

func goldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

func goldenTable(t *testing.T, name string) *Table {
	t.Helper()
	table, _, err := CompileFile(goldenPath(name), testDeployment)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func indentedJSON(t *testing.T, value any) []byte {
	t.Helper()
	b, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(b, '\n')
}

// The digests, decisions and explanations of two tables, and the changes between them, equal the golden files.
func TestGoldenDecisions(t *testing.T) {
	night := Time(time.Date(2026, 12, 1, 3, 0, 0, 0, time.UTC).UnixNano())
	routing, ok := ParseDigits("56225550101")
	if !ok {
		t.Fatal("no digits")
	}
	var b bytes.Buffer
	for _, name := range []string{"rules.toml", "next.toml"} {
		table := goldenTable(t, name)
		fmt.Fprintf(&b, "%s: version %s, digest %s, %d prefixes, %d bytes\n", name, table.Version, table.Digest(), table.PrefixCount(), table.MemoryBytes())
		for _, q := range []Query{
			{Number: "9", At: now, Seed: Seed("c-1")},
			{Number: "9", At: night, Seed: Seed("c-1")},
			{Number: "133", At: now, Class: "alarm"},
			{Number: "+56 600 123", At: now},
			{Number: "+56 9 0123 4567", At: now, Class: "alarm"},
			{Number: "+56 9 1234 5678", At: now},
			{Number: "+56 9 1234 5678", At: now, Ported: PortingResult{State: NotPorted}},
			{Number: "+56 9 1234 5678", At: now, Ported: PortingResult{State: Ported, Routing: routing}},
			{Number: "+56 9 1234 5678", At: now, Ported: PortingResult{State: PortingUnknown}},
			{Number: "0056 2 2555 0150", At: now},
			{Number: "+49 30 123456", At: now, Seed: Seed("0123456789abcdef")},
			{Number: "abc", At: now},
		} {
			d, steps := table.Explain(&q)
			fmt.Fprintf(&b, "\n%q class=%q at=%d seed=%016x\n%s\n", q.Number, q.Class, q.At, q.Seed, describeDecision(d))
			for _, s := range steps {
				fmt.Fprintln(&b, " ", s)
			}
		}
		b.WriteByte('\n')
	}
	goldentest.CompareFile(t, goldenPath("decisions.txt"), b.Bytes())
	changes, isTruncated := Diff(goldenTable(t, "rules.toml"), goldenTable(t, "next.toml"))
	if isTruncated {
		t.Error("the list of changes is truncated")
	}
	goldentest.CompareFile(t, goldenPath("changes.json"), indentedJSON(t, changes))
}

// The encoded activation state and the list of versions equal the golden files, and the stored state can be decoded.
func TestGoldenActivationState(t *testing.T) {
	var m VersionManager
	var digests []string
	for _, table := range []*Table{goldenTable(t, "rules.toml"), goldenTable(t, "next.toml"), compileText(t, testRules)} {
		digests = append(digests, table.Digest())
		if err := m.Load(now, table); err != nil {
			t.Fatal(err)
		}
	}
	for _, step := range []error{
		m.Activate(now+1, digests[0], "", 0),
		m.Activate(now+2, digests[1], digests[0], 0),
		m.Activate(now+3, digests[2], digests[1], now+Time(time.Hour)),
	} {
		if step != nil {
			t.Fatal(step)
		}
	}
	goldentest.CompareFile(t, goldenPath("versions.json"), indentedJSON(t, m.List()))
	goldentest.CompareFile(t, goldenPath("activation_state.json"), m.ActivationState().Encode())
	text, err := os.ReadFile(goldenPath("activation_state.json"))
	if err != nil {
		t.Fatal(err)
	}
	if s, err := DecodeActivationState(text); err != nil || s != m.ActivationState() {
		t.Errorf("decoded %+v, %v; want %+v", s, err, m.ActivationState())
	}
}
