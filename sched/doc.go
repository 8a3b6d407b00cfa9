// Package sched schedules the tasks of jobs on the workers that one host commands. It is a
// state machine without I/O, clock or goroutines: Step applies an event at a given time, Place
// starts waiting tasks, and Ready returns the effects to carry out. The results of effects come
// back as events. Times are readings of one steady clock that never goes back.
//
// Package owner decides which cells the host commands; package host turns these decisions into
// TakeWorker and ReleaseWorker events, hands over the jobs and passes the effects on; package entry carries
// them out. Package sched owns the jobs, the runs of their tasks and the leases of the workers.
//
// A host commands a worker under a fencing token; the worker refuses calls with a lower token
// than the highest that it has seen. The worker runs tasks only while its lease lasts. A hold is
// the call that extends the lease and lists the running and the finished runs of the worker. A
// run that may be running is one that the worker runs, or may still start, as far as the host
// knows. A foreign run is one that a worker runs although this host has no record of it.
//
// Invariants, checked by a property test (TestMachine) against a model of a worker:
//
//   - The tasks that may be running on a worker, including those whose start or stop is
//     unanswered, never need more than its capacity.
//   - A task has at most one run that may be running. A run is over only when the worker
//     has listed its end, when the worker can no longer start it, or when its lease has
//     certainly ended.
//   - A lease is extended only while all runs under it are wanted.
package sched
