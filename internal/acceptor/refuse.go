package acceptor

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pendingHandshakeWait is how long a handshake whose SYN was taken may still need to reach the queue.
const pendingHandshakeWait = 2 * time.Millisecond

// Of a TCP header: the offset of the byte with the flags, and the flag SYN.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
)

// Results of a socket filter: how many bytes of a packet are kept.
const (
	dropPacket = 0
	keepPacket = 0xffffffff
)

// dropNewSYNs makes a listening socket drop SYNs, while handshakes that have begun go on. Without it a
// connection that comes up between the last look into the queue and the close of the socket is reset. A client whose
// SYN is dropped repeats it, and is refused. Errors are ignored: the socket is closed in any case.
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
