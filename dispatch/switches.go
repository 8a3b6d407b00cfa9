package dispatch

// switches turns single mechanisms off. Tests set it to show that the oracle notices;
// it is zero in production.
type switches struct {
	resendUnknown  bool // a task whose outcome is unknown is offered again
	forgetRefusals bool // refused tickets are not recorded
	lateComplete   bool // deadlines are not enforced
	anyAttempt     bool // outcomes are not matched with the attempt in flight
	forgetJobs     bool // jobs are forgotten at their verdict
	anyDigest      bool // reused tickets are not recognised
	partialAnswer  bool // a job is complete although a result is missing
	startEnded     bool // jobs with a verdict stay in the queue
	secondVerdict  bool // an outcome after the verdict replaces it
}
