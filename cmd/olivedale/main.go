// Command olivedale is the call controller: it takes call set-ups from callers
// and passes them to exchanges as the decision module says. The platform tells
// it all it needs by the file that RELAY_CONFIG names; the operator's own file is
// deploy/olivedale.toml.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"olivedale/internal/cli"
	"olivedale/internal/config"
	"olivedale/internal/logging"
	"olivedale/internal/server"
)

func main() {
	root := &cobra.Command{
		Use:   "olivedale",
		Short: "Serve as a call controller",
		Long: "olivedale serves as the call controller that RELAY_CONFIG and " + config.OperatorPath + " describe.\n" +
			"SIGTERM stops it in good order, SIGHUP has it read RELAY_CONFIG and the table of numbers again, SIGUSR1 writes the counters.",
		Example: "  RELAY_CONFIG=/etc/olivedale/config.json olivedale",
		RunE:    func(*cobra.Command, []string) error { return serve() },
	}
	root.AddCommand(checkCommand(), cli.VersionCommand())
	os.Exit(cli.Run(root))
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check [FILE]",
		Short:   "Read the operator's file and start nothing",
		Long:    "check reads the operator's file, " + config.OperatorPath + " if none is named, and tells by line and key what is wrong with it.",
		Example: "  olivedale check deploy/olivedale.toml",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path, found := config.OperatorPath, "good"
			if len(args) == 1 {
				path = args[0]
				if err := config.CheckOperator(path); err != nil {
					return err
				}
			} else if _, old, err := config.LoadOperator(""); err != nil {
				return err
			} else if _, err := os.Stat(path); err != nil {
				if found = "not there, all it could switch on is off"; old {
					found = "not there, " + config.H248Path + " is used; move it to section [h248]"
				}
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), filepath.Clean(path)+": "+found)
			return err
		},
	}
}

func serve() error {
	// Asked for before anything else, so that none ends the program while it starts. Those that end it have a
	// channel of their own: a signal that finds its channel full is dropped, and one must not wait behind
	// the reading of a file while the time until SIGKILL runs.
	signals, ends := make(chan os.Signal, 8), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	o, old, err := config.LoadOperator("")
	if err != nil {
		return err
	}
	zl := logging.New(os.Stderr, o.Log.Options())
	log := zl.Sugar()
	if old {
		log.Warnw("deprecated", "file", config.H248Path, "instead", "section [h248] of "+config.OperatorPath)
	}
	cfg, err := config.Load(os.Getenv("RELAY_CONFIG"))
	if err != nil {
		return failed(log, err)
	}
	runtime.GOMAXPROCS(1) // the platform gives one core, which others share
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
	n, err := server.New(cfg, server.Options{H248: o.H248, Records: o.Records, Numbers: o.Numbering, Share: o.Overload, Log: zl, Program: cli.Version()})
	if err != nil {
		return failed(log, err)
	}
	go func() {
		<-n.Started()
		for range ends {
			n.Stop()
		}
	}()
	go func() {
		<-n.Started()
		for s := range signals {
			if s == syscall.SIGUSR1 {
				n.ReportSoon()
				continue
			}
			reload(n, log)
			n.ReloadNumbers()
			n.ReloadKeys()
		}
	}()
	err = n.Run()
	n.Report()
	return failed(log, err)
}

// failed logs the error that ends the program, if there is one.
func failed(log *zap.SugaredLogger, err error) error {
	if err != nil {
		log.Errorw("failed", "err", err)
		return cli.ErrReported
	}
	return nil
}

// reload reads the configuration again. One that is bad changes nothing; it is read some times more, against a
// file that is still being written: the name service's new address would never be heard of.
func reload(n *server.Server, log *zap.SugaredLogger) {
	for i := range rereads {
		cfg, err := config.Load(os.Getenv("RELAY_CONFIG"))
		if err == nil {
			n.Reload(cfg)
			return
		}
		if i == 0 {
			log.Warnw("reload_failed", "err", err)
		}
		time.Sleep(reread)
	}
}

const (
	rereads = 10
	reread  = 200 * time.Millisecond
)
