package eventloop

import (
	"errors"
	"os"
	"strings"
	"syscall"

	"github.com/panjf2000/gnet/v2"
)

const (
	readBufferSize = 16 << 10
	maxReads       = 64 // bounds what a peer that goes on sending can take of an iteration
)

// DrainReadBuffer hands on what a socket has received and nobody has read, as far as it is there now.
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

// ReadPending handles what a connection has received just now, as long as it is open, and reports whether there was
// anything. It is called before a connection is closed, for messages that cross the close: those sent again on another
// connection would be late or lost.
func (c *Conn) ReadPending(handle func(data []byte)) (found bool) {
	DrainReadBuffer(c.socket, func(data []byte) {
		found = true
		if c.IsOpen() {
			handle(data)
		}
	})
	return found
}

// IsFailedWrite reports whether a connection was closed because a write failed: it may have received something
// before.
func IsFailedWrite(err error) bool {
	var call *os.SyscallError
	return errors.As(err, &call) && strings.HasPrefix(call.Syscall, "write")
}
