package forward

// switches turns single mechanisms off. Tests set it to show that the oracle notices;
// it is zero in production.
type switches struct {
	earlyVerdict  bool // "failed" after half of the lifetime
	silenceIsGone bool // an unreachable owner counts as gone
	noVerdict     bool // "unknown" also after the lifetime
	keepAnswered  bool // answered requests are not forgotten
}
