package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/client"
	"sesameledge.dev/sesameledge/ticket"
)

// JobCmd groups the commands for jobs.
type JobCmd struct {
	Submit *JobSubmitCmd `arg:"subcommand:submit" help:"submit a job and wait for its answer"`
	Get    *JobGetCmd    `arg:"subcommand:get" help:"print what is known about a job now"`
	Wait   *JobWaitCmd   `arg:"subcommand:wait" help:"wait for the answer of a job"`
	Cancel *JobCancelCmd `arg:"subcommand:cancel" help:"cancel a job"`
}

// JobSubmitCmd submits a job and waits for its answer. It resubmits under the same ticket until the
// outcome is final, so that a lost connection neither loses the job nor runs it twice.
type JobSubmitCmd struct {
	File   string `arg:"positional,required" help:"job in JSON; - reads standard input"`
	NoWait bool   `arg:"--no-wait" help:"print the ticket and return without waiting for the answer"`
}

// JobGetCmd prints the present state of a job.
type JobGetCmd struct {
	Ticket string `arg:"positional,required"`
}

// JobWaitCmd waits for the answer of a job.
type JobWaitCmd struct {
	Ticket string `arg:"positional,required"`
}

// JobCancelCmd cancels a job.
type JobCancelCmd struct {
	Ticket string `arg:"positional,required"`
}

// longPollTimeout is how long the host holds one request for the answer of a job.
const longPollTimeout = 5 * time.Second

// maxJobBytes limits the size of a job file, so that a wrong path does not exhaust the memory.
const maxJobBytes = 256 << 20

func (c *JobSubmitCmd) run(ctx context.Context, a *Args, env Env) error {
	job, err := readJob(c.File, env.In)
	if err != nil {
		return err
	}
	jobClient, err := a.client()
	if err != nil {
		return err
	}
	if c.NoWait {
		return c.submitOnly(ctx, jobClient, job, a, env)
	}
	stop := showProgress(env, fmt.Sprintf("waiting for %d tasks", len(job.Tasks)))
	reply, err := jobClient.Run(ctx, *job)
	stop()
	if err != nil {
		return exitErrorf(ExitUnknown, "no final answer: %v", err)
	}
	return printReply(reply, a, env)
}

// submitOnly submits the job without waiting. It prints the ticket of a job that is running, and any other
// reply in full.
func (c *JobSubmitCmd) submitOnly(ctx context.Context, jobClient *client.Client, job *api.Job, a *Args, env Env) error {
	noWait := int64(0)
	job.WaitMS = &noWait
	reply, err := jobClient.Submit(ctx, job)
	if err != nil {
		return exitErrorf(ExitUnknown, "%v", err)
	}
	if reply.Outcome == api.Unknown && reply.Reason != nil && reply.Reason.Code == api.CodeRunning && !a.JSON {
		fmt.Fprintln(env.Out, reply.Ticket)
		return nil
	}
	return printReply(reply, a, env)
}

// readJob decodes and checks a job file; the path "-" means in. The hosts check their own limits.
func readJob(path string, in io.Reader) (*api.Job, error) {
	r := in
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, exitErrorf(ExitUsage, "%v", err)
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	limits := api.Limits{BodyBytes: maxJobBytes, Tasks: maxJobBytes}
	job, refusal := api.DecodeJob(r, limits)
	if refusal != nil {
		return nil, exitErrorf(ExitUsage, "%s: %v", path, refusal)
	}
	return job, nil
}

func (c *JobGetCmd) run(ctx context.Context, a *Args, env Env) error {
	jobClient, err := a.client()
	if err != nil {
		return err
	}
	reply, err := jobClient.Await(ctx, ticket.ID(c.Ticket), 0)
	if err != nil {
		return exitErrorf(ExitUnknown, "%v", err)
	}
	return printReply(reply, a, env)
}

func (c *JobWaitCmd) run(ctx context.Context, a *Args, env Env) error {
	jobClient, err := a.client()
	if err != nil {
		return err
	}
	stop := showProgress(env, "waiting")
	defer stop()
	for {
		reply, err := jobClient.Await(ctx, ticket.ID(c.Ticket), longPollTimeout)
		if ctx.Err() != nil {
			return exitErrorf(ExitUnknown, "no final answer within %v", a.Timeout)
		}
		if err == nil && reply.Outcome != api.Unknown {
			stop()
			return printReply(reply, a, env)
		}
		time.Sleep(longPollTimeout / 50)
	}
}

func (c *JobCancelCmd) run(ctx context.Context, a *Args, env Env) error {
	jobClient, err := a.client()
	if err != nil {
		return err
	}
	reply, err := jobClient.Cancel(ctx, ticket.ID(c.Ticket))
	if err != nil {
		return exitErrorf(ExitUnknown, "%v", err)
	}
	return printReply(reply, a, env)
}

// printReply prints a reply and returns the error that carries the exit code of its outcome.
func printReply(r *api.Reply, a *Args, env Env) error {
	if a.JSON {
		if err := printJSON(env.Out, r); err != nil {
			return err
		}
	} else {
		printReplyTable(r, env.Out)
	}
	switch r.Outcome {
	case api.Complete:
		return nil
	case api.Refused:
		return exitErrorf(ExitRefused, "not run: %v", r.Reason)
	case api.Unknown:
		return exitErrorf(ExitUnknown, "%v", r.Reason)
	}
	return exitErrorf(ExitFailed, "the job failed: %v", r.Reason)
}

func printReplyTable(r *api.Reply, w io.Writer) {
	fmt.Fprintf(w, "ticket   %s\noutcome  %s\nelapsed  %.1f ms\n", r.Ticket, r.Outcome, r.ElapsedMS)
	if len(r.Tasks) == 0 {
		return
	}
	rows := make([][]string, len(r.Tasks))
	for i, t := range r.Tasks {
		rows[i] = []string{fmt.Sprint(t.Index), string(t.State), truncateResult(t.Result)}
	}
	_ = printTable(w, "task state result", rows)
}

// truncateResult cuts a result to the width of its table column.
func truncateResult(result json.RawMessage) string {
	const width = 80
	if len(result) <= width {
		return string(result)
	}
	return string(result[:width]) + "…"
}

// showProgress prints the elapsed time, if env is a terminal, until the returned function is called.
// Further calls of that function do nothing.
func showProgress(env Env, label string) (stop func()) {
	if !env.Terminal {
		return func() {}
	}
	stopped := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		start := time.Now()
		tick := time.NewTicker(200 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				fmt.Fprintf(env.Err, "\r%s, %.1f s", label, time.Since(start).Seconds())
			case <-stopped:
				fmt.Fprint(env.Err, "\r\x1b[K")
				return
			}
		}
	}()
	closed := false
	return func() {
		if !closed {
			closed = true
			close(stopped)
			<-ended
		}
	}
}
