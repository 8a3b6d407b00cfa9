package daemon

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/x509"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/finding"
	"sesameledge.dev/sesameledge/logapi"
)

// publishTimeout limits the wait for the outcome of a publication. It is longer than the platform's
// queue of appends in a burst of a few hundred publications.
const publishTimeout = 5 * time.Second

// PublishReply is the reply to POST /v1/config and GET /v1/config?id=. OutcomeKnown is false while it is
// unknown whether the record is in the log. The publisher should then look up the record's identity
// before it publishes the change again under another one.
type PublishReply struct {
	ID           string            `json:"id"`
	OutcomeKnown bool              `json:"known"`
	Accepted     bool              `json:"accepted"`
	Revision     uint64            `json:"revision"`
	Reason       string            `json:"reason,omitempty"`
	Winner       *config.Winner    `json:"winner,omitempty"`
	Findings     []finding.Finding `json:"findings,omitempty"`
}

// outcomeWaiters holds the requests that wait for the outcome of their publication. The event loop's
// goroutine delivers the outcomes, so that none is missed although config.Fold remembers outcomes only
// for a short time.
type outcomeWaiters struct {
	mu      sync.Mutex
	waiting map[string][]chan config.Outcome
}

// add registers for the outcome of a publication. The channel has room for one outcome. The returned
// function ends the registration.
func (p *outcomeWaiters) add(id string) (<-chan config.Outcome, func()) {
	ch := make(chan config.Outcome, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = make(map[string][]chan config.Outcome)
	}
	p.waiting[id] = append(p.waiting[id], ch)
	return ch, func() { p.remove(id, ch) }
}

func (p *outcomeWaiters) remove(id string, ch chan config.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.waiting[id][:0]
	for _, c := range p.waiting[id] {
		if c != ch {
			kept = append(kept, c)
		}
	}
	p.waiting[id] = kept
	if len(kept) == 0 {
		delete(p.waiting, id)
	}
}

func (p *outcomeWaiters) deliver(o config.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ch := range p.waiting[o.ID] {
		ch <- o
	}
	delete(p.waiting, o.ID)
}

// servePublish validates a publication, appends it to the log, and waits until config.Fold has
// accepted or rejected it.
func (d *Daemon) servePublish(w http.ResponseWriter, r *http.Request) {
	if !d.hasPublishToken(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeJSON(w, http.StatusUnauthorized, api.Errorf(api.CodeUnauthorized, "", "publishing needs a bearer token that this host accepts"))
		return
	}
	publisher, ok := d.publisherName(r)
	if !ok {
		writeJSON(w, http.StatusForbidden, api.Errorf(api.CodePublisher, "", "no name in the client certificate is among the publishers that this host accepts"))
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, config.MaxRecordBytes+1))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, api.Errorf(api.CodeMalformed, "", "the body could not be read: %v", err))
		return
	}
	rec, refusal := checkPublication(data)
	if refusal != nil {
		writeJSON(w, http.StatusBadRequest, refusal)
		return
	}
	if publisher != "" {
		rec.Author = publisher
	}
	outcome, err := d.publish(r.Context(), rec)
	switch {
	case errors.Is(err, errOutcomeUnknown):
		writeJSON(w, http.StatusAccepted, PublishReply{ID: rec.ID, Reason: err.Error()})
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, api.Errorf(api.CodeLogUnavailable, "", "not published: %v", err))
	case !outcome.Accepted:
		writeJSON(w, http.StatusConflict, publishReply(outcome))
	default:
		writeJSON(w, http.StatusOK, publishReply(outcome))
	}
}

func publishReply(o config.Outcome) PublishReply {
	return PublishReply{ID: o.ID, OutcomeKnown: true, Accepted: o.Accepted, Revision: o.Revision, Reason: o.Reason, Winner: o.Winner}
}

