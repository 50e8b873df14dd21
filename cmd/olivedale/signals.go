package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"olivedale/internal/server"
)

// maxWaitingRequests is how many requests may wait while a reload runs; further signals are dropped.
const maxWaitingRequests = 8

// A reload that fails is repeated, because the file may still be being written. After about two seconds the file
// counts as invalid and the configuration stays as it is.
const (
	maxReloadAttempts   = 10
	reloadRetryInterval = 200 * time.Millisecond
)

// processSignals are the signals that the process handles. Those that shut it down have a channel of their own: a
// signal whose channel is full is dropped, and a shutdown must not wait for a reload while the time until SIGKILL
// runs.
type processSignals struct {
	requests  chan os.Signal // SIGHUP and SIGUSR1
	shutdowns chan os.Signal // SIGTERM and SIGINT
}

// subscribe starts the delivery of signals. They wait in the channels until the node has started.
func subscribe() processSignals {
	s := processSignals{
		requests:  make(chan os.Signal, maxWaitingRequests),
		shutdowns: make(chan os.Signal, 1),
	}
	signal.Notify(s.requests, syscall.SIGHUP, syscall.SIGUSR1)
	signal.Notify(s.shutdowns, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// shutDown stops the node at each signal to shut down.
func (s processSignals) shutDown(node *server.Server) {
	<-node.Started()
	for range s.shutdowns {
		node.Stop()
	}
}

// handleRequests handles SIGUSR1 and SIGHUP one after the other.
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

// reloadConfig reads the platform's configuration again. It logs the first failure and keeps the old configuration
// if all attempts fail.
func reloadConfig(node *server.Server, log *zap.SugaredLogger) {
	for attempt := range maxReloadAttempts {
		cfg, err := loadConfig()
		if err == nil {
			node.Reload(cfg)
			return
		}
		if attempt == 0 {
			log.Warnw("reload_failed", "err", err)
		}
		time.Sleep(reloadRetryInterval)
	}
}
