package config

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"

	"github.com/BurntSushi/toml"
)

// H248Path is the path, relative to the root directory, of the deprecated file that contains only the keys of section
// [h248].
const H248Path = "deploy/h248.toml"

// H248 is the section [h248], which enables the H.248 frontend.
type H248 struct {
	Listen  string       `toml:"listen" json:"listen"` // host:port for media gateways
	Admin   string       `toml:"admin" json:"admin"`   // loopback host:port for the agent and olivectl; "": disabled
	Servers []H248Server `toml:"server" json:"server"` // call servers that speak H.248
}

// An H248Server is one table [[h248.server]]: a call server that speaks H.248.
type H248Server struct {
	ID      string `toml:"id" json:"id"`
	Address string `toml:"address" json:"address"` // host:port
	Pool    int    `toml:"pool" json:"pool"`
}

// LoadH248 reads the deprecated file at path. It returns nil, nil if the file does not exist.
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
		return nil, fmt.Errorf("config: %s: %w", path, &KeyError{unknown[0].String(), ErrUnknownKey})
	}
	if err := h.Validate(); err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return &h, nil
}

// Validate returns a KeyError for the first invalid key.
func (h *H248) Validate() error {
	if _, err := netip.ParseAddrPort(h.Listen); err != nil {
		return &KeyError{"listen", err}
	}
	if err := h.checkAdmin(); err != nil {
		return &KeyError{"admin", err}
	}
	return h.checkServers()
}

// checkAdmin accepts only a loopback address, because any client of this port can drain the controller.
func (h *H248) checkAdmin() error {
	if h.Admin == "" {
		return nil
	}
	address, err := netip.ParseAddrPort(h.Admin)
	if err != nil {
		return err
	}
	if !address.Addr().IsLoopback() {
		return fmt.Errorf("%s is not a loopback address", h.Admin)
	}
	return nil
}

func (h *H248) checkServers() error {
	seen := make(map[string]bool)
	for _, server := range h.Servers {
		if _, err := netip.ParseAddrPort(server.Address); err != nil {
			return keyErrorf("server.address", "server %q: %w", server.ID, err)
		}
		if server.ID == "" || seen[server.ID] {
			return keyErrorf("server.id", "%q is empty or not unique", server.ID)
		}
		seen[server.ID] = true
	}
	return nil
}
