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

// PublishArgs are the arguments that publishing commands share.
type PublishArgs struct {
	Author string `arg:"--author,env:USER" help:"who publishes"`
	Reason string `arg:"--reason,required" help:"why"`
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
	// lookupTime is how long a record whose publication was not confirmed is looked for.
	lookupTime = 10 * time.Second
	lookupPoll = 200 * time.Millisecond
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
		base = &current.Revision
	}
	return c.publish(ctx, a, env, text, *base)
}

func (c *ConfigRollbackCmd) run(ctx context.Context, a *Args, env Env) error {
	old, err := a.config(ctx, c.Revision, false)
	if err != nil {
		return err
	}
	return c.publish(ctx, a, env, old.Text, old.Revision)
}

// publish publishes a text and reports the outcome, also if the answer was lost.
func (p *PublishArgs) publish(ctx context.Context, a *Args, env Env, text string, base uint64) error {
	operators, err := a.operators()
	if err != nil {
		return err
	}
	rec := config.Record{
		Schema: config.Schema,
		ID:     rand.Text(),
		Base:   base,
		Author: p.Author,
		Reason: p.Reason,
		Time:   time.Now().UTC(),
		Text:   text,
	}
	reply, err := p.send(ctx, operators[0], &rec)
	if err != nil {
		return err
	}
	if !reply.Known {
		reply = lookUp(ctx, operators, rec.ID)
	}
	if a.JSON {
		if err := printJSON(env.Out, reply); err != nil {
			return err
		}
	}
	if err := published(reply); err != nil {
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

func published(reply *daemon.PublishReply) error {
	switch {
	case len(reply.Findings) > 0:
		list := finding.Error{Findings: reply.Findings}
		return exitWith(ExitUsage, "%s:\n%v", reply.Reason, &list)
	case !reply.Known:
		return exitWith(ExitUnknown, "the record %s was not found in the log within %v and may still get there; look for it with config history before publishing again", reply.ID, lookupTime)
	case !reply.Accepted:
		return exitWith(ExitConflict, "not accepted: %s", reply.Reason)
	}
	return nil
}

// send posts a record once. A lost answer gives a reply that is not known.
func (p *PublishArgs) send(ctx context.Context, operator string, rec *config.Record) (*daemon.PublishReply, error) {
	body, err := rec.Encode()
	if err != nil {
		return nil, err
	}
	// A body that cannot be rewound keeps the transport from sending the record twice.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, operator+"/v1/config", io.MultiReader(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	if p.Token != "" {
		req.Header.Set("Authorization", "Bearer "+p.Token)
	}
	unknown := &daemon.PublishReply{ID: rec.ID}
	resp, err := httpClientOf(ctx).Do(req)
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
		return nil, exitWith(ExitFailed, "not published: %s", message(text))
	}
	return reply, nil
}

// lookUp asks every host for the outcome of a publication until one knows it.
func lookUp(ctx context.Context, operators []string, id string) *daemon.PublishReply {
	ctx, cancel := context.WithTimeout(ctx, lookupTime)
	defer cancel()
	for {
		for _, operator := range operators {
			reply := new(daemon.PublishReply)
			if err := getJSON(ctx, operator+"/v1/config?id="+url.QueryEscape(id), reply); err == nil && reply.Known {
				return reply
			}
		}
		if !pause.For(ctx, lookupPoll) {
			return &daemon.PublishReply{ID: id}
		}
	}
}
