// Package logapi is the client of the platform's services: the append-only log, the list of hosts, and the
// workers. Its types are the JSON messages of the platform's protocol. It leaves retries, and the meaning of
// records, to its callers.
package logapi

import "sesameledge.dev/sesameledge/place"

// Streams of the log that this project uses.
const (
	StreamConfig = "config"
	StreamClaims = "claims"
)

// Paths of the platform's HTTP interface.
const (
	// PathRecords takes POST (append the body as one record) and GET (read).
	PathRecords = "/v1/streams/{stream}/records"
	// PathHosts takes GET (list) and POST (add or renew a host).
	//
	// The platform holds a GET with If-None-Match and the query parameter wait_ms until the list has another
	// tag. If the list is still the same after wait_ms, the status is 304. It answers a POST with Prefer:
	// return=minimal without a body. A platform that does not support these answers the GET at once, and the
	// POST with the host as registered.
	PathHosts = "/v1/hosts"
)

// HeaderAppendID carries the ID of an append. The platform stores the ID with the record, so that the caller
// can find an append whose answer was lost.
const HeaderAppendID = "Append-Id"

// HeaderPrefer with the value PreferMinimal requests an answer without a body (RFC 7240).
const (
	HeaderPrefer  = "Prefer"
	PreferMinimal = "return=minimal"
)

// AppendReply answers an append.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// Record is one log record.
type Record struct {
	Offset   uint64 `json:"offset"`
	AppendID string `json:"append_id,omitempty"`
	Data     []byte `json:"data"`
}

// ReadReply answers GET on PathRecords. The query parameters are from (an offset), wait_ms (how long to wait
// for a record at that offset) and limit (number of records). If from is less than First, the status is 410
// and Records is empty.
type ReadReply struct {
	First   uint64   `json:"first"` // oldest offset that is kept
	Next    uint64   `json:"next"`  // offset of the next append
	Records []Record `json:"records"`
}

// HostKind is the kind of a host in the list.
type HostKind string

// The kinds of host.
const (
	KindEntry  HostKind = "entry"
	KindMinion HostKind = "minion"
	KindWorker HostKind = "worker"
)

// HostState is the state of a host in the list.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry in the platform's list of hosts. The list may lag behind the real state of the hosts.
type Host struct {
	ID           string    `json:"id"`
	Kind         HostKind  `json:"kind"`
	Address      string    `json:"address"`  // IP:port; for entry hosts the peer address
	Identity     string    `json:"identity"` // changes when a new process starts on the same address
	Zone         string    `json:"zone"`
	Group        string    `json:"group,omitempty"` // back-end group of a minion or worker
	State        HostState `json:"state"`
	Slots        int       `json:"slots,omitempty"`
	Connections  int       `json:"connections,omitempty"`
	Cores        float64   `json:"cores,omitempty"`
	MemoryMB     int64     `json:"memory_mb,omitempty"`
	Accelerators int       `json:"accelerators,omitempty"`
	Rack         string    `json:"rack,omitempty"`
}

// HostListReply answers GET on PathHosts.
type HostListReply struct {
	Version uint64 `json:"version"` // increases with each change of the list
	Hosts   []Host `json:"hosts"`
}

// Endpoint converts a minion or worker to an endpoint of package place.
func (h *Host) Endpoint() place.Endpoint {
	return place.Endpoint{
		ID:       place.EndpointID(h.ID),
		Address:  h.Address,
		Identity: h.Identity,
		Zone:     h.Zone,
		Group:    h.Group,
		Slots:    h.Slots,
		Leaving:  h.State == HostLeaving,
		Worker:   h.Kind == KindWorker,
		Capacity: place.Size{Cores: h.Cores, MemoryMB: h.MemoryMB, Accelerators: h.Accelerators},
		Rack:     h.Rack,
	}
}
