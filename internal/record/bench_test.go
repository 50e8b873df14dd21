package record

import (
	"testing"
	"time"
)

// benchmarkOptions returns options with limits so large that retention does not affect the measurement.
func benchmarkOptions(dir string) Options {
	o := testOptions(dir)
	o.SegmentBytes = 64 << 20
	o.TotalBytes = 1 << 30
	return o
}

func BenchmarkPut(b *testing.B) {
	o := benchmarkOptions(b.TempDir())
	o.QueueBytes = 64 << 20
	o.SyncInterval = time.Hour
	l, _ := openLog(b, o)
	r := sampleRecord(1)
	b.ReportAllocs()
	for b.Loop() {
		l.Put(r)
	}
	b.ReportMetric(float64(l.Lost())/float64(b.N), "lost/op")
	_ = l.Close(time.Minute)
}

// BenchmarkWriter measures how many records per second become durable.
func BenchmarkWriter(b *testing.B) {
	o := benchmarkOptions(b.TempDir())
	o.QueueBytes = 4 << 20
	o.SyncInterval = 10 * time.Millisecond
	l, _ := openLog(b, o)
	r := sampleRecord(1)
	for b.Loop() {
		for l.queue.usedBytes() > l.queue.size()*3/4 {
			time.Sleep(20 * time.Microsecond)
		}
		l.Put(r)
	}
	if err := l.Close(time.Minute); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(l.Written())/b.Elapsed().Seconds(), "records/s")
}

func BenchmarkReader(b *testing.B) {
	store := writeStore(b, 5000)
	n := 0
	for b.Loop() {
		r, err := OpenDir(store.dir)
		if err != nil {
			b.Fatal(err)
		}
		var rec Record
		for r.Next(&rec) == nil {
			n++
		}
		_ = r.Close()
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "records/s")
}
