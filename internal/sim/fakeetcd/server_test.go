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

// startServer starts a server and a client, and ends both with the test.
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

// must returns a function that returns a response and fails the test on an error.
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

// pairs returns the keys and values of a response as text.
func pairs(r *clientv3.GetResponse) string {
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
		t.Errorf("before it was %q", old.Value)
	}
	if got := pairs(get(c.Get(ctx, "a/", clientv3.WithPrefix()))); got != "a/1=z a/2=y" {
		t.Errorf("the prefix holds %s", got)
	}
	if got := pairs(get(c.Get(ctx, "a/", clientv3.WithPrefix(), clientv3.WithRev(first)))); got != "a/1=x" {
		t.Errorf("at revision %d it held %s", first, got)
	}
	if got := pairs(get(c.Get(ctx, "a/", clientv3.WithPrefix(), clientv3.WithSort(clientv3.SortByModRevision, clientv3.SortDescend), clientv3.WithLimit(1)))); got != "a/1=z" {
		t.Errorf("the latest is %s", got)
	}
	create := func(key, value string) *clientv3.TxnResponse {
		return txn(c.Txn(ctx).If(clientv3.Compare(clientv3.CreateRevision(key), "=", 0)).Then(clientv3.OpPut(key, value)).Else(clientv3.OpGet(key)).Commit())
	}
	won, lost := create("lock", "one"), create("lock", "two")
	if !won.Succeeded || lost.Succeeded || string(lost.Responses[0].GetResponseRange().Kvs[0].Value) != "one" {
		t.Errorf("two that create one key: %v, %v", won, lost)
	}
	before := get(c.Get(ctx, "lock")).Header.Revision
	both := txn(c.Txn(ctx).If(clientv3.Compare(clientv3.Value("lock"), "=", "one"), clientv3.Compare(clientv3.Version("a/1"), ">", 1)).
		Then(clientv3.OpPut("b", "1"), clientv3.OpDelete("a/", clientv3.WithPrefix()), clientv3.OpTxn(nil, []clientv3.Op{clientv3.OpPut("c", "1")}, nil)).Commit())
	kvs := get(c.Get(ctx, "", clientv3.WithFromKey())).Kvs
	if !both.Succeeded || both.Header.Revision != before+1 || len(kvs) != 3 {
		t.Errorf("a transaction of three: %v, then %v", both, kvs)
	}
	for _, kv := range kvs {
		if string(kv.Key) != "lock" && kv.ModRevision != before+1 {
			t.Errorf("%s has revision %d, all of a transaction have one", kv.Key, kv.ModRevision)
		}
	}
	if _, err := c.Txn(ctx).Then(clientv3.OpPut("d", "1"), clientv3.OpPut("d", "2")).Commit(); !errors.Is(err, rpctypes.ErrDuplicateKey) {
		t.Errorf("a key put twice in a transaction: %v", err)
	}
	if n := len(get(c.Get(ctx, "d")).Kvs); n != 0 {
		t.Error("a transaction that was refused has done something")
	}
	if _, err := c.Compact(ctx, before); err != nil {
		t.Error(err)
	}
	if _, err := c.Get(ctx, "a/1", clientv3.WithRev(first)); !errors.Is(err, rpctypes.ErrCompacted) {
		t.Errorf("reading what is compacted: %v", err)
	}
	if _, err := c.Get(ctx, "a/1", clientv3.WithRev(before+100)); !errors.Is(err, rpctypes.ErrFutureRev) {
		t.Errorf("reading what is to come: %v", err)
	}
}

