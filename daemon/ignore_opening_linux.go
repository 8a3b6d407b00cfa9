package daemon

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	tcpFlagsOffset = 13 // bytes from the start of the TCP header
	tcpSYN         = 0x02
	tcpACK         = 0x10
	wholePacket    = 1 << 18 // bytes, above the largest packet
)

// onlyOpen is a socket filter that drops the first packet of a new connection, the one with
// SYN and without ACK, and passes all others.
var onlyOpen = []bpf.Instruction{
	bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
	bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: tcpSYN | tcpACK},
	bpf.JumpIf{Cond: bpf.JumpEqual, Val: tcpSYN, SkipTrue: 1},
	bpf.RetConstant{Val: wholePacket},
	bpf.RetConstant{Val: 0},
}

// ignoreOpening leaves attempts to open a connection unanswered from now on. Connections
// whose opening is under way are still completed and can be accepted.
func ignoreOpening(l net.Listener) error {
	program, err := bpf.Assemble(onlyOpen)
	if err != nil {
		return errors.Wrap(err, "assembling the filter")
	}
	filter := make([]unix.SockFilter, len(program))
	for i, ins := range program {
		filter[i] = unix.SockFilter{Code: ins.Op, Jt: ins.Jt, Jf: ins.Jf, K: ins.K}
	}
	err = control(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
	return errors.Wrap(err, "attaching the filter")
}

// notAccepted returns the number of open connections that wait to be accepted. For a
// listening socket the kernel gives it in the field for unacknowledged segments.
func notAccepted(l net.Listener) (int, error) {
	var info *unix.TCPInfo
	err := control(l, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err != nil {
		return 0, errors.Wrap(err, "reading the state of the listener")
	}
	return int(info.Unacked), nil
}

// control calls f with the listener's socket.
func control(l net.Listener, f func(fd int) error) error {
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
