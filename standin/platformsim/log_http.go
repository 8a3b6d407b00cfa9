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
	maxRecordBytes  = 1 << 20          // maximum size of one record, in bytes
	maxLongPollWait = 30 * time.Second // maximum time that a long poll is held
	maxReadRecords  = 1000             // maximum number of records in one answer
)

func (s *Sim) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	// An accepted append takes effect even if its client has disconnected. A client whose request
	// timed out may thus find its own record in the stream later.
	if err := s.appendLimiter.wait(s.ctx); err != nil {
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

// readOrWait reads records. If there are none, it waits for the next append until ctx ends or the
// Sim stops. It returns false if the offset has been truncated.
func (s *Sim) readOrWait(ctx context.Context, stream string, q readQuery) (logapi.ReadReply, bool) {
	for {
		reply, kept, appended := s.log.read(stream, q.from, q.limit)
		if !kept || len(reply.Records) > 0 {
			return reply, kept
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return reply, kept
		case <-s.ctx.Done():
			return reply, kept
		}
	}
}

// readQuery holds the query parameters of a read request.
type readQuery struct {
	from  uint64
	wait  time.Duration
	limit int // maximum number of records
}

func parseReadQuery(v url.Values) (readQuery, error) {
	from, errFrom := queryUint(v, "from", 0)
	wait, errWait := queryUint(v, "wait_ms", 0)
	limit, errLimit := queryUint(v, "limit", maxReadRecords)
	if err := errors.CombineErrors(errFrom, errors.CombineErrors(errWait, errLimit)); err != nil {
		return readQuery{}, err
	}
	if limit == 0 {
		return readQuery{}, errors.New("limit must be positive")
	}
	return readQuery{
		from:  from,
		wait:  time.Duration(min(wait, uint64(maxLongPollWait.Milliseconds()))) * time.Millisecond,
		limit: int(min(limit, maxReadRecords)),
	}, nil
}

// queryUint parses an unsigned integer query parameter. It returns the fallback if the parameter is
// absent.
func queryUint(v url.Values, name string, fallback uint64) (uint64, error) {
	text := v.Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, errors.Wrapf(err, "query parameter %s", name)
}
