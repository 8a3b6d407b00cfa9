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

// JobSubmitCmd submits a job. It resubmits under the same ticket until the outcome is
// final, so that a lost connection neither loses nor repeats the job.
type JobSubmitCmd struct {
	File   string `arg:"positional,required" help:"job in JSON; - reads standard input"`
	NoWait bool   `arg:"--no-wait" help:"print the ticket and return"`
}

// JobGetCmd prints what is known about a job.
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

// pollWait is how long one request waits for the answer of a job.
const pollWait = 5 * time.Second

// maxJobBytes bounds a job file, so that a wrong path does not fill the memory.
const maxJobBytes = 256 << 20

func (c *JobSubmitCmd) run(ctx context.Context, a *Args, env Env) error {
	job, err := readJob(c.File, env.In)
	if err != nil {
		return err
	}
	cl, err := a.client()
	if err != nil {
		return err
	}
	if c.NoWait {
		return c.submitOnly(ctx, cl, job, a, env)
	}
	stop := showProgress(env, fmt.Sprintf("waiting for %d tasks", len(job.Tasks)))
	reply, err := cl.Run(ctx, *job)
	stop()
	if err != nil {
		return exitWith(ExitUnknown, "no final answer: %v", err)
	}
	return printReply(reply, a, env)
}

func (c *JobSubmitCmd) submitOnly(ctx context.Context, cl *client.Client, job *api.Job, a *Args, env Env) error {
	noWait := int64(0)
	job.WaitMS = &noWait
	reply, err := cl.Submit(ctx, job)
	if err != nil {
		return exitWith(ExitUnknown, "%v", err)
	}
	if reply.Outcome == api.Unknown && reply.Reason != nil && reply.Reason.Code == api.CodeRunning && !a.JSON {
		fmt.Fprintln(env.Out, reply.Ticket)
		return nil
	}
	return printReply(reply, a, env)
}

func readJob(path string, in io.Reader) (*api.Job, error) {
	r := in
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, exitWith(ExitUsage, "%v", err)
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	limits := api.Limits{BodyBytes: maxJobBytes, Tasks: maxJobBytes}
	job, refusal := api.DecodeJob(r, limits)
	if refusal != nil {
		return nil, exitWith(ExitUsage, "%s: %v", path, refusal)
	}
	return job, nil
}

func (c *JobGetCmd) run(ctx context.Context, a *Args, env Env) error {
	cl, err := a.client()
	if err != nil {
		return err
	}
	reply, err := cl.Await(ctx, ticket.ID(c.Ticket), 0)
	if err != nil {
		return exitWith(ExitUnknown, "%v", err)
	}
	return printReply(reply, a, env)
}

func (c *JobWaitCmd) run(ctx context.Context, a *Args, env Env) error {
	cl, err := a.client()
	if err != nil {
		return err
	}
	stop := showProgress(env, "waiting")
	defer stop()
	for {
		reply, err := cl.Await(ctx, ticket.ID(c.Ticket), pollWait)
		if ctx.Err() != nil {
			return exitWith(ExitUnknown, "no final answer within %v", a.Timeout)
		}
		if err == nil && reply.Outcome != api.Unknown {
			stop()
			return printReply(reply, a, env)
		}
		time.Sleep(pollWait / 50)
	}
}

func (c *JobCancelCmd) run(ctx context.Context, a *Args, env Env) error {
	cl, err := a.client()
	if err != nil {
		return err
	}
	reply, err := cl.Cancel(ctx, ticket.ID(c.Ticket))
	if err != nil {
		return exitWith(ExitUnknown, "%v", err)
	}
	return printReply(reply, a, env)
}

// printReply prints a reply and maps its outcome to the exit code.
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
		return exitWith(ExitRefused, "not run: %v", r.Reason)
	case api.Unknown:
		return exitWith(ExitUnknown, "%v", r.Reason)
	}
	return exitWith(ExitFailed, "the job failed: %v", r.Reason)
}

func printReplyTable(r *api.Reply, w io.Writer) {
	fmt.Fprintf(w, "ticket   %s\noutcome  %s\nelapsed  %.1f ms\n", r.Ticket, r.Outcome, r.ElapsedMS)
	if len(r.Tasks) == 0 {
		return
	}
	rows := make([][]string, len(r.Tasks))
	for i, t := range r.Tasks {
		rows[i] = []string{fmt.Sprint(t.Index), string(t.State), compact(t.Result)}
	}
	_ = table(w, "task state result", rows)
}

// compact shortens a result to one column of a table.
func compact(result json.RawMessage) string {
	const width = 80
	if len(result) <= width {
		return string(result)
	}
	return string(result[:width]) + "…"
}

// showProgress prints the elapsed time on a terminal until the returned function is called.
func showProgress(env Env, what string) (stop func()) {
	if !env.Terminal {
		return func() {}
	}
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		start := time.Now()
		tick := time.NewTicker(200 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				fmt.Fprintf(env.Err, "\r%s, %.1f s", what, time.Since(start).Seconds())
			case <-done:
				fmt.Fprint(env.Err, "\r\x1b[K")
				return
			}
		}
	}()
	closed := false
	return func() {
		if !closed {
			closed = true
			close(done)
			<-ended
		}
	}
}
