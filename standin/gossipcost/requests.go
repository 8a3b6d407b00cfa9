package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/platformsim"
)

// countedSends is the number of times that each request is sent and counted. One more request
// before these opens the connection and is not counted.
const countedSends = 20

// request is one kind of request that an idle host sends to the platform.
type request struct {
	name string
	send func(context.Context) error
}

// printRequestSizes prints the size in bytes of each kind of request that an idle host sends to
// the platform, together with its answer.
func printRequestSizes(ctx context.Context) error {
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
		size, err := meanWireBytes(ctx, client, r)
		if err != nil {
			return errors.Wrap(err, r.name)
		}
		fmt.Printf("%-30s %4d B\n", r.name, size)
	}
	return nil
}

// idleRequests registers a host and returns the requests that an idle host repeats.
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

// meanWireBytes returns the mean number of bytes sent and received for a request.
func meanWireBytes(ctx context.Context, client *logapi.Client, r request) (uint64, error) {
	if err := r.send(ctx); err != nil {
		return 0, err
	}
	before := client.WireBytes()
	for range countedSends {
		if err := r.send(ctx); err != nil {
			return 0, err
		}
	}
	return (client.WireBytes() - before) / countedSends, nil
}
