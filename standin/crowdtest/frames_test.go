package crowdtest

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// frameCrowdSize is the number of connections that send unfinished frames to another host's port.
	frameCrowdSize = 60
	// frameBytes is the size of a frame, the largest that a gRPC server accepts unless it is told
	// otherwise.
	frameBytes = 4 << 20
	// dataBytes is the size of an HTTP/2 DATA frame, and initialWindow the window of HTTP/2 before the
	// server announces another one.
	dataBytes     = 16 << 10
	initialWindow = 65535
	deliverMethod = "/sesameledge.mesh.v1.Mesh/Deliver"
)

// pressFrames starts a crowd whose clients send a message of a stream between hosts and stop one byte
// short of its end.
func pressFrames(addr string, size int) *crowd {
	c := &crowd{left: make(chan struct{}), form: form{deaf: true}} // sendFrame reads
	for range size {
		c.add(func() {
			if conn, err := c.dial(addr); err == nil {
				_ = conn.SetDeadline(time.Now().Add(clientTimeout))
				_ = sendFrame(conn) // the host may refuse it
			}
		})
	}
	return c
}

// sendFrame sends a gRPC message up to its last byte, as far as the host's flow control lets it.
func sendFrame(conn net.Conn) error {
	if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
		return err
	}
	framer := http2.NewFramer(conn, conn)
	if err := framer.WriteSettings(); err != nil {
		return err
	}
	if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: deliverHeader(), EndHeaders: true}); err != nil {
		return err
	}
	prefix := binary.BigEndian.AppendUint32([]byte{0}, frameBytes)
	message := append(prefix, make([]byte, frameBytes-1)...)
	streamWindow, connWindow := initialWindow, initialWindow
	for len(message) > 0 {
		n := min(len(message), dataBytes, streamWindow, connWindow)
		if n > 0 {
			if err := framer.WriteData(1, false, message[:n]); err != nil {
				return err
			}
			message, streamWindow, connWindow = message[n:], streamWindow-n, connWindow-n
			continue
		}
		frame, err := framer.ReadFrame()
		if err != nil {
			return err
		}
		switch f := frame.(type) {
		case *http2.SettingsFrame:
			if size, ok := f.Value(http2.SettingInitialWindowSize); ok {
				streamWindow += int(size) - initialWindow
			}
		case *http2.WindowUpdateFrame:
			if f.StreamID == 0 {
				connWindow += int(f.Increment)
			} else {
				streamWindow += int(f.Increment)
			}
		case *http2.RSTStreamFrame, *http2.GoAwayFrame:
			return nil
		}
	}
	return nil
}

// deliverHeader returns the header block of a call of the stream between hosts.
func deliverHeader() []byte {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, f := range []hpack.HeaderField{
		{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: deliverMethod},
		{Name: ":authority", Value: "host"}, {Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"},
	} {
		_ = encoder.WriteField(f) // writes to a buffer
	}
	return block.Bytes()
}
