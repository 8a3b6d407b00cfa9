package platformsim

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/simhttp"
)

const (
	maxRecord   = 1 << 20 // bytes of one record
	maxReadWait = 30 * time.Second
	maxRead     = 1000 // records of one answer
)

func (s *Sim) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	// An accepted append takes effect even if its client has gone, so that a client
	// that timed out meets its own record later.
	if err := s.sync.wait(s.ctx); err != nil {
		simhttp.WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	offset := s.log.append(r.PathValue("stream"), r.Header.Get(logapi.HeaderAppendID), data)
	simhttp.WriteJSON(w, http.StatusOK, logapi.AppendReply{Offset: offset})
}

func (s *Sim) serveRead(w http.ResponseWriter, r *http.Request) {
	q, err := parseReadQuery(r.URL.Query())
	if err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.wait)
	defer cancel()
	reply, kept := s.readOrWait(ctx, r.PathValue("stream"), q)
	status := http.StatusOK
	if !kept {
		status = http.StatusGone
	}
	simhttp.WriteJSON(w, status, reply)
}

// readOrWait reads records and waits for the first one if there is none.
func (s *Sim) readOrWait(ctx context.Context, stream string, q readQuery) (logapi.ReadReply, bool) {
	for {
		reply, kept, grown := s.log.read(stream, q.from, q.limit)
		if !kept || len(reply.Records) > 0 {
			return reply, kept
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return reply, kept
		case <-s.ctx.Done():
			return reply, kept
		}
	}
}

type readQuery struct {
	from  uint64
	wait  time.Duration
	limit int
}

func parseReadQuery(v url.Values) (readQuery, error) {
	from, errFrom := queryUint(v, "from", 0)
	wait, errWait := queryUint(v, "wait_ms", 0)
	limit, errLimit := queryUint(v, "limit", maxRead)
	if err := errors.CombineErrors(errFrom, errors.CombineErrors(errWait, errLimit)); err != nil {
		return readQuery{}, err
	}
	if limit == 0 {
		return readQuery{}, errors.New("limit must be positive")
	}
	return readQuery{
		from:  from,
		wait:  time.Duration(min(wait, uint64(maxReadWait.Milliseconds()))) * time.Millisecond,
		limit: int(min(limit, maxRead)),
	}, nil
}

func queryUint(v url.Values, name string, value uint64) (uint64, error) {
	text := v.Get(name)
	if text == "" {
		return value, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, errors.Wrapf(err, "query parameter %s", name)
}
