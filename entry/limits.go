package entry

import (
	"cmp"
	"time"

	"sesameledge.dev/sesameledge/admission"
	"sesameledge.dev/sesameledge/finding"
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/fleet/configcheck"
	"sesameledge.dev/sesameledge/mesh"
	"sesameledge.dev/sesameledge/strictyaml"
)

// Clients limits what clients may use of the host. Zero values mean the defaults.
type Clients struct {
	// MemoryShare is the share of the host's memory for the requests that are being received.
	MemoryShare float64 `yaml:"memory_share,omitempty"`
	// MaxConnections is the number of callers' connections. The default follows from the memory and the
	// descriptors.
	MaxConnections int `yaml:"max_connections,omitempty"`
	// MinBodyRate is the rate of a body, in bytes a second over RateWindow, below which its connection is
	// closed.
	MinBodyRate int64         `yaml:"min_body_rate,omitempty"`
	RateWindow  time.Duration `yaml:"rate_window,omitempty"`
	// AnswerTimeout is the time that a client has to take an answer.
	AnswerTimeout time.Duration `yaml:"answer_timeout,omitempty"`
}

const (
	defaultMinBodyRate   = 256 // bytes a second; links between callers and hosts carry 1,000 times as much
	defaultRateWindow    = 10 * time.Second
	defaultAnswerTimeout = 15 * time.Second
	// maxMemoryShare leaves room for the state of the host and for memory that is not collected yet.
	maxMemoryShare = 0.4

	// Without settings of the memory and the descriptors, those of a small machine are taken.
	unknownMemoryMB    = 1024
	unknownDescriptors = 8192
	// minMemoryMB and minDescriptors are what a host needs to serve at all. A smaller setting contradicts
	// the others.
	minMemoryMB    = 48
	minDescriptors = 64

	// The descriptors of files, at most a part of all, are not available for connections.
	fileDescriptors    = 200
	maxFileDescriptors = 4 // at most 1/4
	// The rest is divided: connections of callers, of other hosts, and of operators and readiness checks.
	// What remains is for connections to workers, to the store and to other hosts.
	callerDescriptorShare   = 0.5
	peerDescriptorShare     = 0.125
	operatorDescriptorShare = 1.0 / 64
	minOperatorConnections  = 8

	// receiveBufferBytes is the kernel's buffer for what is received on a caller's connection and was not
	// read. It is memory of the host, too. At 3 ms to callers and back a window of that size carries
	// 40 Mbit/s.
	receiveBufferBytes = 32 << 10
	// connectionBytes is the memory of a caller's connection: its stack, its buffers and a small request.
	connectionBytes = receiveBufferBytes + 32<<10
	// connectionMemoryShare is the share of the memory for connections of callers, peerMemoryShare the one
	// for connections of other hosts, of peerConnectionBytes each.
	connectionMemoryShare = 0.25
	peerMemoryShare       = 0.12
	peerConnectionBytes   = 64 << 10
	// frameMemoryShare is the share of the memory for frames of other hosts that are being received, and
	// that wait to be processed, each.
	frameMemoryShare = 0.05
	// minFrameMemory lets hosts of any size receive the largest frames.
	minFrameMemory = 2 * mesh.MaxFrameBytes
	// peerIdleTimeout is the time after which a silent connection of another host is closed.
	peerIdleTimeout = 10 * time.Minute
	// operatorBytes is the memory for requests of operators and of readiness checks.
	operatorBytes = 2 << 20

	// defaultHeaderBytes bounds a header if the configuration sets no limit, and headerSlack is what is
	// allowed beyond the limit, as HTTP servers do, since limits are counted in different ways.
	defaultHeaderBytes = 64 << 10
	headerSlack        = 4 << 10
)

// memoryBytes returns the memory of the host.
func (s *Settings) memoryBytes() int64 { return cmp.Or(s.Memory, unknownMemoryMB) << 20 }

// share returns a share of the host's memory.
func (s *Settings) share(share float64) int64 { return int64(share * float64(s.memoryBytes())) }

// requestBytes returns the memory for the callers' requests.
func (s *Settings) requestBytes() int64 {
	return s.share(cmp.Or(s.Clients.MemoryShare, configcheck.DefaultMemoryShare))
}

