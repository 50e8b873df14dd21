package frontend

import (
	"iter"
	"time"

	"olivedale/internal/eventloop"
)

// A Registry is the list of a frontend's connections, least recently used first.
type Registry[T Connection] struct {
	// Max bounds the connections, within the process's budget of sockets.
	Max int

	host        *Host
	connections eventloop.IdleList[T]
	mayOverdue  eventloop.IdleList[T] // those that may become overdue
}

// A Membership is the place of a connection in its Registry. The zero value is none.
type Membership struct{ place, overduePlace eventloop.Element }

// IsRegistered reports whether the connection is in the registry.
func (m *Membership) IsRegistered() bool { return m.place != nil }

// NewRegistry returns an empty registry.
func NewRegistry[T Connection](host *Host, maxConnections int) *Registry[T] {
	return &Registry[T]{Max: maxConnections, host: host}
}

// Len returns the number of connections.
func (r *Registry[T]) Len() int { return r.connections.Len() }

// IsFull reports whether there is no room for another connection.
func (r *Registry[T]) IsFull() bool { return r.Len() >= r.Max }

// Oldest iterates from the connection that has been idle for longest.
func (r *Registry[T]) Oldest() iter.Seq[T] { return r.connections.Oldest() }

// Latest iterates from the connection that was used last.
func (r *Registry[T]) Latest() iter.Seq[T] { return r.connections.Latest() }

// Snapshot returns the connections that are open now.
func (r *Registry[T]) Snapshot() []Connection {
	all := make([]Connection, 0, r.Len())
	for c := range r.Oldest() {
		all = append(all, c)
	}
	return all
}

// Add adds a connection that was just opened.
func (r *Registry[T]) Add(c T, m *Membership) {
	m.place = r.connections.Add(c)
	m.overduePlace = r.mayOverdue.Add(c)
}

// Remove removes a connection.
func (r *Registry[T]) Remove(m *Membership) {
	r.connections.Remove(&m.place)
	r.mayOverdue.Remove(&m.overduePlace)
}

// Touch makes a connection the most recently used.
func (r *Registry[T]) Touch(m *Membership) { r.connections.Touch(m.place) }

// RecordInput notes what a piece of input has brought: a complete message, part of one, or both.
func (r *Registry[T]) RecordInput(c T, m *Membership, complete, partial bool) {
	now := r.host.Loop.Now()
	c.Conn().RecordInput(now, complete, partial)
	if m.IsRegistered() {
		r.mayOverdue.UpdateOverdue(&m.overduePlace, c, c.Conn(), now)
	}
}

// CloseOverdue closes the connections that are overdue, have no open set-up and have received nothing just now. It
// guards the process's descriptors.
func (r *Registry[T]) CloseOverdue(now time.Duration) {
	for c := range r.mayOverdue.Oldest() {
		conn := c.Conn()
		if !conn.IsOverdue(now) {
			break // those behind it have been silent for less long
		}
		if conn.IsOpen() && !c.HasOpenSetup() && !conn.ReadPending(c.HandleData) {
			r.host.Counters.ClosedOverdue++
			r.host.Loop.Close(conn)
		}
	}
}

// HasUnreadOutput reports whether a caller has not read all that was written to it.
func (r *Registry[T]) HasUnreadOutput() bool {
	for c := range r.connections.Oldest() {
		if c.Conn().HasUnreadOutput() {
			return true
		}
	}
	return false
}
