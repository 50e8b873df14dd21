// Command olivedale is the call controller: it takes call set-ups from callers
// and passes them to exchanges as the decision module says. The platform tells
// it all it needs by the file that RELAY_CONFIG names.
package main

import (
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"lapiscourse/internal/config"
	"lapiscourse/internal/net"
)

func main() {
	log.SetFlags(log.LUTC | log.Ltime | log.Lmicroseconds)
	if err := run(); err != nil {
		log.Printf("event=failed err=%q", err)
		os.Exit(1)
	}
}

func run() error {
	// Room for several: a signal that finds the channel full is dropped, and a SIGTERM
	// just behind a SIGUSR1 must not be. Asked for before anything else, so that none ends
	// the program while it starts.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	cfg, err := config.Load(os.Getenv("RELAY_CONFIG"))
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the platform gives one core, which others share
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
	h, err := config.LoadH248(config.H248Path)
	if err != nil {
		return err
	}
	n, err := net.New(cfg, h)
	if err != nil {
		return err
	}
	go func() {
		<-n.Started()
		for s := range signals {
			switch s {
			case syscall.SIGHUP:
				reload(n)
			case syscall.SIGUSR1:
				n.ReportSoon()
			default:
				n.Stop()
			}
		}
	}()
	err = n.Run()
	n.Report()
	return err
}

// reload reads the configuration again. One that is bad changes nothing.
func reload(n *net.Node) {
	cfg, err := config.Load(os.Getenv("RELAY_CONFIG"))
	if err != nil {
		log.Printf("event=reload_failed err=%q", err)
		return
	}
	n.Reload(cfg)
}