// connectionDescriptors returns the number of descriptors for connections.
func (s *Settings) connectionDescriptors() int {
	all := cmp.Or(s.MaxDescriptors, unknownDescriptors)
	return all - min(fileDescriptors, all/maxFileDescriptors)
}

// callerConnections returns the number of connections that callers may open.
func (s *Settings) callerConnections() int {
	byDescriptors := int(callerDescriptorShare * float64(s.connectionDescriptors()))
	byMemory := int(s.share(connectionMemoryShare) / connectionBytes)
	return cmp.Or(s.Clients.MaxConnections, max(1, min(byDescriptors, byMemory)))
}

// peerConnections returns the number of connections that other hosts may open.
func (s *Settings) peerConnections() int {
	byDescriptors := int(peerDescriptorShare * float64(s.connectionDescriptors()))
	byMemory := int(s.share(peerMemoryShare) / peerConnectionBytes)
	return max(1, min(byDescriptors, byMemory))
}

// frameBytes returns the memory for frames of other hosts that are being received.
func (s *Settings) frameBytes() int64 { return max(minFrameMemory, s.share(frameMemoryShare)) }

// callerLimits returns the limits of the callers' port under a configuration.
func (s *Settings) callerLimits(c fleet.RequestLimits) admission.Limits {
	return admission.Limits{
		Connections:   s.callerConnections(),
		Bytes:         s.requestBytes(),
		HeaderTimeout: cmp.Or(c.HeaderTimeout, headerTimeout),
		IdleTimeout:   max(c.IdleTimeout, idleTimeout),
		AnswerTimeout: cmp.Or(s.Clients.AnswerTimeout, defaultAnswerTimeout),
		MinRate:       cmp.Or(s.Clients.MinBodyRate, defaultMinBodyRate),
		RateWindow:    cmp.Or(s.Clients.RateWindow, defaultRateWindow),
	}
}

// peerLimits returns the limits of the port for other hosts. These send a frame a second at least while
// they know this host.
func (s *Settings) peerLimits() admission.Limits {
	return admission.Limits{
		Connections: s.peerConnections(), Bytes: s.frameBytes(),
		HeaderTimeout: headerTimeout, IdleTimeout: peerIdleTimeout,
		MinRate: defaultMinBodyRate, RateWindow: defaultRateWindow,
	}
}

// operatorLimits returns the limits of the ports for readiness checks and metrics.
func (s *Settings) operatorLimits() admission.Limits {
	return admission.Limits{
		Connections:   max(minOperatorConnections, int(operatorDescriptorShare*float64(s.connectionDescriptors()))),
		Bytes:         operatorBytes,
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, AnswerTimeout: defaultAnswerTimeout,
		MinRate: defaultMinBodyRate, RateWindow: defaultRateWindow,
	}
}

// checkClients adds a finding for each invalid limit, and for limits that contradict each other.
func (s *Settings) checkClients(doc *strictyaml.Document, list *finding.List) {
	require := func(ok bool, field, format string, args ...any) {
		if !ok {
			list.Add(doc.Position(field), field, format, args...)
		}
	}
	c := s.Clients
	require(c.MemoryShare >= 0 && c.MemoryShare <= maxMemoryShare, "clients.memory_share", "must be over 0 and at most %v", maxMemoryShare)
	require(c.MaxConnections >= 0, "clients.max_connections", "must not be negative")
	require(c.MinBodyRate >= 0, "clients.min_body_rate", "must not be negative")
	require(c.RateWindow >= 0, "clients.rate_window", "must not be negative")
	require(c.AnswerTimeout >= 0, "clients.answer_timeout", "must not be negative")
	require(s.Memory <= 0 || s.Memory >= minMemoryMB, "memory_mb", "must be at least %d for a host to serve", minMemoryMB)
	require(s.MaxDescriptors <= 0 || s.MaxDescriptors >= minDescriptors, "max_descriptors", "must be at least %d for a host to serve", minDescriptors)
	room := int(callerDescriptorShare * float64(s.connectionDescriptors()))
	require(s.MaxDescriptors <= 0 || c.MaxConnections <= room, "clients.max_connections", "max_descriptors leaves room for %d", room)
	byMemory := int(s.share(connectionMemoryShare) / connectionBytes)
	require(s.Memory <= 0 || c.MaxConnections <= byMemory, "clients.max_connections", "memory_mb leaves room for %d", byMemory)
}
