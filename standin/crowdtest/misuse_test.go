package crowdtest

import (
	"bytes"
	"fmt"
	"testing"

	"sesameledge.dev/sesameledge/standin/fleetsim"
)

// endlessHeader is a header that never ends, just short of what an HTTP server of the standard library
// accepts.
func endlessHeader(*deployment) [][]byte {
	return [][]byte{[]byte("POST / HTTP/1.1\r\nHost: " + fleetsim.CallerHost + "\r\nX-Filler: "), bytes.Repeat([]byte("a"), 1_000_000)}
}

// silence is a client that connects and sends nothing.
func silence(*deployment) [][]byte { return nil }

// bomb returns a request with a body of legal size that consists of a start, as many repetitions as
// fit, and an end.
func bomb(start, repeated, end string) func(*deployment) [][]byte {
	body := []byte(start)
	for len(body)+len(repeated)+len(end) <= bodyBytes {
		body = append(body, repeated...)
	}
	body = append(body, end...)
	return func(d *deployment) [][]byte { return [][]byte{declared(d, len(body)), body} }
}

// TestMisuse guards against clients that take memory or descriptors in other ways than by large bodies:
// without sending a request, by answers that they leave unread, by a length that is a lie, or by a body
// that decodes into far more memory than it takes.
func TestMisuse(t *testing.T) {
	for _, f := range []form{
		{name: "silence", make: silence},
		{name: "endless_header", make: endlessHeader},
		{name: "answers_unread", whole: true, deaf: true, make: func(*deployment) [][]byte {
			return [][]byte{bytes.Repeat(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", prefix, fleetsim.CallerHost), 2000)}
		}},
		{name: "length_too_large", whole: true, make: func(d *deployment) [][]byte { return [][]byte{declared(d, 262144), []byte("{")} }},
		{name: "length_too_small", whole: true, make: func(d *deployment) [][]byte { return [][]byte{declared(d, 10), jobBody()} }},
		{name: "deep_nesting", whole: true, make: bomb(`{"phases":`, "[", "")},
		{name: "many_steps", whole: true, make: bomb(`{"phases":[{}`, ",{}", "]}")},
		{name: "huge_number", whole: true, make: bomb(`{"phases":[{"count":1`, "0", "}]}")},
	} {
		t.Run(f.name, func(t *testing.T) {
			d := newServingDeployment(t, 1)
			c := press(d, d.hosts[0].settings.Listen.Callers, crowdSize, f)
			c.settle()
			d.checkServes()
			c.leave()
			d.checkServes()
			d.checkBounds()
		})
	}
}

// TestOtherPorts guards against ports for readiness checks, metrics and other hosts that accept what the
// callers' port does not.
func TestOtherPorts(t *testing.T) {
	for _, port := range []string{"ready", "metrics", "peers"} {
		t.Run(port, func(t *testing.T) {
			d := newServingDeployment(t, 1)
			listen := d.hosts[0].settings.Listen
			addr := map[string]string{"ready": listen.Ready, "metrics": listen.Metrics, "peers": listen.Peers}[port]
			crowds := []*crowd{press(d, addr, crowdSize, form{make: silence})}
			for _, f := range []form{{make: endlessHeader}, bodyForms[0], bodyForms[2]} {
				crowds = append(crowds, press(d, addr, crowdSize/4, f))
			}
			for _, c := range crowds {
				c.settle()
			}
			d.checkServes()
			for _, c := range crowds {
				c.leave()
			}
			d.checkBounds()
		})
	}
}

// TestUnfinishedFrames guards against connections on the port for other hosts on which frames of the
// largest size stop one byte short of their end.
func TestUnfinishedFrames(t *testing.T) {
	d := newServingDeployment(t, 2)
	c := pressFrames(d.hosts[0].settings.Listen.Peers, frameCrowdSize)
	c.settle()
	d.checkServes()
	c.leave()
	d.checkServes()
	d.checkBounds()
}
