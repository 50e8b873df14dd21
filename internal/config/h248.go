package config

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"

	"github.com/BurntSushi/toml"
)

// H248Path is where the file of the H.248 front stood before there was one operator's file.
const H248Path = "deploy/h248.toml"

// H248 switches the H.248 front on.
type H248 struct {
	Listen  string       `toml:"listen" json:"listen"` // where panels and gateways connect
	Admin   string       `toml:"admin" json:"admin"`   // where the agent and olivectl connect; "": nowhere
	Servers []H248Server `toml:"server" json:"server"` // call servers that speak H.248
}

// An H248Server is a call server that speaks H.248.
type H248Server struct {
	ID      string `toml:"id" json:"id"`
	Address string `toml:"address" json:"address"`
	Pool    int    `toml:"pool" json:"pool"`
}

// LoadH248 reads the file at path; without a file the front is off, and nil returned.
func LoadH248(path string) (*H248, error) {
	var h H248
	meta, err := toml.DecodeFile(path, &h)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("config: %s: unknown key %s", path, unknown[0])
	}
	if err := h.Validate(); err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return &h, nil
}

// Validate tells what is wrong with the front's settings.
func (h *H248) Validate() error {
	if _, err := netip.ParseAddrPort(h.Listen); err != nil {
		return &KeyError{"listen", err}
	}
	if h.Admin != "" {
		addr, err := netip.ParseAddrPort(h.Admin)
		if err != nil {
			return &KeyError{"admin", err}
		}
		if !addr.Addr().IsLoopback() { // whoever reaches it can drain the program
			return bad("admin", "%s is no loopback address", h.Admin)
		}
	}
	seen := make(map[string]bool)
	for _, s := range h.Servers {
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			return bad("server.address", "server %q: %w", s.ID, err)
		}
		if s.ID == "" || seen[s.ID] {
			return bad("server.id", "%q is missing or there twice", s.ID)
		}
		seen[s.ID] = true
	}
	return nil
}
