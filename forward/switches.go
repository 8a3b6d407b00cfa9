package forward

// switches turns single mechanisms off. Tests set it to show that the oracle notices;
// it is zero in production.
type switches struct {
	earlyVerdict  bool // "failed" after half of the lifetime
	silenceIsGone bool // an unreachable owner counts as gone
	noVerdict     bool // "unknown" also after the lifetime
	keepAnswered  bool // answered requests are not forgotten
	notReached    bool // a request that may have arrived is said not to have
	noSearch      bool // peers are not asked for the answer of a drained owner
	foundDropped  bool // what the peers answer is dropped
	anyDigest     bool // stored answers go to any job with their ticket
}
