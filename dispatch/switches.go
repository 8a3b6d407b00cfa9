package dispatch

// switches turns single mechanisms off. Tests set it to show that the oracle notices;
// it is zero in production.
type switches struct {
	resendUnknown  bool // a task whose outcome is unknown is offered again
	forgetRefusals bool // refused tickets are not recorded
	lateComplete   bool // deadlines are not enforced
	anyAttempt     bool // outcomes are not matched with the attempt in flight
	forgetJobs     bool // jobs are forgotten at their verdict
	anyDigest      bool // reused tickets are not recognized
	partialAnswer  bool // a job is complete with its first result
	secondVerdict  bool // a late result replaces the verdict
	falseNotRun    bool // tasks of a failed job are always said not to have run
	keepRecords    bool // records outlast the lifetime of their ticket
	silentEnd      bool // waiting requests get no reply at the verdict
	forgetHalf     bool // too many refusals are forgotten without a bound
	evictAny       bool // answers are evicted although nobody has fetched them
	leakSlots      bool // dropped jobs keep their slots
}
