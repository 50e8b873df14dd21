package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"olivedale/internal/config"
)

// Results of check.
const (
	fileValid      = "good"
	fileAbsent     = "not found, optional features are off"
	fileDeprecated = "not found, using the deprecated " + config.H248Path + "; move it to section [h248]"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check [FILE]",
		Short: "Validate the operator's configuration file",
		Long: "check validates FILE, by default " + config.OperatorPath +
			", and reports the line and key of the first error. It does not start the controller.",
		Example: "  olivedale check deploy/olivedale.toml",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path, result, err := check(args)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", filepath.Clean(path), result)
			return err
		},
	}
}

// check validates the file that args name, or the operator's file at its default path.
func check(args []string) (path, result string, err error) {
	if len(args) == 1 {
		path = args[0]
		return path, fileValid, config.CheckOperator(path)
	}
	path = config.OperatorPath
	_, usesH248Path, err := config.LoadOperator("")
	if err != nil {
		return path, "", err
	}
	if _, err := os.Stat(path); err == nil {
		return path, fileValid, nil
	}
	if usesH248Path {
		return path, fileDeprecated, nil
	}
	return path, fileAbsent, nil
}
