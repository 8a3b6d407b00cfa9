package dispatch

// faults selects faults to inject: each field switches one mechanism off. Tests set single fields to
// show that the model test detects the fault. In production all fields are false.
type faults struct {
	retryUnknownOutcomes   bool // a task whose outcome is unknown is offered again
	omitRefusalRecords     bool // refused tickets are not recorded
	ignoreDeadlines        bool // deadlines are not enforced
	acceptAnyAttempt       bool // outcomes of attempts other than the one in flight are accepted
	forgetEndedJobs        bool // a job's record is deleted with its final reply
	acceptAnyDigest        bool // the use of a ticket for a second job is not recognized
	completeOnFirstResult  bool // a job is answered as complete with its first result
	replaceFinalReply      bool // a late result replaces the final reply
	reportAllNotRun        bool // all tasks of a failed job are reported as not run
	keepExpiredRecords     bool // records are kept after the lifetime of their ticket
	omitFinalReplies       bool // waiting requests get no final reply
	omitRefusalBound       bool // surplus refusal records are deleted without raising the bound
	evictUnfetchedAnswers  bool // answers that nobody has fetched may be evicted
	keepSlotsOfDroppedJobs bool // slots of dropped jobs are not freed
}
