// Command oliveagent keeps the olivedale processes of a machine as etcd wants them.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	clientv3 "go.etcd.io/etcd/client/v3"

	"olivedale/internal/adminapi"
	"olivedale/internal/agent"
	"olivedale/internal/cli"
	"olivedale/internal/logging"
)

// flags are what the command line says.
type flags struct {
	etcd                         []string
	prefix, program, dir, listen string
	log                          logging.Options
}

func main() {
	var f flags
	root := &cobra.Command{
		Use:     "oliveagent",
		Short:   "Keep the instances of this machine as etcd wants them",
		Example: "  oliveagent --etcd 127.0.0.1:2379 --dir /var/lib/olivedale --program bin/olivedale",
		RunE:    func(*cobra.Command, []string) error { return run(f) },
	}
	set := root.Flags()
	set.StringSliceVar(&f.etcd, "etcd", []string{"127.0.0.1:2379"}, "addresses of etcd")
	set.StringVar(&f.prefix, "prefix", "/olivedale/instances/", "keys below it are wanted instances")
	set.StringVar(&f.program, "program", "bin/olivedale", "the program to run")
	set.StringVar(&f.dir, "dir", "", "folder for the files of the instances (needed)")
	set.StringVar(&f.listen, "listen", "127.0.0.1:2950", "where olivectl connects")
	set.StringVar(&f.log.Form, "log-form", logging.Text, "form of log lines: text or json")
	set.StringVar(&f.log.Level, "log-level", "info", "least level of log lines: debug, info, warn, error")
	root.AddCommand(cli.VersionCommand())
	os.Exit(cli.Run(root))
}

func run(f flags) error {
	if f.dir == "" {
		return cli.Usage("--dir is missing: name a folder for the files of the instances")
	}
	if err := f.log.Check(); err != nil {
		return cli.Usage("--log-%w", err)
	}
	zl := logging.New(os.Stderr, f.log)
	log := zl.Sugar()
	// A relative path would be taken from the instance's folder.
	program, err := filepath.Abs(f.program)
	if err != nil {
		return fmt.Errorf("--program: %w", err)
	}
	client, err := clientv3.New(clientv3.Config{Endpoints: f.etcd, DialTimeout: 5 * time.Second, Logger: zl.Named("etcd"),
		DialKeepAliveTime: 5 * time.Second, DialKeepAliveTimeout: 3 * time.Second})
	if err != nil {
		return fmt.Errorf("etcd: %w", err)
	}
	defer func() { _ = client.Close() }()
	ln, err := net.Listen("tcp", f.listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	a := agent.New(program, f.dir, zl)
	go func() {
		if err := adminapi.Serve(ln, "<agent>", a.Handle); err != nil {
			log.Errorw("control_failed", "err", err)
			stop()
		}
	}()
	log.Infow("started", "listen", ln.Addr().String(), "prefix", f.prefix)
	_ = agent.Watch(ctx, client, f.prefix, a, log) // it ends with ctx only
	log.Infow("stopping")
	a.Close()
	return ln.Close()
}
