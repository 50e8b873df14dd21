//go:build review2

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { scenarios["tables"] = playTables }

// playTables: the operator replaces the number table twice and sends SIGHUP each time. Once both have been carried out,
// calls must go where the last table says.
func playTables(s *stage) (bool, error) {
	const (
		entries   = 100_000
		quick     = 100 * time.Millisecond // between the two, with trouble
		slow      = 15 * time.Second       // without
		settle    = 30 * time.Second
		callCount = 5
	)
	var exchanges []*exchange
	var members []member
	for pool := range 3 {
		x, err := startExchange(s, fmt.Sprintf("s-%d", pool))
		if err != nil {
			return false, err
		}
		exchanges = append(exchanges, x)
		members = append(members, x.member(pool))
	}
	names, err := startNames(members)
	if err != nil {
		return false, err
	}
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	rules := filepath.Join(s.dir, "numbers.toml")
	if err := writeRules(rules, 0, entries); err != nil {
		return false, err
	}
	dir, err := s.controllerDir("n0", fmt.Sprintf("[numbers]\nfile = %q\nstate = %q\n", rules, filepath.Join(s.dir, "state")))
	if err != nil {
		return false, err
	}
	p := platform{
		name: "n0", listen: listen, names: names.address(), memoryMB: 192, sockets: 1024, pools: []int{0, 1, 2},
		members: members,
	}
	configPath, err := p.write(dir)
	if err != nil {
		return false, err
	}
	controller, err := s.startController("n0", dir, configPath)
	if err != nil {
		return false, err
	}
	c := newCallers(s)
	if err := c.waitReady(listen, 30*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	asked := 0
	// call makes calls one after the other and returns how many reached each pool.
	call := func() (reached [3]int) {
		for range callCount {
			asked++
			id, stood := c.tryCall(listen, fmt.Sprintf("562255501%02d", asked), 0, 2*time.Second)
			time.Sleep(500 * time.Millisecond)
			for pool, x := range exchanges {
				if stood && x.setupsOf(id) > 0 {
					reached[pool]++
				}
			}
		}
		s.say("calls to 562255501xx by pool: %v", reached)
		return reached
	}
	if reached := call(); reached[0] != callCount {
		return false, fmt.Errorf("the first table is not in force: %v", reached)
	}
	between := quick
	if !s.trouble {
		between = slow
	}
	for table := 1; table <= 2; table++ {
		if err := writeRules(rules, table, entries); err != nil {
			return false, err
		}
		s.say("the file routes 562255501xx to pool %d", table)
		if err := s.signal(controller, syscall.SIGHUP); err != nil {
			return false, err
		}
		if table == 1 {
			time.Sleep(between)
		}
	}
	time.Sleep(settle)
	reached := call()
	s.showLogs()
	return reached[0] == 0 && reached[1] == 0, nil
}

// writeRules replaces the rule file by one that has many numbers and routes all numbers to a pool.
func writeRules(path string, pool, entries int) error {
	var b strings.Builder
	fmt.Fprintf(&b, "version = \"table %d\"\ndefault = \"city\"\n\n[[route]]\nname = \"city\"\n[[route.target]]\npool = %d\n", pool, pool)
	for i := range entries {
		fmt.Fprintf(&b, "[[prefix]]\nprefix = \"569%06d\"\nroute = \"city\"\n", i)
	}
	if err := os.WriteFile(path+".new", []byte(b.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
