package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/place"
)

// TestCancel guards against one message for each task, against a cancellation that waits behind the tasks
// it cancels, and against a failed cancellation that is reported as done.
func TestCancel(t *testing.T) {
	status := http.StatusOK
	release := make(chan struct{})
	messages := make(chan CancelRequest, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != PathCancel {
			<-release
			return
		}
		var req CancelRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			t.Error(err)
		}
		messages <- req
		w.WriteHeader(status)
	}))
	defer server.Close()
	defer close(release)
	address := server.Listener.Addr().String()
	c := newClient(t, Options{ConnsPerMinion: 1, CancelTimeout: 500 * time.Millisecond})
	go runTask(c, &fakeMinion{address: address}, 1, 2*time.Second)
	time.Sleep(20 * time.Millisecond)

	cancel := dispatch.CancelAttempts{
		Endpoint: place.Endpoint{Address: address},
		Tasks:    []dispatch.TaskRef{{Ticket: "a", Index: 1}, {Ticket: "b", Index: 2}},
	}
	if err := c.Cancel(context.Background(), cancel); err != nil {
		t.Fatal(err)
	}
	got := <-messages
	if len(got.Tasks) != 2 || got.Tasks[1] != (CancelTask{Ticket: "b", Index: 2}) || len(messages) != 0 {
		t.Fatalf("got %+v and %d more messages", got, len(messages))
	}
	status = http.StatusBadRequest
	if err := c.Cancel(context.Background(), cancel); err == nil {
		t.Fatal("status 400 accepted")
	}
	m := newFakeMinion(t, runAndAnswer)
	m.silenced.Lock()
	defer m.silenced.Unlock()
	cancel.Endpoint.Address = m.address
	if err := c.Cancel(context.Background(), cancel); err == nil {
		t.Fatal("silence accepted")
	}
	if n := c.Counters().CancelMessages; n != 3 {
		t.Fatalf("counted %d messages, want 3", n)
	}
}