// hasPublishToken reports whether the request has one of the bearer tokens in the settings. If the
// settings list none, everyone who can reach the operators' address may publish.
func (d *Daemon) hasPublishToken(r *http.Request) bool {
	tokens := d.settings.Operators.PublishTokens
	if len(tokens) == 0 {
		return true
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	got := sha256.Sum256([]byte(token))
	match := 0
	// Hashes of equal length and a loop without early exit make the duration independent of the token.
	for _, t := range tokens {
		want := sha256.Sum256([]byte(t))
		match |= subtle.ConstantTimeCompare(got[:], want[:])
	}
	return ok && match == 1
}

// publisherName returns the name under which the request's client certificate may publish, or false if
// it may not. The name is empty if the settings list no publishers.
func (d *Daemon) publisherName(r *http.Request) (string, bool) {
	allowed := d.settings.Operators.Publishers
	if len(allowed) == 0 {
		return "", true
	}
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return "", false
	}
	for _, name := range certificateNames(r.TLS.VerifiedChains[0][0]) {
		if slices.Contains(allowed, name) {
			return name, true
		}
	}
	return "", false
}

// certificateNames returns the names in a certificate: the common name, then the DNS names, then the
// URIs.
func certificateNames(cert *x509.Certificate) []string {
	names := append([]string{cert.Subject.CommonName}, cert.DNSNames...)
	for _, uri := range cert.URIs {
		names = append(names, uri.String())
	}
	return names
}

// checkPublication validates a whole record before it is appended. A record of a schema version that
// this build does not know must be published through a newer host. The second result is the body of
// the refusal, or nil.
func checkPublication(data []byte) (*config.Record, any) {
	rec, err := config.DecodeRecord(data)
	if err != nil {
		return nil, api.Errorf(api.CodeMalformed, "", "%v", err)
	}
	if rec.Schema > config.Schema {
		return nil, api.Errorf(api.CodeSchema, "schema", "this host can check schema 1 to %d only; publish through a newer host", config.Schema)
	}
	var list finding.List
	config.Parse("", []byte(rec.Text), &list)
	if !list.Empty() {
		return nil, PublishReply{ID: rec.ID, OutcomeKnown: true, Reason: "not published: the configuration has findings", Findings: list.Findings()}
	}
	return rec, nil
}

// errOutcomeUnknown means that the record may be in the log or may still be appended.
var errOutcomeUnknown = errors.New("it is not known yet whether the record was published; look its identity up before publishing again")

// publish appends a record and waits until config.Fold has accepted or rejected it. A record whose
// identity the fold already knows is not appended again. If the answer to the append is lost, the
// record is recognised by its identity when the follower reads it.
func (d *Daemon) publish(ctx context.Context, rec *config.Record) (config.Outcome, error) {
	data, err := rec.Encode()
	if err != nil {
		return config.Outcome{}, errors.Wrap(err, "encoding the record")
	}
	outcomes, unregister := d.outcomeWaiters.add(rec.ID)
	defer unregister()
	if o, ok := d.outcomeOf(rec.ID); ok {
		return o, nil
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	_, err = d.platform.Append(ctx, logapi.StreamConfig, rec.ID, data)
	if err != nil && !errors.Is(err, logapi.ErrAmbiguous) {
		return config.Outcome{}, err
	}
	if err != nil {
		level.Warn(d.logs.config).Log("msg", "the answer to an append was lost; looking for the record in the log", "id", rec.ID, "err", err)
	}
	return d.awaitOutcome(ctx, rec.ID, outcomes)
}

// outcomePollInterval is the pause between look-ups of an outcome that may have arrived with a peer's
// snapshot. Outcomes read from the log are delivered without polling.
const outcomePollInterval = 200 * time.Millisecond

func (d *Daemon) awaitOutcome(ctx context.Context, id string, outcomes <-chan config.Outcome) (config.Outcome, error) {
	poll := time.NewTicker(outcomePollInterval)
	defer poll.Stop()
	for {
		select {
		case o := <-outcomes:
			return o, nil
		case <-poll.C:
			if o, ok := d.outcomeOf(id); ok {
				return o, nil
			}
		case <-ctx.Done():
			return config.Outcome{}, errOutcomeUnknown
		}
	}
}

func (d *Daemon) outcomeOf(id string) (config.Outcome, bool) {
	var o config.Outcome
	var ok bool
	d.loop.query(func(_ time.Duration, s *core.State) { o, ok = s.Config.OutcomeOf(id) })
	return o, ok
}
