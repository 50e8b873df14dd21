package record

import "sync/atomic"

// A writerState is the state shared by the event loop and the writer, except for the queue.
type writerState struct {
	failCause     atomic.Uint32 // a GapCause; NoGap while the disk works
	written       atomic.Uint64 // records that are durable
	wakeRequested atomic.Bool   // a value was sent to wake, and the writer has not committed since
	wake          chan struct{} // capacity 1
	closing       chan struct{} // closed by Log.Close
	done          chan struct{} // closed by the writer when it ends
	closeErr      error         // result of the last commit, valid once done is closed
}

func newWriterState() *writerState {
	return &writerState{
		wake:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// wakeWriter makes the writer commit before the next sync interval. It does not block.
func (s *writerState) wakeWriter() {
	if !s.wakeRequested.CompareAndSwap(false, true) {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default: // an earlier signal has not been received yet
	}
}

// failureCause returns why the disk is failing, or NoGap if it works.
func (s *writerState) failureCause() GapCause { return GapCause(s.failCause.Load()) }

// setFailureCause sets the cause of failure and returns the previous one.
func (s *writerState) setFailureCause(cause GapCause) GapCause {
	return GapCause(s.failCause.Swap(uint32(cause)))
}
