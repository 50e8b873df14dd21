package soak

import (
	"maps"
	"slices"
	"sync"
	"time"

	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/loopback"
)

// assumedDeliveryTime is the time after which a controller is assumed to know a list that no answer has delivered.
const assumedDeliveryTime = 7 * time.Second

// A directory publishes the list of exchanges to the controllers, to each by a name service of its own. It records when
// a controller knows that an exchange accepts no new calls. Its methods are safe for concurrent use.
type directory struct {
	monitor *monitor

	mu        sync.Mutex
	exchanges map[string]*exchange
	draining  map[string]bool
	serial    uint32
	published map[uint32]map[string]bool // by serial number: whether an exchange accepts calls
	services  map[string]*loopback.NameService
	isSilent  map[string]bool   // by controller
	delivered map[string]uint32 // by controller: serial number of the latest list that it knows
	inactive  map[string]map[string]bool
}

func newDirectory(m *monitor) *directory {
	return &directory{
		monitor:   m,
		exchanges: make(map[string]*exchange),
		draining:  make(map[string]bool),
		published: make(map[uint32]map[string]bool),
		services:  make(map[string]*loopback.NameService),
		isSilent:  make(map[string]bool),
		delivered: make(map[string]uint32),
		inactive:  make(map[string]map[string]bool),
	}
}

// serve starts a new name service for a controller, in place of its previous one, and returns the address.
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
	service.OnAnswer(func(serial uint32) { d.recordDelivery(controller, serial) })
	service.SetWithSerial(d.serial, d.endpoints(controller)...)
	return service.Addr(), nil
}

// setSilent makes the name services of all controllers ignore queries, or answer again.
func (d *directory) setSilent(isSilent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for controller, service := range d.services {
		d.isSilent[controller] = isSilent
		service.SetSilent(isSilent)
	}
}

// add adds an exchange to the list, from the next publication on.
func (d *directory) add(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exchanges[x.id] = x
}

// drain marks an exchange as draining, from the next publication on.
func (d *directory) drain(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining[x.id] = true
}

// remove removes an exchange from the list, from the next publication on.
func (d *directory) remove(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.exchanges, x.id)
}

// publish publishes the current list.
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
		service.SetWithSerial(serial, d.endpoints(controller)...)
		time.AfterFunc(assumedDeliveryTime, func() { d.recordDelivery(controller, serial) })
	}
}

// endpoints returns the list for a controller, sorted by id. directory.mu is held.
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

// known returns the list and its serial number for a controller that is about to start.
func (d *directory) known(controller string) (serial uint32, all []loopback.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delivered[controller] = 0
	d.inactive[controller] = make(map[string]bool)
	return d.serial, d.endpoints(controller)
}

// recordDelivery records that a controller knows a list, and which exchanges became inactive or active by it.
func (d *directory) recordDelivery(controller string, serial uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	active, isPublished := d.published[serial]
	if serial <= d.delivered[controller] || !isPublished || d.inactive[controller] == nil {
		return
	}
	d.delivered[controller] = serial
	inactive := d.inactive[controller]
	for _, list := range d.published {
		for id := range list {
			if inactive[id] == !active[id] {
				continue
			}
			inactive[id] = !active[id]
			d.monitor.record(invariant.Event{
				Kind: invariant.ServerUpdated, Controller: controller, Server: id, IsSet: !active[id],
			})
		}
	}
}

// close stops the name services.
func (d *directory) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, service := range d.services {
		service.Close()
	}
}
