//go:build !linux

package minionsim

import "time"

func sleepUntil(due time.Time) { time.Sleep(time.Until(due)) }
