package daemon

import (
	"testing"

	"sesameledge.dev/sesameledge/settings"
)

// TestAdvertisedAddress guards against a host that tells its peers the address it listens on although
// the settings advertise another one, or that tells them none if the settings advertise none.
func TestAdvertisedAddress(t *testing.T) {
	s := settings.Defaults()
	s.Listen.Peers = "127.0.0.1:1"
	if got := memberOptions(&s).Address; got != "127.0.0.1:1" {
		t.Errorf("without the setting: %q", got)
	}
	s.Listen.Advertise = "127.0.0.1:2"
	if got := memberOptions(&s).Address; got != "127.0.0.1:2" {
		t.Errorf("with the setting: %q", got)
	}
}
