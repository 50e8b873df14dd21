// Command oliveagent runs the olivedale instances that etcd lists for a machine.
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
	"go.uber.org/zap"

	"olivedale/internal/adminapi"
	"olivedale/internal/agent"
	"olivedale/internal/cli"
	"olivedale/internal/logging"
)

// messageID identifies the agent as the sender of messages of the admin protocol.
const messageID = "<agent>"

// Timeouts and intervals of the connection to etcd.
const (
	etcdDialTimeout       = 5 * time.Second
	etcdKeepaliveInterval = 5 * time.Second
	etcdKeepaliveTimeout  = 3 * time.Second
)

// options are the values of the command-line flags.
type options struct {
	etcdAddrs  []string
	prefix     string
	program    string
	dir        string
	listenAddr string
	log        logging.Options
}

func main() {
	os.Exit(cli.Run(newCommand()))
}

func newCommand() *cobra.Command {
	var o options
	root := &cobra.Command{
		Use:     "oliveagent",
		Short:   "Run the instances of this machine that etcd lists",
		Example: "  oliveagent --etcd 127.0.0.1:2379 --dir /var/lib/olivedale --program bin/olivedale",
		RunE:    func(*cobra.Command, []string) error { return run(o) },
	}
	set := root.Flags()
	set.StringSliceVar(&o.etcdAddrs, "etcd", []string{"127.0.0.1:2379"}, "addresses of the etcd cluster")
	set.StringVar(&o.prefix, "prefix", "/olivedale/instances/", "prefix of the etcd keys that specify instances")
	set.StringVar(&o.program, "program", "bin/olivedale", "the controller program to run")
	set.StringVar(&o.dir, "dir", "", "directory for the files of the instances (required)")
	set.StringVar(&o.listenAddr, "listen", "127.0.0.1:2950", "address for connections from olivectl")
	set.StringVar(&o.log.Form, "log-form", logging.Text, "format of log lines: text or json")
	set.StringVar(&o.log.Level, "log-level", "info", "minimum level of log lines: debug, info, warn, error")
	root.AddCommand(cli.VersionCommand())
	return root
}

// run validates the options, connects to etcd and runs the instances until a signal stops it.
func run(o options) error {
	if o.dir == "" {
		return cli.UsageErrorf("--dir is required: name a directory for the files of the instances")
	}
	if err := o.log.Check(); err != nil {
		return cli.UsageErrorf("--log-%w", err)
	}
	logger := logging.New(os.Stderr, o.log)
	// An instance has its own working directory, to which a relative path would refer.
	program, err := filepath.Abs(o.program)
	if err != nil {
		return fmt.Errorf("--program: %w", err)
	}
	client, err := connectEtcd(o.etcdAddrs, logger)
	if err != nil {
		return fmt.Errorf("etcd: %w", err)
	}
	defer func() { _ = client.Close() }()
	ln, err := net.Listen("tcp", o.listenAddr)
	if err != nil {
		return err
	}
	return serveUntilStopped(agent.New(program, o.dir, logger), client, o.prefix, ln, logger.Sugar())
}

// serveUntilStopped runs the agent and its admin server until SIGTERM, SIGINT or a failure of the server. It then
// drains the instances.
func serveUntilStopped(
	a *agent.Agent, client *clientv3.Client, prefix string, ln net.Listener, log *zap.SugaredLogger,
) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := adminapi.Serve(ln, messageID, a.Handle); err != nil {
			log.Errorw("control_failed", "err", err)
			stop()
		}
	}()
	log.Infow("started", "listen", ln.Addr().String(), "prefix", prefix)
	_ = agent.Watch(ctx, client, prefix, a, log) // returns only when ctx is done
	log.Infow("stopping")
	a.Close()
	err := ln.Close()
	<-served
	return err
}

func connectEtcd(addrs []string, logger *zap.Logger) (*clientv3.Client, error) {
	return clientv3.New(clientv3.Config{
		Endpoints:            addrs,
		DialTimeout:          etcdDialTimeout,
		DialKeepAliveTime:    etcdKeepaliveInterval,
		DialKeepAliveTimeout: etcdKeepaliveTimeout,
		Logger:               logger.Named("etcd"),
	})
}
