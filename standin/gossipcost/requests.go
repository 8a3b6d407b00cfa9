package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/platformsim"
)

// requestTries is how often each request is sent; the first one opens the connection and is
// not counted.
const requestTries = 20

// request is one kind of request that an idle host sends to the platform.
type request struct {
	name string
	send func(context.Context) error
}

// requestCosts prints the bytes of each request that an idle host sends to the platform and
// of its answer.
func requestCosts(ctx context.Context) error {
	sim := platformsim.New(platformsim.Config{HostLag: -1})
	if err := sim.Start(); err != nil {
		return err
	}
	defer sim.Stop()
	client := logapi.NewClient(sim.URL(), time.Second)
	defer client.Close()
	requests, err := idleRequests(ctx, client)
	if err != nil {
		return err
	}
	for _, r := range requests {
		n, err := costOf(ctx, client, r)
		if err != nil {
			return errors.Wrap(err, r.name)
		}
		fmt.Printf("%-30s %4d B\n", r.name, n)
	}
	return nil
}

func idleRequests(ctx context.Context, client *logapi.Client) ([]request, error) {
	host := logapi.Host{ID: "zone-1-host-1", Kind: logapi.KindEntry, Address: "127.0.0.1:40001",
		Identity: "0123456789abcdef", Zone: "zone-1", State: logapi.HostLive}
	if err := client.Register(ctx, host); err != nil {
		return nil, err
	}
	list, err := client.Hosts(ctx, "", 0)
	if err != nil {
		return nil, err
	}
	return []request{
		{"host list, unchanged", func(ctx context.Context) error { _, err := client.Hosts(ctx, list.Tag, time.Millisecond); return err }},
		{"registration, renewed", func(ctx context.Context) error { return client.Register(ctx, host) }},
		{"read of a stream, no records", func(ctx context.Context) error {
			_, err := client.Read(ctx, logapi.StreamConfig, 0, time.Millisecond)
			return err
		}},
	}, nil
}

// costOf returns the mean of the bytes sent and received for a request.
func costOf(ctx context.Context, client *logapi.Client, r request) (uint64, error) {
	if err := r.send(ctx); err != nil {
		return 0, err
	}
	before := client.WireBytes()
	for range requestTries {
		if err := r.send(ctx); err != nil {
			return 0, err
		}
	}
	return (client.WireBytes() - before) / requestTries, nil
}
