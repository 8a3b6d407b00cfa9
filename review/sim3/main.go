// Command sim3 runs the scripts of the review: it starts the entry hosts as separate processes against stand-ins of the
// store, the minions and the clients, and checks one rule.
//
//	sim3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(*deployment, bool) error{}

// prepare holds the deployments of the cases.
var prepare = map[string]func(dir string, rec *recorder) (*deployment, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: sim3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

const (
	memoryMB     = 284             // of each host
	settleTime   = 2 * time.Second // from when all hosts are ready until the case begins
	startRetries = 3
)

// startDeployment starts the deployment of a case. Another program may take a port before a host does; the deployment
// is then started again on other ports.
func startDeployment(name, dir string, rec *recorder) (d *deployment, err error) {
	for range startRetries {
		if d, err = prepare[name](dir, rec); err != nil {
			return nil, err
		}
		if err = d.start(); err == nil {
			return d, nil
		}
		rec.line("start failed: %v", err)
		d.close()
	}
	return nil, err
}

func runCase(name, path string) int {
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	d, err := startDeployment(name, dir, rec)
	if err == nil {
		defer d.close()
		time.Sleep(settleTime)
		err = cases[name](d, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		rec.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if len(rec.broken) > 0 {
		fmt.Printf("broken %d times, first: %s\n", len(rec.broken), rec.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}
