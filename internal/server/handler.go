package server

import (
	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/backend"
	"olivedale/internal/frontend"
)

// The gnet context of a socket identifies its owner: a discoverySocket; a backend.OpenHandler until the socket is
// opened and a backend.SocketOwner afterwards; or a listenerKind until the socket is opened and a frontend.Connection
// afterwards.

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(socket gnet.Conn) (out []byte, action gnet.Action) {
	s.loop.RunIteration(func() {
		if !s.loop.IsAttached() {
			s.start(socket.EventLoop())
		}
		if !s.accept(socket) {
			socket.SetContext(nil)
			action = gnet.Close
		}
	})
	return nil, action
}

// accept passes a new socket to its owner. It returns false if the socket must be closed.
func (s *Server) accept(socket gnet.Conn) bool {
	switch owner := socket.Context().(type) {
	case discoverySocket: // gnet also calls OnOpen for connected datagram sockets
		return s.discovery.handleOpen(owner.serial, socket)
	case backend.OpenHandler:
		return owner.HandleOpen(socket)
	case listenerKind:
		return s.acceptClient(owner, socket)
	}
	return false
}

// acceptClient passes an accepted connection to the frontend of its listener. It returns false if the connection must
// be closed.
func (s *Server) acceptClient(kind listenerKind, socket gnet.Conn) bool {
	switch kind {
	case gatewayListener:
		return s.frontends.gateway.Accept(socket, false)
	case adminListener:
		return s.frontends.gateway.Accept(socket, true)
	default:
		return s.frontends.json.Accept(socket)
	}
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(socket gnet.Conn) (action gnet.Action) {
	data, err := socket.Next(-1)
	if err != nil {
		return gnet.None
	}
	s.loop.RunIteration(func() {
		switch owner := socket.Context().(type) {
		case backend.SocketOwner:
			owner.HandleSocketData(socket, data)
		case frontend.Connection:
			owner.HandleData(data)
		case discoverySocket:
			if s.discovery.owns(socket) {
				s.handleDiscoveryAnswer(data)
			}
		}
	})
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(socket gnet.Conn, err error) gnet.Action {
	if s.lifecycle.isEnding() && !s.loop.InIteration() {
		s.readPending(socket)
	}
	s.loop.RunIteration(func() {
		switch owner := socket.Context().(type) {
		case backend.SocketOwner:
			owner.HandleClose(socket, err)
		case frontend.Connection:
			owner.HandleClose(err)
		case discoverySocket:
			s.discovery.handleClose(socket)
		}
	})
	return gnet.None
}

// readPending processes and answers the input that a caller's connection has received since the last iteration, before
// the connection is closed.
func (s *Server) readPending(socket gnet.Conn) {
	c, ok := socket.Context().(frontend.Connection)
	if !ok {
		return
	}
	s.loop.RunIteration(func() { c.Conn().ReadPending(c.HandleData) })
}
