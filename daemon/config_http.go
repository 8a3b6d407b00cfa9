package daemon

import (
	"net/http"
	"strconv"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/core"
)

// ConfigReply is the reply to GET /v1/config. Revision is the latest revision, which a publication
// must name as its base. Text is the configuration of revision ShownRevision.
type ConfigReply struct {
	LatestRevision  uint64           `json:"revision"`
	RevisionInForce uint64           `json:"in_force"`
	Problem         string           `json:"problem,omitempty"` // why the latest revision is not in force
	ShownRevision   uint64           `json:"shown"`
	Text            string           `json:"text"`
	History         []config.Summary `json:"history,omitempty"`
}

// ConfigView describes the configuration in a state dump.
type ConfigView struct {
	LatestRevision  uint64            `json:"latest"`
	RevisionInForce uint64            `json:"in_force"`
	Problem         string            `json:"problem,omitempty"`
	Source          core.ConfigSource `json:"source"` // log, snapshot, or peer and its name
	NextOffset      uint64            `json:"next_offset"`
	SeekingSnapshot bool              `json:"seeking_snapshot"`
	LogReadable     bool              `json:"log_readable"`
	History         []config.Summary  `json:"history"`
}

// configView returns the configuration part of a state dump.
func (d *Daemon) configView() ConfigView {
	v := ConfigView{LogReadable: d.configFollower.readable()}
	d.loop.query(func(_ time.Duration, s *core.State) {
		v.LatestRevision, v.RevisionInForce, v.Problem = s.Config.Revision(), s.Config.InForce(), s.Config.Problem()
		v.Source = s.ConfigSource()
		v.NextOffset, v.SeekingSnapshot = s.Config.Next(), s.Config.Seeking()
		v.History = s.Config.History()
	})
	return v
}

// serveConfig replies with the configuration in force, or with that of ?revision=N. With ?history it
// adds the list of revisions; with ?id=ID it replies with the outcome of that publication.
func (d *Daemon) serveConfig(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if id := query.Get("id"); id != "" {
		d.serveOutcome(w, id)
		return
	}
	revision := uint64(0)
	if text := query.Get("revision"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || n == 0 {
			writeJSON(w, http.StatusBadRequest, api.Errorf(api.CodeInvalid, "revision", "revision must be a positive whole number"))
			return
		}
		revision = n
	}
	reply, err := d.configReply(revision, query.Has("history"))
	if err != nil {
		writeJSON(w, http.StatusNotFound, api.Errorf(api.CodeNotFound, "revision", "%v", err))
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// configReply returns the configuration of a revision; 0 selects the revision in force. It returns an
// error if the text of the revision is not available.
func (d *Daemon) configReply(revision uint64, withHistory bool) (reply ConfigReply, err error) {
	d.loop.query(func(_ time.Duration, s *core.State) {
		reply.LatestRevision, reply.RevisionInForce, reply.Problem = s.Config.Revision(), s.Config.InForce(), s.Config.Problem()
		if withHistory {
			reply.History = s.Config.History()
		}
		if revision == 0 && reply.RevisionInForce == 0 {
			return
		}
		reply.ShownRevision = reply.RevisionInForce
		if revision > 0 {
			reply.ShownRevision = revision
		}
		reply.Text, err = s.Config.Text(reply.ShownRevision)
	})
	return reply, err
}

func (d *Daemon) serveOutcome(w http.ResponseWriter, id string) {
	o, ok := d.outcomeOf(id)
	if !ok {
		writeJSON(w, http.StatusNotFound, PublishReply{ID: id, Reason: "this host has not read a record with this identity lately"})
		return
	}
	writeJSON(w, http.StatusOK, publishReply(o))
}
