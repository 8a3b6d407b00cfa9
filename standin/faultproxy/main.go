// Command faultproxy runs the fault-injecting TCP proxy of package proxysim between processes under
// test. It stops on a signal or after the time given by --for. Faults are set over the proxy's HTTP
// admin interface.
package main

import (
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/standin/proxysim"
	"sesameledge.dev/sesameledge/standin/simhttp"
)

type args struct {
	Admin string        `default:"127.0.0.1:7420" help:"loopback IP:port of the admin interface"`
	Route []string      `arg:"--route,separate,required" help:"name=listen=target, once for each route"`
	For   time.Duration `default:"1h" help:"stop by itself after this time"`
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	logger := log.With(log.NewLogfmtLogger(os.Stderr), "part", "faultproxy")
	cfg := proxysim.Config{AdminAddress: a.Admin}
	for _, text := range a.Route {
		route, err := proxysim.ParseRoute(text)
		if err != nil {
			parser.Fail(err.Error())
		}
		cfg.Routes = append(cfg.Routes, route)
	}
	proxy := proxysim.New(cfg)
	if err := proxy.Start(); err != nil {
		_ = logger.Log("msg", "Cannot start.", "err", err)
		os.Exit(1)
	}
	defer proxy.Stop()
	for _, r := range proxy.Views() {
		_ = logger.Log("msg", "Forwarding.", "route", r.Name, "listen", r.Listen, "target", r.Target)
	}
	simhttp.WaitForSignalOrTimeout(a.For)
}
