package report

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/html"

	"olivedale/internal/record"
)

func read(t testing.TB, o Options, dirs ...string) *Result {
	t.Helper()
	stores, err := record.Find(dirs...)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Read(context.Background(), stores, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// jsonTotals returns the totals in the JSON form of a report, in the form that countRecords returns.
func jsonTotals(t *testing.T, r *Result) map[string]map[string]uint64 {
	t.Helper()
	var b bytes.Buffer
	if err := r.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	type counts struct {
		Name                                         string
		Offered, Tries, Retried, Cut, Released, Lost uint64
		Outcomes                                     map[string]uint64
	}
	var in struct {
		Lost                        uint64
		Total                       counts
		Classes, Servers, Instances []counts
	}
	if err := json.Unmarshal(b.Bytes(), &in); err != nil {
		t.Fatal(err)
	}
	all := make(map[string]map[string]uint64)
	put := func(name string, c counts) {
		m := c.Outcomes
		for k, n := range map[string]uint64{"offered": c.Offered, "tries": c.Tries, "retried": c.Retried, "cut": c.Cut, "released": c.Released, "lost": c.Lost} {
			if n > 0 {
				m[k] = n
			}
		}
		all[name] = m
	}
	in.Total.Lost = in.Lost
	put("total", in.Total)
	for _, c := range in.Classes {
		put("class "+c.Name, c)
	}
	for _, c := range in.Servers {
		put("server "+c.Name, c)
	}
	for _, c := range in.Instances {
		put("instance "+c.Name, c)
	}
	return all
}

// countRecords counts the records that `olivectl records cat --json` prints, independently of the analysis.
func countRecords(t *testing.T, dir string) map[string]map[string]uint64 {
	t.Helper()
	stores, err := record.Find(dir)
	if err != nil {
		t.Fatal(err)
	}
	m, err := record.OpenStores(stores)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = m.Close() }()
	all := map[string]map[string]uint64{"total": {}}
	var r record.Record
	var h record.Header
	var line []byte
	for m.Next(&r, &h) == nil {
		if line, err = r.AppendJSON(line[:0], &h); err != nil {
			t.Fatal(err)
		}
		var o struct {
			Instance, Kind, Class, Code, Server, End string
			Attempt                                  int
			Seq, From                                uint64
		}
		if err := json.Unmarshal(line, &o); err != nil {
			t.Fatal(err)
		}
		add := func(what string, n uint64, names ...string) {
			for _, name := range append(names, "total", "instance "+o.Instance) {
				if all[name] == nil {
					all[name] = make(map[string]uint64)
				}
				all[name][what] += n
			}
		}
		switch o.Kind {
		case "setup":
			add("offered", 1, "class "+o.Class)
		case "answer":
			names := []string{"class " + o.Class}
			if o.Code == "stood" {
				names = append(names, "server "+o.Server)
			}
			add(o.Code, 1, names...)
		case "try":
			add("tries", 1, "server "+o.Server)
			if o.Attempt > 0 {
				add("retried", 1, "server "+o.Server)
			}
		case "release":
			add("released", 1, "class "+o.Class, "server "+o.Server)
			if o.End == "cut" || o.End == "exchange_lost" {
				add("cut", 1, "class "+o.Class, "server "+o.Server)
			}
		case "gap":
			add("lost", o.Seq-o.From+1)
		}
	}
	return all
}

// The totals of the committed incident equal an independent count of its records and the totals that were stored when it
// was recorded. It has four instances: one with a segment removed, one whose clock is 3.7 s ahead, one whose clock was
// set back by 2 s, and one that was killed.
func TestRecordedIncident(t *testing.T) {
	dir := filepath.Join("testdata", "incident")
	text, err := os.ReadFile(filepath.Join(dir, "expected.json"))
	if err != nil {
		t.Fatal(err)
	}
	var want map[string]map[string]uint64
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	r := read(t, Options{}, dir)
	got, counted := jsonTotals(t, r), countRecords(t, dir)
	for name, counts := range want {
		for what, n := range counts {
			if got[name][what] != n || counted[name][what] != n {
				t.Errorf("%s %s: %d in the report, %d records, want %d", name, what, got[name][what], counted[name][what], n)
			}
		}
	}
	for name, counts := range got { // records of attempts have no class, so countRecords cannot count them by class
		if strings.HasPrefix(name, "class ") {
			delete(counts, "tries")
			delete(counts, "retried")
		}
		if !reflect.DeepEqual(counts, counted[name]) {
			t.Errorf("%s: %v in the report, %v counted in the records", name, counts, counted[name])
		}
	}
	var page bytes.Buffer
	if err := r.WriteHTML(&page, time.Unix(0, 0)); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"87 records, 78 to 164: missing", "clock set", "none: still running or killed", "3.7s ahead", "≥", "<svg"} {
		if !strings.Contains(page.String(), part) {
			t.Errorf("the page does not contain %q", part)
		}
	}
	// Copies of the stores do not change the totals.
	copies := t.TempDir()
	if err := os.CopyFS(copies, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	both := read(t, Options{}, dir, copies)
	withCopies := jsonTotals(t, both)
	for name := range withCopies {
		if strings.HasPrefix(name, "class ") {
			delete(withCopies[name], "tries")
			delete(withCopies[name], "retried")
		}
	}
	if !reflect.DeepEqual(withCopies, got) || both.Copies != 4 {
		t.Errorf("with copies: %v, %d copies", withCopies["total"], both.Copies)
	}
	if err := os.RemoveAll(filepath.Join(copies, "n0")); err != nil {
		t.Fatal(err)
	}
}

// writeStore writes a store with the records that put passes on.
func writeStore(t testing.TB, dir, name string, put func(put func(record.Record))) {
	t.Helper()
	l, _, err := record.Open(record.Options{Dir: dir, Name: name, QueueBytes: 4 << 20, SyncInterval: 10 * time.Millisecond, SegmentBytes: 64 << 20, TotalBytes: 4 << 30, StartTime: testStart})
	if err != nil {
		t.Fatal(err)
	}
	put(func(r record.Record) {
		for l.Records()-l.Written() > 20000 {
			time.Sleep(100 * time.Microsecond)
		}
		l.Put(&r)
	})
	if err := l.Close(time.Minute); err != nil || l.Lost() > 0 {
		t.Fatal(err, l.Lost())
	}
}

// testStart is when the records of these tests begin.
const testStart = record.Time(1_790_000_000) * time.Second

// Texts of records are escaped in the page: none of them adds an element, an attribute, a script or a control character.
func TestPageEscapesTextsOfRecords(t *testing.T) {
	dir := t.TempDir()
	malicious := []string{`</td><script>alert(1)</script>`, `"><svg onload=alert(1)>`, `<img src=x onerror=alert(1)>`, "\x1b[2J\u202e{{.}}", "</svg><style>*{display:none}</style>",
		`javascript:alert(1)`, "\xff\xfe<b>"}
	writeStore(t, filepath.Join(dir, "x"), malicious[0], func(put func(record.Record)) {
		put(record.Record{Kind: record.KindConfig, At: testStart, By: "class", Class: malicious[1], Wait: time.Millisecond, Took: time.Second})
		for i, s := range malicious {
			at := testStart + record.Time(i)*time.Second
			put(record.Record{Kind: record.KindCallOffered, At: at, Call: s, Class: s, Number: s})
			put(record.Record{Kind: record.KindDecision, At: at, Call: s, Code: uint8(record.DecisionReject), Text: s})
			put(record.Record{Kind: record.KindAttemptStarted, At: at, Call: s, Server: s})
			put(record.Record{Kind: record.KindAttemptEnded, At: at, Call: s, Server: s, End: s})
			put(record.Record{Kind: record.KindAnswer, At: at, Call: s, Class: s, Code: uint8(record.OutcomeEstablished), Server: s, Took: time.Second})
			put(record.Record{Kind: record.KindCallOffered, At: at, Call: s + "2", Class: s})
			put(record.Record{Kind: record.KindRateLimit, At: at, Server: s, Value: 1})
			put(record.Record{Kind: record.KindServer, At: at, Server: s, Code: uint8(record.ServerDraining)})
			put(record.Record{Kind: record.KindLimitReached, At: at, By: s, Count: 1})
			put(record.Record{Kind: record.KindClock, At: at, By: s, T: [4]int64{int64(at), int64(at), int64(at), int64(at)}})
		}
	})
	r := read(t, Options{}, dir)
	var page bytes.Buffer
	if err := r.WriteHTML(&page, time.Unix(0, 0)); err != nil {
		t.Fatal(err)
	}
	if page.Len() < 10000 {
		t.Error("the page is empty")
	}
	allowed := strings.Fields("html head meta title style body h1 h2 h3 p div b span a table tbody tr th td svg g path text rect details summary ul li code")
	z := html.NewTokenizer(bytes.NewReader(page.Bytes()))
	styles := 0
	for {
		kind := z.Next()
		if kind == html.ErrorToken {
			if !errors.Is(z.Err(), io.EOF) {
				t.Fatal(z.Err())
			}
			break
		}
		token := z.Token()
		if kind != html.StartTagToken && kind != html.SelfClosingTagToken {
			if strings.ContainsAny(token.Data, "\x1b") {
				t.Errorf("a control character in %q", token.Data)
			}
			continue
		}
		if token.Data == "style" {
			styles++
		}
		if !slices.Contains(allowed, token.Data) {
			t.Errorf("element %q", token.Data)
		}
		for _, a := range token.Attr {
			if strings.HasPrefix(a.Key, "on") || a.Key == "src" || a.Key == "href" && !strings.HasPrefix(a.Val, "#") {
				t.Errorf("attribute %s=%q", a.Key, a.Val)
			}
		}
	}
	if styles != 1 {
		t.Errorf("%d style elements", styles)
	}
}

func TestNoRecords(t *testing.T) {
	r := read(t, Options{}, t.TempDir())
	var page, obj bytes.Buffer
	if err := r.WriteHTML(&page, time.Unix(0, 0)); err != nil || !strings.Contains(page.String(), "There are no records") {
		t.Error(err)
	}
	if err := r.WriteJSON(&obj); err != nil || !json.Valid(obj.Bytes()) {
		t.Error(err)
	}
}

// Bounds in time leave out calls, but not the records on the state of servers.
func TestBounds(t *testing.T) {
	dir := t.TempDir()
	writeStore(t, dir, "n0", func(put func(record.Record)) {
		put(record.Record{Kind: record.KindServer, At: testStart, Server: "s", Code: uint8(record.ServerDraining)})
		for i := range 10 {
			put(record.Record{Kind: record.KindCallOffered, At: testStart + record.Time(i)*time.Second, Call: fmt.Sprint(i), Class: "voice"})
		}
		put(record.Record{Kind: record.KindEnd, At: testStart + 10*time.Second})
	})
	r := read(t, Options{From: testStart + 2*time.Second, To: testStart + 4*time.Second}, dir)
	if r.Total.Offered != 3 || len(r.Findings) < 1 {
		t.Errorf("%+v, %+v", r.Total.Counts, r.Findings)
	}
}

// BenchmarkReport reads generated stores: BENCH_RECORDS (default 100,000) over 8 instances.
func BenchmarkReport(b *testing.B) {
	total := 100_000
	if s := os.Getenv("BENCH_RECORDS"); s != "" {
		if _, err := fmt.Sscan(s, &total); err != nil {
			b.Fatal(err)
		}
	}
	dir := b.TempDir()
	for i := range 8 {
		writeStore(b, filepath.Join(dir, fmt.Sprint("n", i)), fmt.Sprint("n", i), func(put func(record.Record)) {
			for n := range total / 8 / 6 {
				at, id, s := testStart+record.Time(n)*time.Millisecond, fmt.Sprintf("%08x%08x", i, n), fmt.Sprint("s-", n%20)
				put(record.Record{Kind: record.KindCallOffered, At: at, Call: id, Class: "voice", Number: "100", Wait: 3 * time.Second})
				put(record.Record{Kind: record.KindDecision, At: at, Call: id, Code: uint8(record.DecisionSend), Server: s, Wait: time.Second})
				put(record.Record{Kind: record.KindAttemptStarted, At: at, Call: id, Server: s, Wait: time.Second})
				put(record.Record{Kind: record.KindAnswer, At: at + 20*time.Millisecond, Call: id, Class: "voice", Code: uint8(record.OutcomeEstablished), Server: s, Took: 20 * time.Millisecond, Attempt: 1})
				put(record.Record{Kind: record.KindRelease, At: at + 30*time.Millisecond, Call: id, Class: "voice", Server: s, End: "completed", Cause: 16, Took: time.Minute})
				put(record.Record{Kind: record.KindAttemptEnded, At: at + 30*time.Millisecond, Call: id, Server: s, End: "completed", Took: time.Minute})
			}
			put(record.Record{Kind: record.KindEnd, At: testStart + 24*time.Hour})
		})
	}
	runtime.GC()
	var m runtime.MemStats
	peak := uint64(0)
	b.ResetTimer()
	n := uint64(0)
	for b.Loop() {
		r := read(b, Options{Progress: func(int, uint64) {
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse)
		}}, dir)
		n += r.Records
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "records/s")
	b.ReportMetric(float64(peak)/(1<<20), "heap-MiB")
}
