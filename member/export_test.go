package member

// SwitchOff names a mechanism that a test turns off.
type SwitchOff string

// Disable turns one mechanism off.
func (s *State) Disable(what SwitchOff) {
	switch what {
	case "retire":
		s.faults.noRetire = true
	case "refute":
		s.faults.noRefute = true
	case "suspect":
		s.faults.noSuspect = true
	case "revive":
		s.faults.noRevive = true
	case "subset":
		s.faults.noSubset = true
	case "mark":
		s.faults.noMarkRumor = true
	case "bound":
		s.faults.noBound = true
	}
}
