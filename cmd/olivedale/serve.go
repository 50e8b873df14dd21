package main

import (
	"os"
	"runtime/debug"

	"go.uber.org/zap"

	"olivedale/internal/cli"
	"olivedale/internal/config"
	"olivedale/internal/logging"
	"olivedale/internal/server"
)

// serve runs the controller until a signal shuts it down. Errors after the logger is created are logged.
func serve() error {
	signals := subscribe() // before all else, so that a signal during the start does not kill the process
	operator, usesH248Path, err := config.LoadOperator("")
	if err != nil {
		return err
	}
	logger := logging.New(os.Stderr, operator.Log.Options())
	log := logger.Sugar()
	if usesH248Path {
		log.Warnw("deprecated", "file", config.H248Path, "instead", "section [h248] of "+config.OperatorPath)
	}
	node, err := newNode(operator, logger)
	if err != nil {
		return logFailure(log, err)
	}
	go signals.shutDown(node)
	go signals.handleRequests(node, log)
	err = node.Run()
	node.LogCounters()
	return logFailure(log, err)
}

// newNode reads the platform's configuration, applies its memory limit to the process and builds the node.
func newNode(operator *config.OperatorConfig, logger *zap.Logger) (*server.Server, error) {
	cfg, err := loadConfig()
	if err != nil {
		return nil, err
	}
	limitMemory(cfg.MemoryMB)
	return server.New(cfg, server.Options{
		H248:      operator.H248,
		Records:   operator.Records,
		Numbering: operator.Numbering,
		Overload:  operator.Overload,
		Log:       logger,
		Program:   cli.Version(),
	})
}

func loadConfig() (*config.Config, error) { return config.Load(os.Getenv(config.PathVariable)) }

// minReservedMemoryMB is the minimum memory in MB that the Go runtime must leave to what it does not count: the pages
// of the program itself, of the C library and of the threads.
const minReservedMemoryMB = 11

// limitMemory keeps the Go runtime within the platform's limit. It reserves a quarter of the memory, and at least
// minReservedMemoryMB, for what the runtime does not count.
func limitMemory(memoryMB int) {
	reservedMB := max(memoryMB/4, minReservedMemoryMB)
	debug.SetMemoryLimit(int64(max(memoryMB-reservedMB, memoryMB/4)) << 20)
}

// logFailure logs the error that ends the program and returns cli.ErrReported. It returns nil if err is nil.
func logFailure(log *zap.SugaredLogger, err error) error {
	if err == nil {
		return nil
	}
	log.Errorw("failed", "err", err)
	return cli.ErrReported
}
