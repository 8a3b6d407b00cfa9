package forward

// faults selects faults to inject: each field switches one mechanism off or breaks it. Tests set
// single fields to show that the model test detects the fault. In production all fields are false.
type faults struct {
	failAfterHalfLifetime  bool // "failed" is answered after half of the lifetime
	treatUnreachableAsGone bool // an owner that cannot be reached counts as gone
	neverFail              bool // "failed" is never answered, not even after the lifetime
	keepAnsweredRequests   bool // answered requests are not deleted
	reportAllNotForwarded  bool // all requests are reported as not forwarded
	skipSearch             bool // peers are not asked for the answer of a drained owner
	dropFoundAnswers       bool // answers found at the peers are dropped
	acceptAnyDigest        bool // a stored answer is given to any job with its ticket
}
