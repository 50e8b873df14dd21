package report

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	"olivedale/internal/goldentest"
)

// The reports of the committed stores are byte for byte those in the golden files.
func TestGoldenReports(t *testing.T) {
	for name, dir := range map[string]string{
		"incident":  filepath.Join("testdata", "incident"),
		"all-kinds": filepath.Join("..", "record", "testdata", "golden", "store"),
	} {
		t.Run(name, func(t *testing.T) {
			r := read(t, Options{}, dir)
			var page, asJSON bytes.Buffer
			if err := r.WriteJSON(&asJSON); err != nil {
				t.Fatal(err)
			}
			if err := r.WriteHTML(&page, time.Unix(1_800_000_000, 0).UTC()); err != nil {
				t.Fatal(err)
			}
			goldentest.CompareFile(t, filepath.Join("testdata", "golden", name+".json"), asJSON.Bytes())
			goldentest.CompareFile(t, filepath.Join("testdata", "golden", name+".html"), page.Bytes())
		})
	}
}
