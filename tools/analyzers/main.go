// Command analyzers provides analyzers that go vet does not include. It is run by go vet -vettool.
package main

import (
	"fmt"
	"os"

	"github.com/nishanths/exhaustive/passes/exhaustive"
	"github.com/polyfloyd/go-errorlint/errorlint"
	"golang.org/x/tools/go/analysis/unitchecker"
)

func main() {
	// Accept a default clause in place of the missing values: only switches without one must list every value.
	if err := exhaustive.Analyzer.Flags.Set("d", "true"); err != nil {
		fmt.Fprintln(os.Stderr, "analyzers:", err)
		os.Exit(1)
	}
	unitchecker.Main(errorlint.NewAnalyzer(), exhaustive.Analyzer)
}
