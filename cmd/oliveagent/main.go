// Command oliveagent keeps the olivedale processes of a machine as etcd lists them.
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

// messageID is the message identifier of the agent in the admin protocol.
const messageID = "<agent>"

// Times of the connection to etcd.
const (
	etcdDialTimeout       = 5 * time.Second
	etcdKeepaliveInterval = 5 * time.Second
	etcdKeepaliveTimeout  = 3 * time.Second
)

// An options value is the options of the command line.
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
		Short:   "Keep the instances of this machine as etcd wants them",
		Example: "  oliveagent --etcd 127.0.0.1:2379 --dir /var/lib/olivedale --program bin/olivedale",
		RunE:    func(*cobra.Command, []string) error { return run(o) },
	}
	set := root.Flags()
	set.StringSliceVar(&o.etcdAddrs, "etcd", []string{"127.0.0.1:2379"}, "addresses of etcd")
	set.StringVar(&o.prefix, "prefix", "/olivedale/instances/", "keys below it are wanted instances")
	set.StringVar(&o.program, "program", "bin/olivedale", "the program to run")
	set.StringVar(&o.dir, "dir", "", "folder for the files of the instances (needed)")
	set.StringVar(&o.listenAddr, "listen", "127.0.0.1:2950", "where olivectl connects")
	set.StringVar(&o.log.Form, "log-form", logging.Text, "form of log lines: text or json")
	set.StringVar(&o.log.Level, "log-level", "info", "least level of log lines: debug, info, warn, error")
	root.AddCommand(cli.VersionCommand())
	return root
}

// run checks the options, connects to etcd and keeps the instances running.
func run(o options) error {
	if o.dir == "" {
		return cli.UsageErrorf("--dir is missing: name a folder for the files of the instances")
	}
	if err := o.log.Check(); err != nil {
		return cli.UsageErrorf("--log-%w", err)
	}
	logger := logging.New(os.Stderr, o.log)
	// A relative path would refer to the working directory of the instance.
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
	return keepRunning(agent.New(program, o.dir, logger), client, o.prefix, ln, logger.Sugar())
}

// keepRunning runs the agent and its admin server until the program is signaled to stop or the server fails. It then
// drains the instances.
func keepRunning(
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
