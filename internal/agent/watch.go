// Package agent keeps the instances running that etcd says are wanted: it watches a
// prefix, starts, supervises and drains olivedale processes, and answers olivectl.
package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/etcd/api/v3/mvccpb"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"
)

// Times of the watch after a failure, doubling.
const (
	firstPause = 100 * time.Millisecond
	lastPause  = 5 * time.Second
)

// DesiredState takes what etcd says: a value by name, nil for one no longer wanted.
type DesiredState interface {
	Replace(all map[string][]byte)
	Change(name string, value []byte)
}

// Watch lists the prefix, then follows its changes; after a compaction or a broken
// watch it lists anew. It returns when ctx is done.
func Watch(ctx context.Context, client *clientv3.Client, prefix string, w DesiredState, log *zap.SugaredLogger) error {
	pause := firstPause
	for ctx.Err() == nil {
		began := time.Now()
		err := follow(ctx, client, prefix, w)
		if ctx.Err() != nil {
			break
		}
		log.Warnw("watch_broken", "prefix", prefix, "err", err)
		if time.Since(began) > lastPause {
			pause = firstPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, lastPause)
	}
	return ctx.Err()
}

func follow(ctx context.Context, client *clientv3.Client, prefix string, w DesiredState) error {
	// A watch that is left must end at the server too.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asking, done := context.WithTimeout(ctx, lastPause)
	list, err := client.Get(asking, prefix, clientv3.WithPrefix())
	done()
	if err != nil {
		return fmt.Errorf("listing %s: %w", prefix, err)
	}
	all := make(map[string][]byte, len(list.Kvs))
	for _, kv := range list.Kvs {
		all[string(kv.Key[len(prefix):])] = kv.Value
	}
	w.Replace(all)
	events := client.Watch(clientv3.WithRequireLeader(ctx), prefix, clientv3.WithPrefix(), clientv3.WithRev(list.Header.Revision+1))
	for r := range events {
		if err := r.Err(); err != nil { // a compaction among them: what was missed is in a new list
			return fmt.Errorf("watching %s: %w", prefix, err)
		}
		for _, e := range r.Events {
			name := string(e.Kv.Key[len(prefix):])
			if e.Type == mvccpb.DELETE {
				w.Change(name, nil)
			} else {
				w.Change(name, e.Kv.Value)
			}
		}
	}
	return errors.New("the watch ended")
}
