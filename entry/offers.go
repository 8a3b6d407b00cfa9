package entry

import (
	"time"

	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/pace"
	"sesameledge.dev/sesameledge/platform"
)

const (
	// largeReadTime is how long a read of the store may take the link. A configuration that takes longer is left to
	// other hosts for a while, which send it compressed.
	largeReadTime = 100 * time.Millisecond
	// offerTimeout is how long another host has to bring such a configuration. It is shorter than storeTimeout,
	// since nothing is received meanwhile.
	offerTimeout = 500 * time.Millisecond
	// offerCheckInterval is the time between two looks whether the configuration is in force.
	offerCheckInterval = 20 * time.Millisecond
)

// largeBytes returns the size from which on a record is left to other hosts, or 0 if the link is not known.
func largeBytes(linkBytesPerSecond float64) int64 {
	return int64(pace.StoreShare * linkBytesPerSecond * largeReadTime.Seconds())
}

// wantsRecord reports whether a large record of the operator's topic has to be read from the store. It waits for
// another host to bring a configuration that is left to others.
func (h *Host) wantsRecord(key string, size int64, start []byte) bool {
	version, ok := platform.ConfigVersion(start)
	if key != platform.KeyConfig || !ok || !h.leavesToOthers(version) {
		return true
	}
	h.offeredVersion.Store(version)
	h.loop.send(host.ConfigOffered{Version: version})
	begin := time.Now()
	for time.Since(begin) < offerTimeout && h.versionInForce.Load() < version {
		time.Sleep(offerCheckInterval)
	}
	wanted := h.versionInForce.Load() < version
	_ = h.logger.Log("part", "config", "msg", "large configuration offered by the store", "version", version, "bytes", size, "waited", time.Since(begin), "read", wanted)
	return wanted
}

// leavesToOthers reports whether this host waits for others to bring a configuration. Commanders do not, since others get
// it from them, and each version is waited for once.
func (h *Host) leavesToOthers(version int64) bool {
	if h.loop.readsWorkers.Load() {
		return false
	}
	waitedFor := version <= h.offeredVersion.Load()
	return !waitedFor || version <= h.versionInForce.Load()
}
