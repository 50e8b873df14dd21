package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"olivedale/internal/server"
)

// maxQueuedRequests is the number of requests that are queued while a reload runs; further signals are dropped.
const maxQueuedRequests = 8

// A failed reload is retried, because the file may be incomplete while it is being written. After about two seconds
// the file is considered invalid and the old configuration stays in force.
const (
	maxReloadAttempts   = 10
	reloadRetryInterval = 200 * time.Millisecond
)

// processSignals are the signals that the process handles. Shutdown signals have a channel of their own: a signal
// is dropped if its channel is full, and a shutdown must not wait for a reload, since SIGKILL follows after a fixed
// time.
type processSignals struct {
	requests  chan os.Signal // SIGHUP and SIGUSR1
	shutdowns chan os.Signal // SIGTERM and SIGINT
}

// subscribe registers for the signals. They are queued in the channels until the node has started.
func subscribe() processSignals {
	s := processSignals{
		requests:  make(chan os.Signal, maxQueuedRequests),
		shutdowns: make(chan os.Signal, 1),
	}
	signal.Notify(s.requests, syscall.SIGHUP, syscall.SIGUSR1)
	signal.Notify(s.shutdowns, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// shutDown stops the node on each shutdown signal, once it has started.
func (s processSignals) shutDown(node *server.Server) {
	<-node.Started()
	for range s.shutdowns {
		node.Stop()
	}
}

// handleRequests handles SIGUSR1 and SIGHUP sequentially, once the node has started.
func (s processSignals) handleRequests(node *server.Server, log *zap.SugaredLogger) {
	<-node.Started()
	for request := range s.requests {
		if request == syscall.SIGUSR1 {
			node.LogCountersAsync()
			continue
		}
		reloadConfig(node, log)
		node.ReloadNumbering()
		node.ReloadKeys()
	}
}

// reloadConfig reads the platform's configuration again. It logs only the first failure, and keeps the old
// configuration if all attempts fail.
func reloadConfig(node *server.Server, log *zap.SugaredLogger) {
	for attempt := range maxReloadAttempts {
		cfg, err := loadConfig()
		if err == nil {
			err = node.Reload(cfg)
		}
		if err == nil {
			return
		}
		if attempt == 0 {
			log.Warnw("reload_failed", "err", err)
		}
		time.Sleep(reloadRetryInterval)
	}
}
