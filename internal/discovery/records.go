package discovery

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"golang.org/x/net/dns/dnsmessage"

	"olivedale/internal/config"
)

// Keys of the strings in a host's TXT record, which have the form key=value; other keys are ignored.
const (
	txtKind    = "kind"    // config.Endpoint.Kind
	txtPool    = "cell"    // config.Endpoint.Pool
	txtStarted = "started" // config.Endpoint.Started, Unix milliseconds
)

// records collects the resource records of an answer.
type records struct {
	hasSerial  bool
	serial     uint32 // of the SOA record
	srvRecords []*dnsmessage.SRVResource
	hosts      map[string]host // by the lower-case name of the SRV records' target
}

// A host is what the A and TXT records of one name say.
type host struct {
	address netip.Addr
	kind    string
	pool    int
	started int64 // Unix milliseconds, or 0
}

// add takes one record. Types that discovery does not use are ignored.
func (r *records) add(resource dnsmessage.Resource) error {
	name := strings.ToLower(resource.Header.Name.String())
	switch body := resource.Body.(type) {
	case *dnsmessage.SOAResource:
		r.hasSerial = true
		r.serial = body.Serial
	case *dnsmessage.SRVResource:
		if equalNames(resource.Header.Name, srvName) {
			r.srvRecords = append(r.srvRecords, body)
		}
	case *dnsmessage.AResource:
		h := r.hosts[name]
		h.address = netip.AddrFrom4(body.A)
		r.hosts[name] = h
	case *dnsmessage.TXTResource:
		h := r.hosts[name]
		for _, text := range body.TXT {
			if err := h.setAttribute(text); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
		r.hosts[name] = h
	}
	return nil
}

// setAttribute takes one string of the host's TXT record.
func (h *host) setAttribute(text string) (err error) {
	key, value, _ := strings.Cut(text, "=")
	switch key {
	case txtKind:
		h.kind = value
	case txtPool:
		h.pool, err = strconv.Atoi(value)
	case txtStarted:
		h.started, err = strconv.ParseInt(value, 10, 64)
	}
	if err != nil {
		return fmt.Errorf("%q: %w", text, err)
	}
	return nil
}

// endpoints joins the SRV records with the hosts that they name.
func (r *records) endpoints() (map[string]config.Endpoint, error) {
	all := make(map[string]config.Endpoint, len(r.srvRecords))
	for _, srv := range r.srvRecords {
		endpoint, err := r.endpoint(srv)
		if err != nil {
			return nil, err
		}
		all[endpoint.ID] = endpoint
	}
	return all, nil
}

// endpoint reads one SRV record. Its target is ID.zone.domain; a priority other than 0 means that the endpoint
// terminates.
func (r *records) endpoint(srv *dnsmessage.SRVResource) (config.Endpoint, error) {
	target := srv.Target.String()
	h := r.hosts[strings.ToLower(target)]
	if !h.address.IsValid() {
		return config.Endpoint{}, fmt.Errorf("%s has no address", target)
	}
	labels := strings.SplitN(target, ".", 3)
	if len(labels) < 3 {
		return config.Endpoint{}, fmt.Errorf("target %q is not ID.zone.domain", target)
	}
	phase := config.PhaseReady
	if srv.Priority != 0 {
		phase = config.PhaseTerminating
	}
	return config.Endpoint{
		ID:      labels[0],
		Address: netip.AddrPortFrom(h.address, srv.Port).String(),
		Zone:    labels[1],
		Kind:    h.kind,
		Pool:    h.pool,
		Phase:   phase,
		Started: h.started,
	}, nil
}
