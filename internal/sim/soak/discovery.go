package soak

import (
	"maps"
	"slices"
	"sync"
	"time"

	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/loopback"
)

// toldLimit is when a change counts as told although no answer has brought it.
const toldLimit = 7 * time.Second

// A directory publishes the list of exchanges to the controllers, each at a name service of its own, and tells the
// judge when a controller knows that an exchange takes no new calls. Its methods are safe for concurrent use.
type directory struct {
	judge *judge

	mu        sync.Mutex
	exchanges map[string]*exchange
	draining  map[string]bool
	serial    uint32
	published map[uint32]map[string]bool // by serial number: exchanges that take calls
	services  map[string]*loopback.NameService
	isSilent  map[string]bool   // by controller
	told      map[string]uint32 // by controller: the newest list that it was told
	inactive  map[string]map[string]bool
}

func newDirectory(j *judge) *directory {
	return &directory{
		judge:     j,
		exchanges: make(map[string]*exchange),
		draining:  make(map[string]bool),
		published: make(map[uint32]map[string]bool),
		services:  make(map[string]*loopback.NameService),
		isSilent:  make(map[string]bool),
		told:      make(map[string]uint32),
		inactive:  make(map[string]map[string]bool),
	}
}

// serve gives a controller a new name service, whose address it returns, in place of the one that it had.
func (d *directory) serve(controller string) (address string, err error) {
	service, err := loopback.ListenNameService("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if previous := d.services[controller]; previous != nil {
		previous.Close()
	}
	d.services[controller] = service
	service.SetSilent(d.isSilent[controller])
	service.OnAnswer(func(serial uint32) { d.tell(controller, serial) })
	service.SetFrom(d.serial, d.endpoints(controller)...)
	return service.Addr(), nil
}

// setSilent makes the services of all controllers silent, or answer again.
func (d *directory) setSilent(isSilent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for controller, service := range d.services {
		d.isSilent[controller] = isSilent
		service.SetSilent(isSilent)
	}
}

// add lists an exchange from the next publication on.
func (d *directory) add(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exchanges[x.id] = x
}

// drain lists an exchange as draining from the next publication on.
func (d *directory) drain(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining[x.id] = true
}

// remove takes an exchange off the list from the next publication on.
func (d *directory) remove(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.exchanges, x.id)
}

// publish publishes the list as it is.
func (d *directory) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serial++
	serial := d.serial
	active := make(map[string]bool)
	for id := range d.exchanges {
		active[id] = !d.draining[id]
	}
	d.published[serial] = active
	for controller, service := range d.services {
		service.SetFrom(serial, d.endpoints(controller)...)
		time.AfterFunc(toldLimit, func() { d.tell(controller, serial) })
	}
}

// endpoints returns the list as a controller gets it, in the order of the ids. directory.mu is held.
func (d *directory) endpoints(controller string) []loopback.Endpoint {
	var all []loopback.Endpoint
	for _, id := range slices.Sorted(maps.Keys(d.exchanges)) {
		x := d.exchanges[id]
		all = append(all, loopback.Endpoint{
			ID: id, Addr: x.address(controller), Zone: zoneName, Pool: x.pool, Draining: d.draining[id],
			Started: x.startTime(),
		})
	}
	return all
}

// known returns the list and its serial number for a controller that starts.
func (d *directory) known(controller string) (serial uint32, all []loopback.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told[controller] = 0
	d.inactive[controller] = make(map[string]bool)
	return d.serial, d.endpoints(controller)
}

// tell notes that a controller counts as told of a list.
func (d *directory) tell(controller string, serial uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	active, isPublished := d.published[serial]
	if serial <= d.told[controller] || !isPublished || d.inactive[controller] == nil {
		return
	}
	d.told[controller] = serial
	inactive := d.inactive[controller]
	for _, list := range d.published {
		for id := range list {
			if inactive[id] == !active[id] {
				continue
			}
			inactive[id] = !active[id]
			d.judge.record(invariant.Event{
				Kind: invariant.ServerUpdated, Controller: controller, Server: id, IsSet: !active[id],
			})
		}
	}
}

// close ends the services.
func (d *directory) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, service := range d.services {
		service.Close()
	}
}
