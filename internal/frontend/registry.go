package frontend

import (
	"iter"
	"time"

	"olivedale/internal/eventloop"
)

// A Registry holds the connections of a frontend, ordered from least to most recently used.
type Registry[T Connection] struct {
	// Max is the maximum number of connections, as allotted from the process's socket budget.
	Max int

	host              *Host
	connections       eventloop.IdleList[T]
	overdueCandidates eventloop.IdleList[T] // connections that may become overdue
}

// A Membership records the position of a connection in its Registry. The zero value means that it is not registered.
type Membership struct{ element, overdueElement eventloop.Element }

// IsRegistered reports whether the connection is in the registry.
func (m *Membership) IsRegistered() bool { return m.element != nil }

// NewRegistry returns an empty registry.
func NewRegistry[T Connection](host *Host, maxConnections int) *Registry[T] {
	return &Registry[T]{Max: maxConnections, host: host}
}

// Len returns the number of connections.
func (r *Registry[T]) Len() int { return r.connections.Len() }

// IsFull reports whether the limit on connections is reached.
func (r *Registry[T]) IsFull() bool { return r.Len() >= r.Max }

// Oldest iterates over the connections from the least to the most recently used.
func (r *Registry[T]) Oldest() iter.Seq[T] { return r.connections.Oldest() }

// Latest iterates over the connections from the most to the least recently used.
func (r *Registry[T]) Latest() iter.Seq[T] { return r.connections.Latest() }

// Snapshot returns a copy of the list of connections.
func (r *Registry[T]) Snapshot() []Connection {
	all := make([]Connection, 0, r.Len())
	for c := range r.Oldest() {
		all = append(all, c)
	}
	return all
}

// Add registers a newly opened connection.
func (r *Registry[T]) Add(c T, m *Membership) {
	m.element = r.connections.Add(c)
	m.overdueElement = r.overdueCandidates.Add(c)
}

// Remove removes a connection.
func (r *Registry[T]) Remove(m *Membership) {
	r.connections.Remove(&m.element)
	r.overdueCandidates.Remove(&m.overdueElement)
}

// Touch marks a connection as the most recently used.
func (r *Registry[T]) Touch(m *Membership) { r.connections.Touch(m.element) }

// RecordInput records whether received data completed a message, left a partial one, or both.
func (r *Registry[T]) RecordInput(c T, m *Membership, complete, partial bool) {
	now := r.host.Loop.Now()
	c.Conn().RecordInput(now, complete, partial)
	if m.IsRegistered() {
		r.overdueCandidates.UpdateOverdue(&m.overdueElement, c, c.Conn(), now)
	}
}

// CloseOverdue closes connections that are overdue, have no open set-up and have no unread data in their socket. It
// keeps silent connections from using up the process's file descriptors.
func (r *Registry[T]) CloseOverdue(now time.Duration) {
	for c := range r.overdueCandidates.Oldest() {
		conn := c.Conn()
		if !conn.IsOverdue(now) {
			break // the remaining connections became silent later
		}
		if conn.IsOpen() && !c.HasOpenSetup() && !conn.ReadPending(c.HandleData) {
			r.host.Counters.ClosedOverdue++
			r.host.Loop.Close(conn)
		}
	}
}

// HasUnreadOutput reports whether any caller has not read all of the output written to it.
func (r *Registry[T]) HasUnreadOutput() bool {
	for c := range r.connections.Oldest() {
		if c.Conn().HasUnreadOutput() {
			return true
		}
	}
	return false
}
