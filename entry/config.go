package entry

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/platform"
)

// decodePause is how long the decoding of a configuration lets other goroutines run, between routes that
// take less time than that on a whole core.
const decodePause = time.Millisecond

// decodeConfig returns the event for the record of a configuration that was read from a host, or from the store if
// that is empty. It takes long on a small host and must not run in the event loop. A record that has come
// another way before is not decoded again. The panic of a decoder counts as a record that cannot be decoded.
func (h *Host) decodeConfig(record []byte, from string) (event host.ConfigRead) {
	if known := h.decodedConfig.Load(); known != nil && bytes.Equal(known.Record, record) {
		return host.ConfigRead{Record: known.Record, From: from, Decoded: known.Decoded}
	}
	event = host.ConfigRead{Record: record, From: from}
	defer func() { h.decodedConfig.Store(&event) }()
	defer func() {
		if cause := recover(); cause != nil {
			event.Decoded = &host.DecodedConfig{Err: errors.Newf("decoding the configuration failed: %v", cause)}
		}
	}()
	decode := func(record []byte) (*fleet.Config, error) {
		return platform.DecodeConfigPaced(record, func() { time.Sleep(decodePause) })
	}
	event.Decoded = host.DecodeConfig(decode, record, h.settings.Memory)
	return event
}

// decodeFetched decodes a configuration that came from another host, outside the event loop.
func (h *Host) decodeFetched(e host.ConfigFetched) {
	go func() { h.loop.send(h.decodeConfig(e.Record, e.From)) }()
}
