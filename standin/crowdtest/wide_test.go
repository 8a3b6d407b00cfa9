package crowdtest

import (
	"sync"
	"testing"
	"time"
)

const (
	// wideTasks is the number of tasks of a wide job, the largest that users name.
	wideTasks = 1800
	// wideCPU is what one of its tasks needs, in thousandths of a core. The workers have room for all.
	wideCPU = 10
	// wideClients is the number of clients, each with one wide job at a time, and wideJobs how many each sends.
	wideClients = 4
	wideJobs    = 3
)

// TestCrowdOfWideJobs guards against a host that runs out of memory or descriptors because it starts and stops all
// tasks of wide jobs at once (review/8).
func TestCrowdOfWideJobs(t *testing.T) {
	d := newServingDeployment(t, 1)
	d.taskCPU.Store(wideCPU)
	var clients sync.WaitGroup
	for range wideClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for range wideJobs {
				_ = d.submitJob(d.hosts[0], "500ms", wideTasks, wideCPU) // may be refused or given up
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	d.checkServes()
	d.checkBounds()
}
