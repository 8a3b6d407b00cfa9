package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/pace"
)

// errNoProgress is the cause of a call that has ended because nothing was received for too long.
var errNoProgress = errors.New("nothing was received for too long")

// progress ends the context of a call when nothing is received for a time. Unlike a limit for the whole call it
// tells a slow link from a server that does not answer.
type progress struct {
	timer *time.Timer
	idle  time.Duration // longest time without anything received, once the answer has begun
}

type progressKey struct{}

// withProgress returns a context that ends if the answer to a call has not begun after first, or if nothing
// more has come for idle. The transport of the call has to be a storeTransport.
func withProgress(ctx context.Context, first, idle time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progress{idle: idle, timer: time.AfterFunc(first, func() { cancel(errNoProgress) })}
	return context.WithValue(ctx, progressKey{}, p), func() {
		p.timer.Stop()
		cancel(nil)
	}
}

// progressError adds to an error that its context has ended for lack of progress.
func progressError(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errNoProgress) {
		return errors.Wrap(err, errNoProgress.Error())
	}
	return err
}

// storeTransport carries calls to the store. It reports what is received to the progress in the context of each
// request, and takes answers no faster than a share of the link, so that those of other calls and the frames of other
// hosts do not wait behind a large one.
type storeTransport struct {
	*http.Transport
	mu   sync.Mutex
	link pace.Link // used by all answers together
}

const (
	// storeReadBytes is how much is read at a time of an answer of the store.
	storeReadBytes = 16 << 10
	// minStorePause is the shortest pause between two reads. A wake-up costs more than it is worth for less.
	minStorePause = 4 * time.Millisecond
)

// newStoreTransport returns a transport for a host whose link has a capacity in bytes a second; 0: not known.
func newStoreTransport(linkBytesPerSecond float64) *storeTransport {
	t := &storeTransport{Transport: newTransport(maxStoreConns, workerIdleTimeout), link: pace.NewLink(linkBytesPerSecond, pace.StoreShare)}
	t.ReadBufferSize = storeReadBytes
	return t
}

// maxStoreConns is the number of unused connections to the store that are kept.
const maxStoreConns = 4

// reserve accounts for received bytes and returns how long to wait before more are read.
func (t *storeTransport) reserve(n int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := sinceBoot()
	t.link.Reserve(now, n)
	return t.link.Backlog(now)
}

// RoundTrip implements http.RoundTripper.
func (t *storeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	p, ok := r.Context().Value(progressKey{}).(*progress)
	if err != nil || !ok {
		return resp, err
	}
	p.timer.Reset(p.idle)
	resp.Body = &progressBody{ReadCloser: resp.Body, progress: p, transport: t}
	return resp, nil
}

// progressBody is the body of an answer.
type progressBody struct {
	io.ReadCloser
	progress  *progress
	transport *storeTransport
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), storeReadBytes)])
	if n > 0 {
		b.progress.timer.Reset(b.progress.idle)
	}
	if wait := b.transport.reserve(n); wait >= minStorePause && err == nil {
		time.Sleep(wait)
	}
	return n, err
}
