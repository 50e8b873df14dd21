// Command analyzers runs the analyzers that go vet lacks: it is a program for go vet's flag -vettool.
package main

import (
	"fmt"
	"os"

	"github.com/nishanths/exhaustive/passes/exhaustive"
	"github.com/polyfloyd/go-errorlint/errorlint"
	"golang.org/x/tools/go/analysis/unitchecker"
)

func main() {
	// A switch without a default clause lists every value; one with a default clause handles the rest there.
	if err := exhaustive.Analyzer.Flags.Set("d", "true"); err != nil {
		fmt.Fprintln(os.Stderr, "analyzers:", err)
		os.Exit(1)
	}
	unitchecker.Main(errorlint.NewAnalyzer(), exhaustive.Analyzer)
}
