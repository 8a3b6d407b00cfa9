package fleet

// Evacuation is the operator's newest request about an availability zone.
type Evacuation struct {
	Zone string
	// Requested tells that the zone gets no new work; false means that an earlier request was withdrawn.
	Requested bool
	// Offset is the position of the request in the store. A request with a lower offset is older.
	Offset int64
}
