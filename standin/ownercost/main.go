// Command ownercost measures what each mode of job ownership costs: response time, messages
// and appends to the platform's log, with the platform up and down. It also measures what
// the proof on idle connections costs and saves when connections go silent. The ways take
// turns on one deployment, so that they run under the same conditions. Package testbed starts
// the deployments.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
)

type args struct {
	Bin    string        `default:"bin" help:"directory of the built programs"`
	Slice  time.Duration `default:"1s" help:"time that one way runs before the next takes its turn"`
	Rounds int           `default:"5" help:"turns of each way for each load"`
	Proof  time.Duration `default:"40s" help:"length of the measurement on silent connections; 0 skips it"`
	Seed   uint64        `default:"1" help:"seeds arrivals and stand-ins"`
	JSON   string        `arg:"--json" help:"also write the report as JSON to this file"`
}

// report is the result of one run.
type report struct {
	Seed        uint64      `json:"seed"`
	LoadAverage [2]string   `json:"load_average"` // at the start and at the end
	Loads       []loadRow   `json:"loads"`
	Outage      []outageRow `json:"outage"`
	Proof       []proofRow  `json:"proof,omitempty"`
	DoubleStart int         `json:"double_starts"`
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, a); err != nil {
		fmt.Fprintln(os.Stderr, "ownercost:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, a args) error {
	r := &report{Seed: a.Seed}
	r.LoadAverage[0] = loadAverage()
	if err := measureModes(ctx, a, r); err != nil {
		return err
	}
	if a.Proof > 0 {
		if err := measureProof(ctx, a, r); err != nil {
			return err
		}
	}
	r.LoadAverage[1] = loadAverage()
	r.print(os.Stdout)
	if a.JSON == "" {
		return nil
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encoding the report")
	}
	return errors.Wrap(os.WriteFile(a.JSON, append(text, '\n'), 0o644), "writing the report")
}

// loadAverage returns the load averages over 1, 5 and 15 minutes, or "unknown".
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}
