package fakeetcd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/goleak"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer starts a server and a client that end with the test.
func startServer(t *testing.T) (*Server, *clientv3.Client) {
	t.Helper()
	s, err := Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := clientv3.New(clientv3.Config{Endpoints: []string{s.Addr()}, DialTimeout: 5 * time.Second, Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		s.Stop()
	})
	return s, c
}

// must returns a function that returns the response of a call, and fails the test if the call returned an error.
func must[R any](t *testing.T) func(r R, err error) R {
	t.Helper()
	return func(r R, err error) R {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
}

// formatPairs returns the keys and values of a response as text.
func formatPairs(r *clientv3.GetResponse) string {
	var all []string
	for _, kv := range r.Kvs {
		all = append(all, fmt.Sprintf("%s=%s", kv.Key, kv.Value))
	}
	return strings.Join(all, " ")
}

func TestKeysRevisionsAndTransactions(t *testing.T) {
	_, c := startServer(t)
	ctx := t.Context()
	put, get, txn := must[*clientv3.PutResponse](t), must[*clientv3.GetResponse](t), must[*clientv3.TxnResponse](t)
	first := put(c.Put(ctx, "a/1", "x")).Header.Revision
	put(c.Put(ctx, "a/2", "y"))
	if old := put(c.Put(ctx, "a/1", "z", clientv3.WithPrevKV())).PrevKv; string(old.Value) != "x" {
		t.Errorf("the previous value is %q, want x", old.Value)
	}
	if got := formatPairs(get(c.Get(ctx, "a/", clientv3.WithPrefix()))); got != "a/1=z a/2=y" {
		t.Errorf("the keys of the prefix are %s", got)
	}
	if got := formatPairs(get(c.Get(ctx, "a/", clientv3.WithPrefix(), clientv3.WithRev(first)))); got != "a/1=x" {
		t.Errorf("at revision %d the keys are %s", first, got)
	}
	if got := formatPairs(get(c.Get(ctx, "a/", clientv3.WithPrefix(), clientv3.WithSort(clientv3.SortByModRevision, clientv3.SortDescend), clientv3.WithLimit(1)))); got != "a/1=z" {
		t.Errorf("the latest key is %s", got)
	}
	create := func(key, value string) *clientv3.TxnResponse {
		return txn(c.Txn(ctx).If(clientv3.Compare(clientv3.CreateRevision(key), "=", 0)).Then(clientv3.OpPut(key, value)).Else(clientv3.OpGet(key)).Commit())
	}
	won, lost := create("lock", "one"), create("lock", "two")
	if !won.Succeeded || lost.Succeeded || string(lost.Responses[0].GetResponseRange().Kvs[0].Value) != "one" {
		t.Errorf("two transactions that create the same key: %v, %v", won, lost)
	}
	before := get(c.Get(ctx, "lock")).Header.Revision
	both := txn(c.Txn(ctx).If(clientv3.Compare(clientv3.Value("lock"), "=", "one"), clientv3.Compare(clientv3.Version("a/1"), ">", 1)).
		Then(clientv3.OpPut("b", "1"), clientv3.OpDelete("a/", clientv3.WithPrefix()), clientv3.OpTxn(nil, []clientv3.Op{clientv3.OpPut("c", "1")}, nil)).Commit())
	kvs := get(c.Get(ctx, "", clientv3.WithFromKey())).Kvs
	if !both.Succeeded || both.Header.Revision != before+1 || len(kvs) != 3 {
		t.Errorf("a transaction with three operations: %v; keys after it: %v", both, kvs)
	}
	for _, kv := range kvs {
		if string(kv.Key) != "lock" && kv.ModRevision != before+1 {
			t.Errorf("%s has revision %d, not that of its transaction", kv.Key, kv.ModRevision)
		}
	}
	if _, err := c.Txn(ctx).Then(clientv3.OpPut("d", "1"), clientv3.OpPut("d", "2")).Commit(); !errors.Is(err, rpctypes.ErrDuplicateKey) {
		t.Errorf("error for a key that is put twice in a transaction: %v", err)
	}
	if n := len(get(c.Get(ctx, "d")).Kvs); n != 0 {
		t.Error("a rejected transaction took effect")
	}
	if _, err := c.Compact(ctx, before); err != nil {
		t.Error(err)
	}
	if _, err := c.Get(ctx, "a/1", clientv3.WithRev(first)); !errors.Is(err, rpctypes.ErrCompacted) {
		t.Errorf("error for a read at a compacted revision: %v", err)
	}
	if _, err := c.Get(ctx, "a/1", clientv3.WithRev(before+100)); !errors.Is(err, rpctypes.ErrFutureRev) {
		t.Errorf("error for a read at a future revision: %v", err)
	}
}

func TestLeasesExpireByTheServersClock(t *testing.T) {
	s, c := startServer(t)
	ctx := t.Context()
	grant, put := must[*clientv3.LeaseGrantResponse](t), must[*clientv3.PutResponse](t)
	l := grant(c.Grant(ctx, 10))
	put(c.Put(ctx, "n0", "up", clientv3.WithLease(l.ID)))
	put(c.Put(ctx, "n1", "up", clientv3.WithLease(l.ID)))
	put(c.Put(ctx, "n1", "stays")) // detached from the lease
	stored := func() string {
		return formatPairs(must[*clientv3.GetResponse](t)(c.Get(ctx, "n", clientv3.WithPrefix())))
	}
	s.AdvanceClock(9 * time.Second)
	if _, err := c.KeepAliveOnce(ctx, l.ID); err != nil {
		t.Fatal(err)
	}
	s.AdvanceClock(9 * time.Second)
	if got := stored(); got != "n0=up n1=stays" {
		t.Errorf("the keys before the lease expires are %s", got)
	}
	s.AdvanceClock(2 * time.Second)
	if got := stored(); got != "n1=stays" {
		t.Errorf("the keys after the lease expired are %s", got)
	}
	if _, err := c.Put(ctx, "n0", "up", clientv3.WithLease(l.ID)); !errors.Is(err, rpctypes.ErrLeaseNotFound) {
		t.Errorf("error for a put with an expired lease: %v", err)
	}
	// A lease expires if keep-alive requests are ignored.
	l = grant(c.Grant(ctx, 10))
	s.IgnoreKeepAlives(true)
	shortCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	if _, err := c.KeepAliveOnce(shortCtx, l.ID); err == nil {
		t.Error("a keep-alive request got a response although they are ignored")
	}
	s.AdvanceClock(11 * time.Second)
	s.IgnoreKeepAlives(false)
	if left := must[*clientv3.LeaseTimeToLiveResponse](t)(c.TimeToLive(ctx, l.ID)).TTL; left != -1 {
		t.Errorf("the expired lease has a TTL of %d s", left)
	}
}

// nextResponse waits for the next response of a watch.
func nextResponse(t *testing.T, w clientv3.WatchChan) clientv3.WatchResponse {
	t.Helper()
	select {
	case r, ok := <-w:
		if !ok {
			t.Fatal("the watch ended")
		}
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("the watch delivered no response within 10 s")
	}
	return clientv3.WatchResponse{}
}

func TestWatches(t *testing.T) {
	s, c := startServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	one := c.Watch(ctx, "a", clientv3.WithPrefix(), clientv3.WithPrevKV(), clientv3.WithFragment())
	two := c.Watch(ctx, "b", clientv3.WithProgressNotify(), clientv3.WithFilterPut())
	if r := nextResponse(t, two); !r.IsProgressNotify() {
		t.Errorf("%+v is not a progress notification", r)
	}
	big := strings.Repeat("x", fragmentBytes)
	var ops []clientv3.Op
	for i := range 4 { // one revision in several fragments, which the client joins
		ops = append(ops, clientv3.OpPut(fmt.Sprint("a", i), big))
	}
	done := must[*clientv3.TxnResponse](t)(c.Txn(ctx).Then(append(ops, clientv3.OpPut("b", "1"))...).Commit())
	if r := nextResponse(t, one); len(r.Events) != 4 || r.Events[0].PrevKv != nil || r.Events[3].Kv.ModRevision != done.Header.Revision {
		t.Errorf("%d events of four puts", len(r.Events))
	}
	s.Set("a0", nil)
	if r := nextResponse(t, one); len(r.Events) != 1 || r.Events[0].Type != clientv3.EventTypeDelete || string(r.Events[0].PrevKv.Value) != big {
		t.Errorf("events of a delete: %+v", r.Events)
	}
	s.Set("b", nil)
	r := nextResponse(t, two)
	for r.IsProgressNotify() {
		r = nextResponse(t, two)
	}
	if len(r.Events) != 1 || r.Events[0].Type != clientv3.EventTypeDelete {
		t.Errorf("events of a watch that filters puts: %+v", r.Events)
	}

	// A stalled watch delivers neither events nor an error. It delivers all events when the stall ends.
	s.StallWatches(true)
	s.Set("a1", []byte("1"))
	s.Set("a1", []byte("2"))
	select {
	case r := <-one:
		t.Errorf("a stalled watch delivered %+v", r)
	case <-time.After(100 * time.Millisecond):
	}
	s.StallWatches(false)
	if r := nextResponse(t, one); len(r.Events) != 2 || string(r.Events[1].Kv.Value) != "2" {
		t.Errorf("events after the stall: %+v", r.Events)
	}

	// A watch from a compacted revision gets an error.
	s.CompactAll()
	old := nextResponse(t, c.Watch(ctx, "a", clientv3.WithRev(2)))
	if !errors.Is(old.Err(), rpctypes.ErrCompacted) || old.CompactRevision != s.Revision()+1 {
		t.Errorf("watch from a compacted revision: error %v, compact revision %d, current revision %d", old.Err(), old.CompactRevision, s.Revision())
	}

	// A watch that requires a leader ends if there is none.
	requiring := c.Watch(clientv3.WithRequireLeader(ctx), "a")
	nextResponse(t, c.Watch(ctx, "none", clientv3.WithProgressNotify())) // after its response both watches exist
	s.SetNoLeader(true)
	if r := nextResponse(t, requiring); !errors.Is(r.Err(), rpctypes.ErrNoLeader) {
		t.Errorf("error without a leader: %v", r.Err())
	}
	s.SetNoLeader(false)
}

func TestWritesWithLostResponsesTakeEffect(t *testing.T) {
	s, c := startServer(t)
	ctx := t.Context()
	s.LoseResponses(1)
	if _, err := c.Txn(ctx).If(clientv3.Compare(clientv3.CreateRevision("k"), "=", 0)).Then(clientv3.OpPut("k", "1")).Commit(); err == nil {
		t.Error("a write whose response is lost returned no error")
	}
	if got := formatPairs(must[*clientv3.GetResponse](t)(c.Get(ctx, "k"))); got != "k=1" {
		t.Errorf("the transaction did not take effect: %q", got)
	}
	s.Set("k", []byte("2"))
	s.SetStaleReads(1)
	if got := formatPairs(must[*clientv3.GetResponse](t)(c.Get(ctx, "k", clientv3.WithSerializable()))); got != "k=1" {
		t.Errorf("a serializable read one revision behind returned %q", got)
	}
	if got := formatPairs(must[*clientv3.GetResponse](t)(c.Get(ctx, "k"))); got != "k=2" {
		t.Errorf("a linearizable read returned %q", got)
	}
	revisionBefore := s.Revision()
	cluster := must[*clientv3.GetResponse](t)(c.Get(ctx, "k")).Header.ClusterId
	if err := s.Restore(revisionBefore-1, true); err != nil {
		t.Fatal(err)
	}
	s.SetStaleReads(0)
	var r *clientv3.GetResponse
	for end := time.Now().Add(10 * time.Second); r == nil; time.Sleep(10 * time.Millisecond) {
		got, err := c.Get(ctx, "k")
		if err == nil {
			r = got
		} else if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	if formatPairs(r) != "k=1" || r.Header.Revision != revisionBefore-1 || r.Header.ClusterId == cluster {
		t.Errorf("after a restore: keys %s, revision %d, cluster %d", formatPairs(r), r.Header.Revision, r.Header.ClusterId)
	}
}

// An op is an operation on a register of one key.
type op struct {
	kind     string // put, get, swap
	key      string
	from, to string
}

var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			byKey[o.Input.(op).key] = append(byKey[o.Input.(op).key], o)
		}
		var all [][]porcupine.Operation
		for _, h := range byKey {
			all = append(all, h)
		}
		return all
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(op), output.(string)
		switch in.kind {
		case "put":
			return true, in.to
		case "get":
			return out == state, state
		}
		if swapped := out == "swapped"; swapped {
			return state == in.from, in.to
		}
		return state != in.from, state
	},
}

