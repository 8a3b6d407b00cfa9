package entry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/fleet"
)

// TestJobOfClosedConnectionIsNotStarted guards against a job whose tasks are started although its caller
// has closed the connection before, and which the caller may send again.
func TestJobOfClosedConnectionIsNotStarted(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"reset":  func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"closed": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"open":   func(*net.TCPConn) {},
		"more":   func(c *net.TCPConn) { _, _ = c.Write([]byte("GET")) }, // of the next request
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := newTestLoop()
			in := &ingress{host: &Host{settings: &Settings{}, loop: l, logger: log.NewNopLogger(), metrics: newMetrics()}}
			answered := make(chan int, 1)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				time.Sleep(50 * time.Millisecond) // the body is not read, so that the server notes nothing
				w := httptest.NewRecorder()
				in.awaitAnswer(w, r, fleet.Route{}, fleet.JobSpec{})
				answered <- w.Code
			}))
			server.Config.ConnContext = withConn
			server.Start()
			defer server.Close()
			defer close(l.ended)
			conn, err := net.Dial("tcp4", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
			leave(conn.(*net.TCPConn))
			stays := name == "open" || name == "more"
			select {
			case <-l.events:
				if !stays {
					t.Error("the job was handed to the event loop")
				}
			case code := <-answered:
				if stays || code != http.StatusServiceUnavailable {
					t.Errorf("the job was answered %d", code)
				}
			case <-time.After(5 * time.Second):
				t.Error("the job was neither handed on nor answered")
			}
		})
	}
}
