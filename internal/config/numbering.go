package config

import (
	"cmp"
	"net/netip"
)

// Numbering is the section [numbers], which enables routing by the called number.
type Numbering struct {
	File   string `toml:"file" json:"file"`   // routing rules; docs/operate/numbering.md describes them
	State  string `toml:"state" json:"state"` // directory for versions loaded at run time; "": a restart loses them
	Lookup Lookup `toml:"lookup" json:"lookup"`
}

// Lookup is the section [numbers.lookup], the look-up of ported numbers. Without servers the look-up is disabled, and
// ported numbers are routed unchanged.
type Lookup struct {
	Servers  []string `toml:"servers" json:"servers"`   // host:port in order of preference
	Suffix   string   `toml:"suffix" json:"suffix"`     // domain that contains the numbers
	Share    float64  `toml:"share" json:"share"`       // fraction of the caller's time that a look-up may take
	Fallback string   `toml:"fallback" json:"fallback"` // if no answer arrives in time: FallbackRoute or FallbackRefuse
}

// Values of Lookup.Fallback.
const (
	FallbackRoute  = "route"  // route the number unchanged
	FallbackRefuse = "refuse" // reject the call
)

// Defaults of Lookup.
const (
	defaultLookupSuffix = "e164.arpa"
	defaultLookupShare  = 0.25
)

// Limits of Lookup.
const (
	maxLookupServers = 8
	maxLookupShare   = 0.5
)

// Validate applies the defaults and returns a KeyError for the first invalid key. It does not read the routing rules.
func (n *Numbering) Validate() error {
	if n.File == "" {
		return keyErrorf("file", "missing; set it to the path of the routing rules")
	}
	n.Lookup.applyDefaults()
	if err := n.Lookup.validate(); err != nil {
		return inSection("lookup", err)
	}
	return nil
}

func (l *Lookup) applyDefaults() {
	l.Suffix = cmp.Or(l.Suffix, defaultLookupSuffix)
	l.Share = cmp.Or(l.Share, defaultLookupShare)
	l.Fallback = cmp.Or(l.Fallback, FallbackRoute)
}

func (l *Lookup) validate() error {
	for _, server := range l.Servers {
		if _, err := netip.ParseAddrPort(server); err != nil {
			return &KeyError{"servers", err}
		}
	}
	switch {
	case len(l.Servers) > maxLookupServers:
		return keyErrorf("servers", "%d servers; the maximum is %d", len(l.Servers), maxLookupServers)
	case l.Share < 0 || l.Share > maxLookupShare:
		return keyErrorf("share", "%v is not between 0 and %v", l.Share, maxLookupShare)
	case l.Fallback != FallbackRoute && l.Fallback != FallbackRefuse:
		return keyErrorf("fallback", "%q is neither %q nor %q", l.Fallback, FallbackRoute, FallbackRefuse)
	}
	return nil
}
