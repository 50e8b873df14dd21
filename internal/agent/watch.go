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

// Delays and timeouts of the watch.
const (
	minWatchDelay   = 100 * time.Millisecond // before a failed watch is restarted
	maxWatchDelay   = 5 * time.Second
	stableWatchTime = 5 * time.Second // a watch that lasted longer is restarted after minWatchDelay
	listTimeout     = 5 * time.Second
)

var errWatchEnded = errors.New("the watch ended")

// A DesiredState receives the specifications of instances that are stored in etcd.
type DesiredState interface {
	// ReplaceAll replaces all specifications. The keys of values are the names of the instances.
	ReplaceAll(values map[string][]byte)
	// Apply sets the specification of one instance, or removes it if value is nil.
	Apply(name string, value []byte)
}

// Watch lists the keys with the given prefix and then follows their changes. After a compaction or a failure it lists
// them again. It returns when ctx is done.
func Watch(
	ctx context.Context, client *clientv3.Client, prefix string, desired DesiredState, log *zap.SugaredLogger,
) error {
	delay := newBackoff(minWatchDelay, maxWatchDelay)
	for ctx.Err() == nil {
		start := time.Now()
		err := listAndFollow(ctx, client, prefix, desired)
		if ctx.Err() != nil {
			break
		}
		log.Warnw("watch_broken", "prefix", prefix, "err", err)
		if time.Since(start) > stableWatchTime {
			delay.reset()
		}
		delay.wait(ctx)
		delay.increase()
	}
	return ctx.Err()
}

// listAndFollow passes the values of the keys with the given prefix, and then their changes, to desired until the watch
// fails.
func listAndFollow(ctx context.Context, client *clientv3.Client, prefix string, desired DesiredState) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // also ends the watch on the server
	values, revision, err := list(ctx, client, prefix)
	if err != nil {
		return fmt.Errorf("listing %s: %w", prefix, err)
	}
	desired.ReplaceAll(values)
	responses := client.Watch(clientv3.WithRequireLeader(ctx), prefix, clientv3.WithPrefix(),
		clientv3.WithRev(revision+1))
	for response := range responses {
		if err := response.Err(); err != nil { // after a compaction, the missed changes are part of the next list
			return fmt.Errorf("watching %s: %w", prefix, err)
		}
		for _, event := range response.Events {
			applyEvent(desired, prefix, event)
		}
	}
	return errWatchEnded
}

// list returns the values of the keys with the given prefix, keyed by the remainder of the key, and the revision of the
// list.
func list(ctx context.Context, client *clientv3.Client, prefix string) (map[string][]byte, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	response, err := client.Get(ctx, prefix, clientv3.WithPrefix())
	if err != nil {
		return nil, 0, err
	}
	values := make(map[string][]byte, len(response.Kvs))
	for _, kv := range response.Kvs {
		values[string(kv.Key[len(prefix):])] = kv.Value
	}
	return values, response.Header.Revision, nil
}

func applyEvent(desired DesiredState, prefix string, event *clientv3.Event) {
	name := string(event.Kv.Key[len(prefix):])
	if event.Type == mvccpb.DELETE {
		desired.Apply(name, nil)
		return
	}
	desired.Apply(name, event.Kv.Value)
}
