package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of processor times in /proc: one second divided by USER_HZ, which is
// 100 on Linux.
const clockTick = 10 * time.Millisecond

// usage holds the resources that a process uses.
type usage struct {
	cpuTime       time.Duration // user and system time since the start of the process
	residentBytes float64
}

// readUsage reads the processor time and the resident memory of a process from /proc.
func readUsage(pid int) (usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "reading process times")
	}
	// The second field is the program's name in parentheses, which may contain spaces. The
	// indexes below count from the field after it.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return usage{}, errors.New("the process's stat file has too few fields")
	}
	var values [3]int64
	for i, index := range []int{userTime, systemTime, residentPages} {
		if values[i], err = strconv.ParseInt(fields[index], 10, 64); err != nil {
			return usage{}, errors.Wrap(err, "parsing process times")
		}
	}
	return usage{
		cpuTime:       time.Duration(values[0]+values[1]) * clockTick,
		residentBytes: float64(values[2]) * float64(os.Getpagesize()),
	}, nil
}
