package command

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/finding"
	"sesameledge.dev/sesameledge/internal/pause"
)

// PublishArgs are the arguments that all publishing commands share.
type PublishArgs struct {
	Author string `arg:"--author,env:USER" help:"name of the person who publishes, for the history"`
	Reason string `arg:"--reason,required" help:"reason for the change, for the history"`
	Token  string `arg:"--token,env:SESAMELEDGE_TOKEN" help:"bearer token that allows publishing"`
	Wait   bool   `arg:"--wait" help:"return when every live host has the revision in force"`
}

// ConfigPublishCmd publishes a configuration file.
type ConfigPublishCmd struct {
	File string  `arg:"positional,required"`
	Base *uint64 `arg:"--base" help:"revision that the change is based on; default is the latest"`
	PublishArgs
}

// ConfigRollbackCmd publishes the text of an earlier revision as a new one.
type ConfigRollbackCmd struct {
	Revision uint64 `arg:"positional,required" help:"number of the revision whose text to publish"`
	PublishArgs
}

const (
	// lookupTimeout limits the search for a record whose publication was not confirmed.
	lookupTimeout = 10 * time.Second
	// lookupInterval is the pause between two rounds of that search.
	lookupInterval = 200 * time.Millisecond
)

func (c *ConfigPublishCmd) run(ctx context.Context, a *Args, env Env) error {
	text, err := readConfig(c.File)
	if err != nil {
		return err
	}
	base := c.Base
	if base == nil {
		current, err := a.config(ctx, 0, false)
		if err != nil {
			return err
		}
		base = &current.LatestRevision
	}
	return c.publish(ctx, a, env, text, *base)
}

func (c *ConfigRollbackCmd) run(ctx context.Context, a *Args, env Env) error {
	earlier, err := a.config(ctx, c.Revision, false)
	if err != nil {
		return err
	}
	return c.publish(ctx, a, env, earlier.Text, earlier.LatestRevision)
}

// publish publishes a text based on revision base and prints the outcome. If the answer is lost, it asks
// the hosts for the outcome.
func (p *PublishArgs) publish(ctx context.Context, a *Args, env Env, text string, base uint64) error {
	operators, err := a.operators()
	if err != nil {
		return err
	}
	record := config.Record{
		Schema: config.Schema,
		ID:     rand.Text(),
		Base:   base,
		Author: p.Author,
		Reason: p.Reason,
		Time:   time.Now().UTC(),
		Text:   text,
	}
	reply, err := p.postRecord(ctx, operators[0], &record)
	if err != nil {
		return err
	}
	if !reply.OutcomeKnown {
		reply = lookUpPublication(ctx, operators, record.ID)
	}
	if a.JSON {
		if err := printJSON(env.Out, reply); err != nil {
			return err
		}
	}
	if err := publicationError(reply); err != nil {
		return err
	}
	if !a.JSON {
		fmt.Fprintf(env.Out, "published revision %d\n", reply.Revision)
	}
	if reply.Reason != "" {
		fmt.Fprintf(env.Err, "revision %d is not in force: %s\n", reply.Revision, reply.Reason)
	}
	if p.Wait {
		return awaitInForce(ctx, operators, reply.Revision, env)
	}
	return nil
}

// publicationError returns nil if the record was accepted, and otherwise the error with its exit code.
func publicationError(reply *daemon.PublishReply) error {
	switch {
	case len(reply.Findings) > 0:
		list := finding.Error{Findings: reply.Findings}
		return exitErrorf(ExitUsage, "%s:\n%v", reply.Reason, &list)
	case !reply.OutcomeKnown:
		return exitErrorf(ExitUnknown, "the record %s was not found in the log within %v and may still get there; look for it with config history before publishing again", reply.ID, lookupTimeout)
	case !reply.Accepted:
		return exitErrorf(ExitConflict, "not accepted: %s", reply.Reason)
	}
	return nil
}

// postRecord posts a record at most once. If the answer is lost, it returns a reply without OutcomeKnown and no
// error, because the record may have been published.
func (p *PublishArgs) postRecord(ctx context.Context, operator string, record *config.Record) (*daemon.PublishReply, error) {
	body, err := record.Encode()
	if err != nil {
		return nil, err
	}
	// The transport resends a request whose body it can rewind. MultiReader prevents that, so that the
	// record is not sent twice.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, operator+"/v1/config", io.MultiReader(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	if p.Token != "" {
		req.Header.Set("Authorization", "Bearer "+p.Token)
	}
	unknown := &daemon.PublishReply{ID: record.ID}
	resp, err := httpClientFrom(ctx).Do(req)
	if err != nil {
		return unknown, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return unknown, nil
	}
	reply := new(daemon.PublishReply)
	if json.Unmarshal(text, reply) != nil || reply.ID == "" {
		return nil, exitErrorf(ExitFailed, "not published: %s", errorMessage(text))
	}
	return reply, nil
}

// lookUpPublication asks the hosts in turn for the outcome of a publication until one knows it. After
// lookupTimeout it returns a reply without OutcomeKnown.
func lookUpPublication(ctx context.Context, operators []string, id string) *daemon.PublishReply {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for {
		for _, operator := range operators {
			reply := new(daemon.PublishReply)
			if err := getJSON(ctx, operator+"/v1/config?id="+url.QueryEscape(id), reply); err == nil && reply.OutcomeKnown {
				return reply
			}
		}
		if !pause.For(ctx, lookupInterval) {
			return &daemon.PublishReply{ID: id}
		}
	}
}
