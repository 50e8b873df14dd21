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
	// Room for several: a signal that finds the channel full is dropped, and a SIGTERM
	// just behind a SIGUSR1 must not be.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	go func() {
		for s := range signals {
			if s == syscall.SIGUSR1 {
				n.ReportSoon()
			} else {
				n.Stop()
			}
		}
	}()
	err = n.Run()
	n.Report()
	return err
}