func TestLeasesExpireByTheServersClock(t *testing.T) {
	s, c := startServer(t)
	ctx := t.Context()
	grant, put := must[*clientv3.LeaseGrantResponse](t), must[*clientv3.PutResponse](t)
	l := grant(c.Grant(ctx, 10))
	put(c.Put(ctx, "n0", "up", clientv3.WithLease(l.ID)))
	put(c.Put(ctx, "n1", "up", clientv3.WithLease(l.ID)))
	put(c.Put(ctx, "n1", "stays")) // attached to no lease any more
	stored := func() string { return pairs(must[*clientv3.GetResponse](t)(c.Get(ctx, "n", clientv3.WithPrefix()))) }
	s.AdvanceClock(9 * time.Second)
	if _, err := c.KeepAliveOnce(ctx, l.ID); err != nil {
		t.Fatal(err)
	}
	s.AdvanceClock(9 * time.Second)
	if got := stored(); got != "n0=up n1=stays" {
		t.Errorf("kept alive it holds %s", got)
	}
	s.AdvanceClock(2 * time.Second)
	if got := stored(); got != "n1=stays" {
		t.Errorf("once it has ended it holds %s", got)
	}
	if _, err := c.Put(ctx, "n0", "up", clientv3.WithLease(l.ID)); !errors.Is(err, rpctypes.ErrLeaseNotFound) {
		t.Errorf("a key of a lease that has ended: %v", err)
	}
	// A lease expires while keep-alive requests have no effect.
	l = grant(c.Grant(ctx, 10))
	s.IgnoreKeepAlives(true)
	asking, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	if _, err := c.KeepAliveOnce(asking, l.ID); err == nil {
		t.Error("a lease was kept alive though requests are ignored")
	}
	s.AdvanceClock(11 * time.Second)
	s.IgnoreKeepAlives(false)
	if left := must[*clientv3.LeaseTimeToLiveResponse](t)(c.TimeToLive(ctx, l.ID)).TTL; left != -1 {
		t.Errorf("it has %d s left", left)
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
		t.Fatal("the watch delivers nothing")
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
		t.Errorf("%+v is no progress notification", r)
	}
	big := strings.Repeat("x", fragmentBytes)
	var ops []clientv3.Op
	for i := range 4 { // one revision in several fragments, which the client assembles
		ops = append(ops, clientv3.OpPut(fmt.Sprint("a", i), big))
	}
	done := must[*clientv3.TxnResponse](t)(c.Txn(ctx).Then(append(ops, clientv3.OpPut("b", "1"))...).Commit())
	if r := nextResponse(t, one); len(r.Events) != 4 || r.Events[0].PrevKv != nil || r.Events[3].Kv.ModRevision != done.Header.Revision {
		t.Errorf("of four puts came %d events", len(r.Events))
	}
	s.Set("a0", nil)
	if r := nextResponse(t, one); len(r.Events) != 1 || r.Events[0].Type != clientv3.EventTypeDelete || string(r.Events[0].PrevKv.Value) != big {
		t.Errorf("of a delete came %+v", r.Events)
	}
	s.Set("b", nil)
	r := nextResponse(t, two)
	for r.IsProgressNotify() {
		r = nextResponse(t, two)
	}
	if len(r.Events) != 1 || r.Events[0].Type != clientv3.EventTypeDelete {
		t.Errorf("puts were not wanted, %+v came", r.Events)
	}

	// A stalled watch delivers neither events nor an error, and all events afterwards.
	s.StallWatches(true)
	s.Set("a1", []byte("1"))
	s.Set("a1", []byte("2"))
	select {
	case r := <-one:
		t.Errorf("while stalled came %+v", r)
	case <-time.After(100 * time.Millisecond):
	}
	s.StallWatches(false)
	if r := nextResponse(t, one); len(r.Events) != 2 || string(r.Events[1].Kv.Value) != "2" {
		t.Errorf("after a stall came %+v", r.Events)
	}

	// A watch from a compacted revision gets an error.
	s.CompactAll()
	old := nextResponse(t, c.Watch(ctx, "a", clientv3.WithRev(2)))
	if !errors.Is(old.Err(), rpctypes.ErrCompacted) || old.CompactRevision != s.Revision()+1 {
		t.Errorf("from a compacted revision: %v at %d, now is %d", old.Err(), old.CompactRevision, s.Revision())
	}

	// Without a leader a watch that asked for one ends.
	requiring := c.Watch(clientv3.WithRequireLeader(ctx), "a")
	nextResponse(t, c.Watch(ctx, "none", clientv3.WithProgressNotify())) // both watches exist
	s.SetNoLeader(true)
	if r := nextResponse(t, requiring); !errors.Is(r.Err(), rpctypes.ErrNoLeader) {
		t.Errorf("without a leader: %v", r.Err())
	}
	s.SetNoLeader(false)
}

func TestWritesWithLostResponsesTakeEffect(t *testing.T) {
	s, c := startServer(t)
	ctx := t.Context()
	s.LoseResponses(1)
	if _, err := c.Txn(ctx).If(clientv3.Compare(clientv3.CreateRevision("k"), "=", 0)).Then(clientv3.OpPut("k", "1")).Commit(); err == nil {
		t.Error("the response was to be lost")
	}
	if got := pairs(must[*clientv3.GetResponse](t)(c.Get(ctx, "k"))); got != "k=1" {
		t.Errorf("the transaction did not take effect: %q", got)
	}
	s.Set("k", []byte("2"))
	s.SetStaleReads(1)
	if got := pairs(must[*clientv3.GetResponse](t)(c.Get(ctx, "k", clientv3.WithSerializable()))); got != "k=1" {
		t.Errorf("a member that lags by one revision says %q", got)
	}
	if got := pairs(must[*clientv3.GetResponse](t)(c.Get(ctx, "k"))); got != "k=2" {
		t.Errorf("a linearizable read says %q", got)
	}
	was := s.Revision()
	cluster := must[*clientv3.GetResponse](t)(c.Get(ctx, "k")).Header.ClusterId
	if err := s.Restore(was-1, true); err != nil {
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
	if pairs(r) != "k=1" || r.Header.Revision != was-1 || r.Header.ClusterId == cluster {
		t.Errorf("after a restore: %s at %d of cluster %d", pairs(r), r.Header.Revision, r.Header.ClusterId)
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
		by := make(map[string][]porcupine.Operation)
		for _, o := range history {
			by[o.Input.(op).key] = append(by[o.Input.(op).key], o)
		}
		var all [][]porcupine.Operation
		for _, h := range by {
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

// recordHistory has clients put, read and swap concurrently, and returns what they saw.
func recordHistory(t *testing.T, c *clientv3.Client, get func(ctx context.Context, key string) (string, error)) (all []porcupine.Operation) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for client := range 6 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(client)))
			for i := range 60 {
				o := op{kind: []string{"put", "get", "swap"}[rng.IntN(3)], key: fmt.Sprint("k", rng.IntN(3)), from: fmt.Sprint(rng.IntN(4)), to: fmt.Sprint(rng.IntN(4))}
				call := time.Since(began).Nanoseconds()
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
				all = append(all, porcupine.Operation{ClientId: client, Input: o, Output: out, Call: call, Return: time.Since(began).Nanoseconds()})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return all
}

// TestResponsesAreLinearizable checks that without faults each key behaves as a linearizable register, and that the
// check detects a member that lags.
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
		t.Errorf("%d operations are not linearizable", len(all))
	}
	for _, key := range []string{"k0", "k1", "k2"} {
		s.Set(key, nil)
	}
	s.SetStaleReads(5)
	if porcupine.CheckOperations(register, recordHistory(t, c, read(clientv3.WithSerializable()))) {
		t.Error("reads that are five revisions behind pass for linearizable")
	}
}
