package adminapi

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"olivedale/internal/codec/h248"
)

// listen returns a listener on a free loopback port, which is closed when the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

func TestSendReturnsReplyOrErrorDescriptor(t *testing.T) {
	ln := listen(t)
	handle := func(c *h248.Command) ([]*h248.Node, *h248.Error) {
		if c.Termination != rootTermination {
			return nil, &h248.Error{Code: h248.UnknownTermination, Text: c.Termination}
		}
		return []*h248.Node{TableNode("d0", "v1")}, nil
	}
	go func() { _ = Serve(ln, "<test>", handle) }()
	reply, err := Send(t.Context(), ln.Addr().String(), AuditCommand(rootTermination))
	if err != nil || h248.Value(reply.Descriptors, tableNode, "oc/digest") != "d0" {
		t.Errorf("reply %+v, %v", reply, err)
	}
	_, err = Send(t.Context(), ln.Addr().String(), AuditCommand("other"))
	var descriptor *h248.Error
	if !errors.As(err, &descriptor) || descriptor.Code != h248.UnknownTermination || descriptor.Text != "other" {
		t.Errorf("error %v", err)
	}
}

func TestSendEndsWhenContextIsCanceled(t *testing.T) {
	ln := listen(t) // the kernel accepts connections, but nothing replies
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	start := time.Now()
	reply, err := Send(ctx, ln.Addr().String(), AuditCommand(rootTermination))
	if err == nil {
		t.Errorf("reply %+v from a server that does not reply", reply)
	}
	if elapsed := time.Since(start); elapsed >= RequestTimeout {
		t.Errorf("the request ended after %v, not when its context was canceled", elapsed)
	}
}
