package acceptor

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pendingHandshakeWait is the time allowed for handshakes whose SYN was already accepted to complete and enter the
// queue.
const pendingHandshakeWait = 2 * time.Millisecond

// Offset of the flags byte in a TCP header, and the SYN flag.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
)

// Return values of a socket filter: the number of bytes of the packet to keep.
const (
	dropPacket = 0
	keepPacket = 0xffffffff
)

// dropNewSYNs makes a listening socket drop SYNs and waits for handshakes in progress. Otherwise a connection that is
// established between the last accept and the close of the socket would be reset. A client whose SYN is dropped
// retransmits it, and its connection is refused. Errors are ignored, because the socket is closed in any case.
func dropNewSYNs(listener syscall.RawConn) {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: dropPacket},
		{Code: unix.BPF_RET | unix.BPF_K, K: keepPacket},
	}
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	_ = listener.Control(func(listening uintptr) {
		_ = unix.SetsockoptSockFprog(int(listening), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter)
	})
	time.Sleep(pendingHandshakeWait)
}
