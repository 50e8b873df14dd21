package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Interruptible returns a copy of the command's context that is canceled by SIGINT or SIGTERM. The caller must call the
// returned function, which restores the default handling of the signals.
func Interruptible(c *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
}
