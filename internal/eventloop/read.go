package eventloop

import (
	"errors"
	"os"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/panjf2000/gnet/v2"
)

const (
	readBufferSize = 16 << 10
	maxReads       = 64 // limits the share of an iteration used by a peer that keeps sending
)

// DrainReadBuffer reads the data in the receive buffer of a socket, without waiting for more, and passes it to handle.
func DrainReadBuffer(socket gnet.Conn, handle func(data []byte)) {
	buffer := make([]byte, readBufferSize)
	for range maxReads {
		n, err := syscall.Read(socket.Fd(), buffer)
		if err == syscall.EINTR {
			continue
		}
		if err != nil || n <= 0 {
			return
		}
		handle(buffer[:n])
	}
}

// ReadPending passes data that the socket has already received to handle, as long as the connection is open, and
// reports whether there was any. It is called before a connection is closed, for messages that cross the close: if they
// had to be sent again on another connection, they would be late or lost.
func (c *Conn) ReadPending(handle func(data []byte)) (found bool) {
	DrainReadBuffer(c.socket, func(data []byte) {
		found = true
		if c.IsOpen() {
			handle(data)
		}
	})
	return found
}

// HasPeerClosed reports whether the peer has closed or reset the connection, even if there is unread data before that.
// It reports false if the system does not tell.
func (c *Conn) HasPeerClosed() bool {
	fd := c.socket.Fd()
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(poll, 0)
	const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	if err != nil || n <= 0 || poll[0].Revents&closed == 0 {
		return false
	}
	// A closed connection always has something to read: data, the end or the error. Some platforms emulate poll.
	_, _, err = unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
}

// IsFailedWrite reports whether a connection was closed because a write failed. Unread data may have been received
// before that.
func IsFailedWrite(err error) bool {
	var call *os.SyscallError
	return errors.As(err, &call) && strings.HasPrefix(call.Syscall, "write")
}
