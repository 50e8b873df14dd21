// Command oliveagent keeps the olivedale processes of a machine as etcd wants them.
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"

	"lapiscourse/internal/agent"
	"lapiscourse/internal/control"
)

func main() {
	etcd := flag.String("etcd", "127.0.0.1:2379", "addresses of etcd, with commas")
	prefix := flag.String("prefix", "/olivedale/instances/", "keys below it are wanted instances")
	program := flag.String("program", "bin/olivedale", "the program to run")
	dir := flag.String("dir", "", "folder for the files of the instances")
	listen := flag.String("listen", "127.0.0.1:2950", "where olivectl connects")
	flag.Parse()
	log.SetFlags(log.LUTC | log.Ltime | log.Lmicroseconds)
	if err := run(*etcd, *prefix, *program, *dir, *listen); err != nil {
		log.Printf("event=failed err=%q", err)
		os.Exit(1)
	}
}

func run(etcd, prefix, program, dir, listen string) error {
	if dir == "" {
		return fmt.Errorf("-dir is missing")
	}
	// A relative path would be taken from the instance's folder.
	program, err := filepath.Abs(program)
	if err != nil {
		return fmt.Errorf("-program: %w", err)
	}
	client, err := clientv3.New(clientv3.Config{Endpoints: strings.Split(etcd, ","), DialTimeout: 5 * time.Second,
		DialKeepAliveTime: 5 * time.Second, DialKeepAliveTimeout: 3 * time.Second})
	if err != nil {
		return fmt.Errorf("etcd: %w", err)
	}
	defer func() { _ = client.Close() }()
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	a := agent.New(program, dir)
	go func() {
		if err := control.Serve(ln, "<agent>", a.Handle); err != nil {
			log.Printf("event=control_failed err=%q", err)
			stop()
		}
	}()
	log.Printf("event=started listen=%s prefix=%s", ln.Addr(), prefix)
	_ = agent.Watch(ctx, client, prefix, a) // it ends with ctx only
	log.Printf("event=stopping")
	a.Close()
	return ln.Close()
}