// recordHistory runs concurrent clients that put, get and swap, and returns their operations with the results.
func recordHistory(t *testing.T, c *clientv3.Client, get func(ctx context.Context, key string) (string, error)) (all []porcupine.Operation) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for client := range 6 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(client)))
			for i := range 60 {
				o := op{kind: []string{"put", "get", "swap"}[rng.IntN(3)], key: fmt.Sprint("k", rng.IntN(3)), from: fmt.Sprint(rng.IntN(4)), to: fmt.Sprint(rng.IntN(4))}
				call := time.Since(start).Nanoseconds()
				out, err := "", error(nil)
				switch o.kind {
				case "put":
					_, err = c.Put(t.Context(), o.key, o.to)
				case "get":
					out, err = get(t.Context(), o.key)
				case "swap":
					var r *clientv3.TxnResponse
					r, err = c.Txn(t.Context()).If(clientv3.Compare(clientv3.Value(o.key), "=", o.from)).Then(clientv3.OpPut(o.key, o.to)).Commit()
					if err == nil && r.Succeeded {
						out = "swapped"
					}
				}
				if err != nil {
					t.Errorf("client %d, operation %d: %v", client, i, err)
					return
				}
				mu.Lock()
				all = append(all, porcupine.Operation{ClientId: client, Input: o, Output: out, Call: call, Return: time.Since(start).Nanoseconds()})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return all
}

// TestResponsesAreLinearizable checks that without faults each key is a linearizable register, and that the check
// detects stale reads.
func TestResponsesAreLinearizable(t *testing.T) {
	s, c := startServer(t)
	read := func(opts ...clientv3.OpOption) func(ctx context.Context, key string) (string, error) {
		return func(ctx context.Context, key string) (string, error) {
			r, err := c.Get(ctx, key, opts...)
			if err != nil || len(r.Kvs) == 0 {
				return "", err
			}
			return string(r.Kvs[0].Value), nil
		}
	}
	if all := recordHistory(t, c, read()); len(all) != 360 || !porcupine.CheckOperations(register, all) {
		t.Errorf("a history of %d operations is not linearizable", len(all))
	}
	for _, key := range []string{"k0", "k1", "k2"} {
		s.Set(key, nil)
	}
	s.SetStaleReads(5)
	if porcupine.CheckOperations(register, recordHistory(t, c, read(clientv3.WithSerializable()))) {
		t.Error("a history with reads five revisions behind is linearizable")
	}
}
