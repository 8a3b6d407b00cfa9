package fit

import (
	"time"

	"sesameledge.dev/sesameledge/internal/defaults"
)

// Defaults of Options.
const (
	// With a correction by the mean, the sum over the few dozen tasks of a worker of 64
	// cores deviates by about a tenth when sizes are off by up to 4 times.
	DefaultCoreHeadroom = 0.1
	// More than for cores: too little memory kills a task, too few cores slow it down.
	DefaultMemoryHeadroom = 0.2
)

const (
	// shapeMemory is how long a capacity counts for CanEverHold after its last worker
	// left the list: longer than the restart of a rack.
	shapeMemory = 10 * time.Minute
	// refusalPause keeps starts off a worker that refused one, until reports catch up.
	refusalPause = 200 * time.Millisecond
	// maxCandidates bounds the workers that are compared for one task. Today's groups
	// are smaller, so all workers are compared.
	maxCandidates = 64
	// remoteCost is by how much of its capacity a worker of another zone has to be less
	// loaded to be preferred. Zones with more entry hosts than workers for them would
	// fill up otherwise while others are idle.
	remoteCost = 0.25
	// choices is how many random candidates are compared by load. Taking the best of all
	// would make every entry host choose the same worker from the same report. With 7 hosts and
	// 70% load, 3 left 14% of the wanted cores without a core and 8 left 17%.
	choices = 3
	// taskMemory is how many tasks the average size of a task covers.
	taskMemory = 200
	// minTaskCores bounds that average from below.
	minTaskCores = 0.05
	// acceleratorRackSlack is by how many tasks a rack may lead the least used one for
	// the sake of packing accelerators.
	acceleratorRackSlack = 4
)

// Options configures a Set.
type Options struct {
	Zone           string // availability zone of this host
	Seed           uint64
	CoreHeadroom   float64 // share of each worker's cores that stays free; 0 takes the default
	MemoryHeadroom float64 // share of each worker's memory that stays free; 0 takes the default
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.CoreHeadroom, DefaultCoreHeadroom)
	defaults.Set(&o.MemoryHeadroom, DefaultMemoryHeadroom)
	return o
}
