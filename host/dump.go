package host

import (
	"time"

	"sesameledge.dev/sesameledge/sched"
)

// Dump is the state of a host for operators. Times are in ms.
type Dump struct {
	Host          string `json:"host"`
	Zone          string `json:"zone"`
	ID            uint64 `json:"id"`
	Draining      bool   `json:"draining"`
	ConfigVersion int64  `json:"config_version"`
	StoreReached  bool   `json:"store_reached"`
	// Evacuations lists the zones; EvacuationsKnown is false as long as the host does not know which are
	// evacuated. ColdSpeeds are the speeds of cold workers by service, relative to warm ones.
	Evacuations      []EvacuationDump   `json:"evacuations"`
	EvacuationsKnown bool               `json:"evacuations_known"`
	ColdSpeeds       map[string]float64 `json:"cold_speeds"`
	Cells            []CellDump         `json:"cells"`
	Peers            []PeerDump         `json:"peers"`
	Jobs             []JobDump          `json:"jobs"`
	Workers          []sched.WorkerDump `json:"workers"`
	Queues           []sched.QueueDump  `json:"queues"` // whose jobs run on this host's workers
}

// CellDump is a cell that the host commands.
type CellDump struct {
	Cell      string   `json:"cell"`
	Fence     int64    `json:"fence"`
	Releasing bool     `json:"releasing"`
	Held      []string `json:"held"`
	Commanded int      `json:"commanded"`
}

// PeerDump is another host.
type PeerDump struct {
	Name           string   `json:"name"`
	Addr           string   `json:"addr"`
	ID             uint64   `json:"id"`
	Live           bool     `json:"live"`
	ContactAgeMS   int64    `json:"contact_age_ms"`
	Draining       bool     `json:"draining"`
	Cells          []string `json:"cells"`
	ConfigVersion  int64    `json:"config_version"`
	Unacknowledged int      `json:"unacknowledged"`
}

// JobDump is a caller's job.
type JobDump struct {
	Job     string `json:"job"`
	Request string `json:"request"`
	Route   string `json:"route"`
	Cell    string `json:"cell"`
	Host    uint64 `json:"host"`
	AgeMS   int64  `json:"age_ms"`
	LeftMS  int64  `json:"left_ms"`
}

// Dump returns the state for operators.
func (s *State) Dump(now time.Duration) Dump {
	d := Dump{
		Host: s.opts.Self.Name, Zone: s.opts.Self.Zone, ID: s.opts.Self.ID,
		Draining: s.draining, StoreReached: s.storeReachable, Workers: s.sched.Dump(now), Queues: s.sched.Queues(),
		Evacuations: s.Evacuations(now), EvacuationsKnown: s.evacuations.known, ColdSpeeds: s.sched.ColdSpeeds(),
	}
	if s.config != nil {
		d.ConfigVersion = s.config.Version
	}
	for _, c := range s.owner.Claims() {
		d.Cells = append(d.Cells, CellDump{Cell: string(c.Cell), Fence: c.Fence, Releasing: c.Releasing, Held: s.heldWorkers(c.Cell), Commanded: c.CommandedCount})
	}
	for _, p := range s.sortedPeers {
		d.Peers = append(d.Peers, s.dumpPeer(now, p))
	}
	for _, j := range s.sortedJobs() {
		d.Jobs = append(d.Jobs, JobDump{
			Job: j.spec.ID, Request: j.spec.RequestID, Route: j.route.Name, Cell: string(j.cell), Host: j.hostID,
			AgeMS: (now - j.arrived).Milliseconds(), LeftMS: (j.deadline - now).Milliseconds(),
		})
	}
	return d
}

func (s *State) dumpPeer(now time.Duration, p *peer) PeerDump {
	d := PeerDump{
		Name: p.info.GetName(), Addr: p.info.GetAddr(), ID: p.info.GetId(), Live: p.live,
		ContactAgeMS: (now - p.session.LastContact()).Milliseconds(), Draining: p.status.GetDraining(),
		ConfigVersion: p.status.GetConfigVersion(), Unacknowledged: p.session.Unacknowledged(),
	}
	for _, c := range p.status.GetCells() {
		d.Cells = append(d.Cells, c.GetName())
	}
	return d
}
