package member

// Mechanism names a mechanism of the state machine that a test can turn off.
type Mechanism string

// Disable turns a mechanism off. The empty name turns nothing off.
func (s *State) Disable(mechanism Mechanism) {
	switch mechanism {
	case "retire":
		s.disabled.replacedMemory = true
	case "refute":
		s.disabled.refutation = true
	case "suspect":
		s.disabled.suspicion = true
	case "revive":
		s.disabled.reconnection = true
	case "subset":
		s.disabled.randomSubset = true
	case "mark":
		s.disabled.markRumors = true
	case "bound":
		s.disabled.sizeLimit = true
	}
}
