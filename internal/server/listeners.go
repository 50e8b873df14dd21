package server

import (
	"fmt"
	"net"
	"os"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/config"
)

// A listenerKind is whose connections a listener takes.
type listenerKind int

const (
	jsonListener    listenerKind = iota // callers of the platform's protocol
	gatewayListener                     // media gateways
	adminListener                       // the agent
)

// A listener is an address that the server listens on.
type listener struct {
	kind       listenerKind
	configured string
}

// listeners are the addresses that the server listens on, the callers' first.
type listeners struct {
	all     []listener
	byBound map[string]listenerKind // by the address that was bound, where the port may be chosen by the system
	first   string                  // the address that the callers' listener has bound
}

func newListeners(callers string, h *config.H248) listeners {
	l := listeners{
		all:     []listener{{jsonListener, callers}},
		byBound: make(map[string]listenerKind),
	}
	if h != nil {
		l.all = append(l.all, listener{gatewayListener, h.Listen})
		if h.Admin != "" {
			l.all = append(l.all, listener{adminListener, h.Admin})
		}
	}
	return l
}

// urls returns the addresses as gnet takes them.
func (l *listeners) urls() []string {
	urls := make([]string, 0, len(l.all))
	for _, each := range l.all {
		urls = append(urls, "tcp://"+each.configured)
	}
	return urls
}

// bind finds the addresses that the listeners have bound, by which their connections are known.
func (l *listeners) bind(engine gnet.Engine) error {
	for _, each := range l.all {
		bound, err := boundAddress(engine, each.configured)
		if err != nil {
			return err
		}
		l.byBound[bound] = each.kind
		l.byBound[each.configured] = each.kind // as gnet names it where the port is chosen by the system
		if l.first == "" {
			l.first = bound
		}
	}
	return nil
}

// boundAddress returns the address that a listener has bound.
func boundAddress(engine gnet.Engine, configured string) (string, error) {
	fd, err := engine.DupListener("tcp", configured)
	if err != nil {
		return "", fmt.Errorf("listener %s: %w", configured, err)
	}
	file := os.NewFile(uintptr(fd), configured)
	defer func() { _ = file.Close() }()
	ln, err := net.FileListener(file)
	if err != nil {
		return "", fmt.Errorf("listener %s: %w", configured, err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}
