package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// memoryLimitKB is memory_mb of the settings. The platform kills a process that exceeds it.
	memoryLimitKB = 284 << 10
	// downTime is how long a process is away that was killed for its memory.
	downTime = time.Second
	// wideTasks is the size of the jobs, the largest that the users name.
	wideTasks = 1800
	// wideJobs is the number of clients, each with one job at a time.
	wideJobs = 8
	playTime = 105 * time.Second
)

// residentKB returns the resident memory of a daemon.
func residentKB(h *entryHost) (kb int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			fmt.Sscanf(rest, "%d", &kb)
		}
	}
	return kb
}

// wide: jobs of 1,800 small tasks come at once.
func wide(d *deployment, trouble bool) (int, error) {
	if err := d.startSmall(10000); err != nil {
		return cannot, err
	}
	d.journal.quiet = true
	time.Sleep(contactTime)
	end := time.Now().Add(playTime)
	ended := make(map[*entryHost]int)
	highest := make(map[*entryHost]int)
	count := wideTasks
	if !trouble {
		count = 8
	}
	for i := range wideJobs {
		go func() {
			for n := 0; time.Now().Before(end); n++ {
				id := jobID()
				for try := 0; time.Now().Before(end); try++ {
					h := d.hosts[(i+n+try)%len(d.hosts)]
					a := d.call(h, "POST", id, job("500ms;cpu=10", count, 10, 1, 500*time.Millisecond), 5*time.Second)
					d.journal.log("POST %s (%d tasks) at %s: %v", id, count, h.name, a)
					if a.status != 0 && a.status != 502 {
						break
					}
					time.Sleep(1300 * time.Millisecond)
				}
				time.Sleep(time.Second)
			}
		}()
	}
	logged := time.Now()
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		if time.Since(logged) >= time.Second {
			logged = time.Now()
			d.journal.log("%d runs so far", len(d.journal.all()))
		}
		for _, h := range d.hosts {
			if !h.alive() {
				continue
			}
			kb := residentKB(h)
			highest[h] = max(highest[h], kb)
			if kb > memoryLimitKB {
				d.journal.log("%s has %d MiB and is killed for it", h.name, kb>>10)
				ended[h]++
				d.signal(h, syscall.SIGKILL)
				<-h.done
				go func() {
					time.Sleep(downTime)
					_ = d.start(h)
				}()
			}
		}
	}
	machines := 0
	for _, h := range d.hosts {
		d.journal.log("%s: at most %d MiB, over the limit %d times", h.name, highest[h]>>10, ended[h])
		if ended[h] >= 3 {
			machines++
		}
	}
	d.journal.log("%d runs", len(d.journal.all()))
	if machines >= 2 {
		return broken, nil
	}
	return held, nil
}
