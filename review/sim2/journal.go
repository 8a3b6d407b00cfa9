package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// journal writes the record and keeps what the checks need.
type journal struct {
	mu     sync.Mutex
	out    *os.File
	begin  time.Time
	quiet  bool // single starts and ends are only counted
	runs   []taskRun
	active map[string]int // by minion, task and attempt: index in runs
}

// taskRun is a run on a minion.
type taskRun struct {
	minion, task, spec string
	attempt            int64
	begin, end         time.Time
	how                string
}

func newJournal(path string) (*journal, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{out: f, begin: time.Now(), active: make(map[string]int)}, nil
}

// log writes a line with the time in seconds since the start.
func (j *journal) log(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(format, args...)
}

func (j *journal) write(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(j.begin).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = j.out.WriteString(line)
	if os.Getenv("SHOW") != "" {
		fmt.Print(line)
	}
}

func runName(minion, task string, attempt int64) string {
	return fmt.Sprintf("%s/%s/%d", minion, task, attempt)
}

func (j *journal) started(minion, task string, attempt int64, spec string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.active[runName(minion, task, attempt)] = len(j.runs)
	j.runs = append(j.runs, taskRun{minion: minion, task: task, attempt: attempt, spec: spec, begin: time.Now()})
	if !j.quiet {
		j.write("minion %s runs %s attempt %d", minion, task, attempt)
	}
}

func (j *journal) ended(minion, task string, attempt int64, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	name := runName(minion, task, attempt)
	i, ok := j.active[name]
	if !ok {
		return
	}
	delete(j.active, name)
	j.runs[i].end, j.runs[i].how = time.Now(), how
	if !j.quiet {
		j.write("minion %s ends %s attempt %d: %s", minion, task, attempt, how)
	}
}

// all returns the runs so far.
func (j *journal) all() []taskRun {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]taskRun(nil), j.runs...)
}
