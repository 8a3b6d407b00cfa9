package configsync

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// partBytes is the compressed size from which on a part takes no more of the record. It takes 50 ms on a link of
	// 2 Mbit/s, which is as long as a heartbeat waits.
	partBytes = 12 << 10
	// stepBytes is how much of the record is compressed between two looks at the size.
	stepBytes = 4 << 10
	// maxPartRecordBytes limits what a part holds of a record, so that decompressing it takes little memory.
	maxPartRecordBytes = 256 << 10
	// MaxRecordBytes is the size of the largest record that is passed on.
	MaxRecordBytes = 6 << 20
)

// Part is a piece of the record of a configuration.
type Part struct {
	Version int64
	Offset  int64  // of the piece in the record, in bytes
	Size    int64  // of the whole record, in bytes; 0: the sender has no record of the version
	Data    []byte // compressed
}

// encoder compresses parts.
type encoder struct {
	writer *flate.Writer
	buffer bytes.Buffer
}

// encode returns the part of a record that begins at an offset.
func (e *encoder) encode(version int64, record []byte, offset int64) Part {
	e.buffer.Reset()
	if e.writer == nil {
		e.writer, _ = flate.NewWriter(nil, flate.BestSpeed) // fails only for an invalid level
	}
	e.writer.Reset(&e.buffer)
	rest := record[offset:]
	rest = rest[:min(len(rest), maxPartRecordBytes)]
	for len(rest) > 0 && e.buffer.Len() < partBytes {
		step := rest[:min(len(rest), stepBytes)]
		rest = rest[len(step):]
		_, _ = e.writer.Write(step) // a buffer takes everything
		_ = e.writer.Flush()
	}
	_ = e.writer.Close()
	return Part{Version: version, Offset: offset, Size: int64(len(record)), Data: bytes.Clone(e.buffer.Bytes())}
}

// decode returns the piece of the record in a part.
func (p Part) decode() ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(p.Data))
	data, err := io.ReadAll(io.LimitReader(reader, maxPartRecordBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "decompressing the part")
	case len(data) > maxPartRecordBytes:
		return nil, errors.Newf("the part holds more than %d bytes", maxPartRecordBytes)
	case len(data) == 0:
		return nil, errors.New("the part is empty")
	}
	return data, nil
}
