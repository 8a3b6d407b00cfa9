//go:build !linux

package daemon

import (
	"net"

	"github.com/cockroachdb/errors"
)

var errNoFilter = errors.New("this system has no socket filters")

func ignoreOpening(net.Listener) error { return errNoFilter }

func notAccepted(net.Listener) (int, error) { return 0, errNoFilter }
