package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// print writes the report as Markdown tables.
func (r *report) print(w io.Writer) {
	fmt.Fprintf(w, "seed %d, load average %s before and %s after, double starts %d\n",
		r.Seed, r.LoadAverage[0], r.LoadAverage[1], r.DoubleStart)
	fmt.Fprintln(w)
	r.printLoads(w)
	r.printOutage(w)
	if len(r.Proof) > 0 {
		r.printProof(w)
	}
}

func (r *report) printLoads(w io.Writer) {
	fmt.Fprintln(w, "| tasks | jobs/s | way | jobs | answers | p50 ms | p99 ms | p50 over unprotected | p99 over unprotected | caller-host | host-host | host-minions | appends | platform B |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, l := range r.Loads {
		fmt.Fprintf(w, "| %d | %g | %s | %d | %s | %.1f | %.1f | %.2f | %.2f | %.2f | %.2f | %.2f | %.3f | %.0f |\n",
			l.Tasks, l.Rate, l.Mode, l.Jobs, answers(l.Answers), l.P50, l.P99, l.P50Over, l.P99Over,
			l.CallerHost, l.HostHost, l.HostMinions, l.Appends, l.PlatformBytes)
	}
	fmt.Fprintln(w)
}

func (r *report) printOutage(w io.Writer) {
	fmt.Fprintln(w, "| platform down: way | jobs | answers | task starts | p50 ms | p99 ms |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, o := range r.Outage {
		fmt.Fprintf(w, "| %s | %d | %s | %d | %.1f | %.1f |\n", o.Mode, o.Jobs, answers(o.Answers), o.Starts, o.P50, o.P99)
	}
	fmt.Fprintln(w)
}

func (r *report) printProof(w io.Writer) {
	fmt.Fprintln(w, "| prove_idle_after | jobs | lost | answers | task messages per job | proofs per job | dials per job | p50 ms | p99 ms |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	for _, p := range r.Proof {
		fmt.Fprintf(w, "| %s | %d | %d | %s | %.2f | %.2f | %.2f | %.1f | %.1f |\n",
			p.After, p.Jobs, p.Lost, answers(p.Answers), p.Messages, p.Proofs, p.Dials, p.P50, p.P99)
	}
}

// answers lists the numbers of each answer.
func answers(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
