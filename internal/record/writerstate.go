package record

import "sync/atomic"

// A writerState is what the event loop and the writer share beside the queue.
type writerState struct {
	failCause     atomic.Uint32 // a GapCause; NoGap while the disk works
	written       atomic.Uint64 // records that are durable
	wakeRequested atomic.Bool   // wake was signaled and the writer has not committed since
	wake          chan struct{} // of capacity 1
	closing       chan struct{} // closed by Log.Close
	done          chan struct{} // closed by the writer at its end
	closeErr      error         // result of the last commit, valid once done is closed
}

func newWriterState() *writerState {
	return &writerState{
		wake:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// wakeWriter makes the writer commit before its next sync interval. It does not wait.
func (s *writerState) wakeWriter() {
	if !s.wakeRequested.CompareAndSwap(false, true) {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default: // an earlier signal has not been received yet
	}
}

// failureCause returns why the disk fails at present, NoGap if it works.
func (s *writerState) failureCause() GapCause { return GapCause(s.failCause.Load()) }

// setFailureCause sets the cause and returns the previous one.
func (s *writerState) setFailureCause(cause GapCause) GapCause {
	return GapCause(s.failCause.Swap(uint32(cause)))
}
