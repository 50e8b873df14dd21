package discovery

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"golang.org/x/net/dns/dnsmessage"

	"olivedale/internal/config"
)

// Keys of the key=value strings in a host's TXT record. Other keys are ignored.
const (
	txtKind    = "kind"    // config.Endpoint.Kind
	txtPool    = "cell"    // config.Endpoint.Pool
	txtStarted = "started" // config.Endpoint.Started, Unix milliseconds
)

// records collects the resource records of an answer.
type records struct {
	hasSerial  bool
	serial     uint32 // from the SOA record
	srvRecords []*dnsmessage.SRVResource
	hosts      map[string]host // by the target of the SRV records, in lower case
}

// A host holds the data of the A and TXT records of one name.
type host struct {
	address netip.Addr
	kind    string
	pool    int
	started int64 // Unix milliseconds, 0 if not given
}

// add adds the data of a resource record. Record types that are not used are ignored.
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

// setAttribute parses one string of the host's TXT record.
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
		return fmt.Errorf("TXT attribute %q: %w", text, err)
	}
	return nil
}

// endpoints returns an endpoint for each SRV record, by ID.
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

// endpoint combines an SRV record with the data of its target host. The target has the form ID.zone.domain; a
// priority other than 0 means that the endpoint is terminating.
func (r *records) endpoint(srv *dnsmessage.SRVResource) (config.Endpoint, error) {
	target := srv.Target.String()
	h := r.hosts[strings.ToLower(target)]
	if !h.address.IsValid() {
		return config.Endpoint{}, fmt.Errorf("host %s has no address", target)
	}
	labels := strings.SplitN(target, ".", 3)
	if len(labels) < 3 {
		return config.Endpoint{}, fmt.Errorf("target %q does not have the form ID.zone.domain", target)
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
