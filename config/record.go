package config

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxRecordBytes limits the size of an encoded record. A snapshot holds up to three
	// records in base64 and must stay below 1 MiB, the platform's limit for one append.
	MaxRecordBytes = 192 << 10
	// maxIDBytes limits the identity of a publication.
	maxIDBytes = 64
	// maxAuthorBytes and maxReasonBytes limit the texts that the history and outcomes copy.
	maxAuthorBytes = 128
	maxReasonBytes = 512
)

// Record is a publication in the config stream. It is encoded as JSON.
type Record struct {
	Schema int       `json:"schema"`
	ID     string    `json:"id"`   // identity of the publication, the same if it is appended again
	Base   uint64    `json:"base"` // revision that the change is based on
	Author string    `json:"author"`
	Reason string    `json:"reason"`
	Time   time.Time `json:"time"` // publisher's clock; only shown to people
	Text   string    `json:"text"` // the whole configuration in YAML
}

// Encode returns the record's JSON.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord decodes and checks a publication before it is appended to the stream. It
// returns an error for an unknown field, a malformed value, or a value that is out of range.
func DecodeRecord(data []byte) (*Record, error) {
	r := new(Record)
	if err := decodeStrict(data, r); err != nil {
		return nil, err
	}
	if _, err := decodeEnvelope(data); err != nil {
		return nil, err
	}
	switch {
	case len(r.Author) > maxAuthorBytes:
		return nil, errors.Newf("author is longer than %d bytes", maxAuthorBytes)
	case len(r.Reason) > maxReasonBytes:
		return nil, errors.Newf("reason is longer than %d bytes", maxReasonBytes)
	}
	return r, nil
}

func decodeStrict(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return errors.Wrap(dec.Decode(into), "the record is not valid")
}

// envelope holds the fields of a record that decide whether it is accepted, and those that
// outcomes copy. All builds read these fields in the same way in every schema version, so that
// old and new builds accept the same records.
type envelope struct {
	Type   string `json:"type"` // empty for a publication
	Schema int    `json:"schema"`
	ID     string `json:"id"`
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// decodeEnvelope decodes the envelope of a publication or a snapshot. It returns an error if
// the record is neither.
func decodeEnvelope(data []byte) (envelope, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return e, errors.Wrap(err, "not a configuration record")
	}
	switch {
	case e.Type == recordTypeSnapshot:
	case e.Type != "":
		return e, errors.Newf("the record type %q is not known", limitBytes(e.Type, maxIDBytes))
	case e.Schema < 1:
		return e, errors.New("schema must be at least 1")
	case e.ID == "" || len(e.ID) > maxIDBytes:
		return e, errors.Newf("id must have 1 to %d bytes", maxIDBytes)
	case len(data) > MaxRecordBytes:
		return e, errors.Newf("the record is larger than %d bytes", MaxRecordBytes)
	}
	e.Author, e.Reason = limitBytes(e.Author, maxAuthorBytes), limitBytes(e.Reason, maxReasonBytes)
	return e, nil
}

// limitBytes returns s, or its first n bytes if it is longer.
func limitBytes(s string, n int) string {
	if len(s) > n {
		return s[:n]
	}
	return s
}
