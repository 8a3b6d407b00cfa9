package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of processor times in /proc, USER_HZ on Linux.
const clockTick = 10 * time.Millisecond

// usage is what a process has used.
type usage struct {
	cpu    time.Duration
	memory float64 // resident set, bytes
}

// readUsage reads the processor time and the resident memory of a process.
func readUsage(pid int) (usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "reading process times")
	}
	// The program's name stands in parentheses and may hold spaces.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return usage{}, errors.New("process times have an unknown form")
	}
	var values [3]int64
	for i, at := range []int{userTime, systemTime, residentPages} {
		if values[i], err = strconv.ParseInt(fields[at], 10, 64); err != nil {
			return usage{}, errors.Wrap(err, "process times")
		}
	}
	return usage{
		cpu:    time.Duration(values[0]+values[1]) * clockTick,
		memory: float64(values[2]) * float64(os.Getpagesize()),
	}, nil
}
