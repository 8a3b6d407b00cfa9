//go:build !linux

package daemon

import (
	"net"

	"github.com/cockroachdb/errors"
)

var errNoSocketFilter = errors.New("this system has no socket filters")

func dropNewConnections(net.Listener) error { return errNoSocketFilter }

func pendingConnections(net.Listener) (int, error) { return 0, errNoSocketFilter }
