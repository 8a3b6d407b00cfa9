package host

import "time"

// A fencing token consists of an order part and random low bits. The order part is the time of day, in ms
// up to fenceSlowMillis and in units of fenceSlowUnit from then on, or more if higher tokens are known.
const (
	// fenceRandomBits is the number of low bits of a fencing token that are random. The token stays
	// below 2^53, up to which every JSON decoder is exact.
	fenceRandomBits = 16
	// fenceEpochMillis is the time in Unix ms at which the order part of a token is 0.
	fenceEpochMillis = 1735689600000
	// fenceSlowMillis is the time since fenceEpochMillis from which on the order part grows more slowly.
	// With 1 ms for each unit, as in earlier versions, tokens would reach 2^53 in May 2029; so they last
	// for 150 years more. Until then they are equal to those of earlier versions.
	fenceSlowMillis = 730 * 24 * 3600 * 1000
	fenceSlowUnit   = 64
	// maxFenceOrder is the highest order part. It is reached by no clock of this century, and by losses of
	// cells only after hundreds of thousands in a row.
	maxFenceOrder = fenceLimit>>fenceRandomBits - 1
	// plausibleMillis is the time in Unix ms of 2100, by which tokens from the store are judged.
	plausibleMillis = 4102444800000
	// fenceJumpMillis is added to the time in new tokens after this host has lost a cell. Its
	// workers have then seen a higher token that this host does not know. The jump exceeds that token
	// if the clock of the host that made it is ahead by less than this time. It doubles with each
	// further lost cell.
	fenceJumpMillis = int64(60000)
	// maxCountedLosses limits the doubling.
	maxCountedLosses = 8
	// lossMemory is the time after which a lost cell does not count any more. While the workers have seen
	// a higher token than the host makes, it loses a cell again within seconds.
	lossMemory = 5 * time.Minute
)

// newFence returns a fencing token that is higher than all tokens that the host knows, and below
// fenceLimit. The random part makes it unlikely that two hosts that take a cell at the same time use equal
// tokens.
func (s *State) newFence(now time.Duration) int64 {
	ms := s.opts.UnixMillis + (now - s.opts.Started).Milliseconds()
	order := max(fenceOrder(ms), s.maxFence>>fenceRandomBits+1)
	s.forgetCellLosses(now)
	if s.cellLosses > 0 {
		jump := fenceJumpMillis << (min(s.cellLosses, maxCountedLosses) - 1)
		if order > fenceSlowMillis {
			jump /= fenceSlowUnit
		}
		order += jump
	}
	s.maxFence = min(order, maxFenceOrder)<<fenceRandomBits | s.rng.Int64N(1<<fenceRandomBits)
	return s.maxFence
}

// fenceOrder returns the order part of a token that is made at a time of day in Unix ms.
func fenceOrder(unixMillis int64) int64 {
	ms := unixMillis - fenceEpochMillis
	if ms > fenceSlowMillis {
		ms = fenceSlowMillis + (ms-fenceSlowMillis)/fenceSlowUnit
	}
	return min(max(ms, 0), maxFenceOrder)
}

// PlausibleFence reports whether a token that was read from the store can come from a host. Other programs
// may write there, and a token close to fenceLimit leaves no room for higher ones.
func PlausibleFence(fence int64) bool {
	return fence >= 0 && fence>>fenceRandomBits <= fenceOrder(plausibleMillis)
}

// recordCellLoss counts a lost cell for the next tokens.
func (s *State) recordCellLoss(now time.Duration) {
	s.forgetCellLosses(now)
	s.cellLosses++
	s.cellLostAt = now
}

// forgetCellLosses ends the count of lost cells once lossMemory has passed.
func (s *State) forgetCellLosses(now time.Duration) {
	if now-s.cellLostAt > lossMemory {
		s.cellLosses = 0
	}
}
