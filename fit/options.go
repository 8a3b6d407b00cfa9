package fit

import (
	"time"

	"sesameledge.dev/sesameledge/internal/defaults"
)

// Defaults of Options.
const (
	// DefaultCoreHeadroom allows for errors that a correction by the mean leaves: on a worker of 64
	// cores, the sum over its few dozen tasks deviates by about a tenth when declared sizes are off
	// by up to 4 times.
	DefaultCoreHeadroom = 0.1
	// DefaultMemoryHeadroom is larger, since too little memory kills a task and too few cores only
	// slow it down.
	DefaultMemoryHeadroom = 0.2
)

const (
	// capacityRetention is how long CanEverHold counts a capacity after its last worker left the
	// list. It is longer than the restart of a rack takes.
	capacityRetention = 10 * time.Minute
	// refusalPause is how long a worker gets no tasks after it refused one. Reports catch up with
	// its real load in the meantime.
	refusalPause = 200 * time.Millisecond
	// maxCandidates bounds the workers with room that are collected for one task, separately for
	// the local availability zone and for the others. Today's groups are smaller, so every worker
	// with room is a candidate.
	maxCandidates = 64
	// remoteZoneCost is by how large a share of its capacity a worker of another availability zone
	// has to be less loaded to be preferred. With a strict preference for the local zone, zones
	// with more entry hosts than workers for them would fill up while others are idle.
	remoteZoneCost = 0.25
	// sampledWorkers is how many random candidates are compared by load. With the best of all
	// candidates, every entry host would choose the same worker from the same report. With 7 hosts
	// and 70% load, 3 left 14% of the wanted cores without a core and 8 left 17%.
	sampledWorkers = 3
	// taskCoresSamples is the number of tasks over which the average cores of a task are taken.
	taskCoresSamples = 200
	// minTaskCores bounds that average from below.
	minTaskCores = 0.05
	// maxAcceleratorRackLead is how many more tasks of a job a rack may have than the least used
	// rack for the sake of packing accelerators.
	maxAcceleratorRackLead = 4
)

// Options configures a Set.
type Options struct {
	Zone           string // availability zone of this host
	Seed           uint64
	CoreHeadroom   float64 // share of each worker's cores that stays free; 0 means the default
	MemoryHeadroom float64 // share of each worker's memory that stays free; 0 means the default
}

func (o Options) withDefaults() Options {
	defaults.SetIfZero(&o.CoreHeadroom, DefaultCoreHeadroom)
	defaults.SetIfZero(&o.MemoryHeadroom, DefaultMemoryHeadroom)
	return o
}
