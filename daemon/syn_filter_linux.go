package daemon

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	tcpFlagsOffset = 13 // byte offset in the TCP header
	tcpSYN         = 0x02
	tcpACK         = 0x10
	maxPacketBytes = 1 << 18 // larger than any packet
)

// dropSYNFilter is a socket filter that drops the first packet of a new connection (SYN without ACK)
// and passes all others.
var dropSYNFilter = []bpf.Instruction{
	bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
	bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: tcpSYN | tcpACK},
	bpf.JumpIf{Cond: bpf.JumpEqual, Val: tcpSYN, SkipTrue: 1},
	bpf.RetConstant{Val: maxPacketBytes},
	bpf.RetConstant{Val: 0},
}

// dropNewConnections ignores all further attempts to open a connection. Connections whose TCP
// handshake is under way still complete and can be accepted.
func dropNewConnections(l net.Listener) error {
	program, err := bpf.Assemble(dropSYNFilter)
	if err != nil {
		return errors.Wrap(err, "assembling the filter")
	}
	filter := make([]unix.SockFilter, len(program))
	for i, ins := range program {
		filter[i] = unix.SockFilter{Code: ins.Op, Jt: ins.Jt, Jf: ins.Jf, K: ins.K}
	}
	err = withSocket(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
	return errors.Wrap(err, "attaching the filter")
}

// pendingConnections returns the number of open connections that wait to be accepted. For a listening
// socket, the kernel reports it in the field for unacknowledged segments.
func pendingConnections(l net.Listener) (int, error) {
	var info *unix.TCPInfo
	err := withSocket(l, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err != nil {
		return 0, errors.Wrap(err, "reading the state of the listener")
	}
	return int(info.Unacked), nil
}

// withSocket calls f with the file descriptor of the listener's socket.
func withSocket(l net.Listener, f func(fd int) error) error {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return errors.New("the listener gives no access to its socket")
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var called error
	err = raw.Control(func(fd uintptr) { called = f(int(fd)) })
	return errors.CombineErrors(err, called)
}
