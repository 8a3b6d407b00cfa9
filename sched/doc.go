// Package sched runs jobs on the workers that one host commands. It is a state machine
// without I/O, clock or goroutines: Step takes an event and the time, Ready returns the
// effects to carry out, and their results come back as events.
//
// Invariants, checked by the fuzzer against a model of a worker:
//
//   - The tasks that may be running on a worker, those included whose start or stop is
//     unanswered, never need more than its capacity.
//   - A task has at most one run that may be at work. A run is over only when the worker
//     has listed its end, when the worker can no longer start it, or when its lease has
//     certainly ended.
//   - A lease is extended only while all that runs under it is wanted.
package sched
