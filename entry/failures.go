package entry

import "sesameledge.dev/sesameledge/fleet"

// maxErrorBytes limits an error in a log line that may quote what another process has sent.
const maxErrorBytes = 300

// reportFrameFailure counts and logs a frame that could not be encoded (direction "out") or decoded ("in").
func (h *Host) reportFrameFailure(direction, addr string, err error) {
	counter := &h.frameFailures[0]
	if direction == "in" {
		counter = &h.frameFailures[1]
	}
	counter.Add(1)
	_ = h.logger.Log("part", "mesh", "msg", "frame lost", "direction", direction, "addr", addr, "err", fleet.Printable(err.Error(), maxErrorBytes))
}
