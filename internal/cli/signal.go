package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// SignalContext returns a copy of the command's context that is canceled by SIGINT or SIGTERM. The caller must call the
// returned function, which restores the default handling of the signals.
func SignalContext(c *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
}
