package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf16"
	"unicode/utf8"
)

// A specification of which a program has kept the first half of a character beyond the basic plane, as it does that cuts
// a text at a number of UTF-16 code units, and one with the whole character. JSON encoders write both in this way.
const (
	cutSpec   = `9000 60 gate 4, caf\u00e9 \ud83d`
	wholeSpec = `9000 60 gate 4, caf\u00e9 \ud83d\ude00`
)

func init() {
	prepare["spec"] = prepareCancel
	cases["spec"] = spec
}

// spec sends jobs and compares the specifications that the minions are told with those that were sent.
func spec(d *deployment, trouble bool) error {
	sent := wholeSpec
	if trouble {
		sent = cutSpec
	}
	for _, m := range d.minions {
		m.onBody = func(m *minion, body []byte) {
			got, ok := rawString(body, "spec")
			d.rec.line("order minion=%s %s", m.id, body)
			if !ok || !slices.Equal(codeUnits(got), codeUnits(sent)) {
				d.rec.breaks("UNASKED minion %s is told to start the spec %q, sent was %q", m.id, got, sent)
			}
		}
	}
	client := newClient()
	for i, h := range d.hosts {
		id := fmt.Sprintf("5bec0000%08x", i+1)
		body := `{"spec":"` + sent + `","phases":[{"count":2,"cpu":9000,"memMb":64,"estimatedMs":60}],"bestEffort":true}`
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+prefix+id, strings.NewReader(body))
		req.Host = hostHeader
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Deadline-Ms", "1500")
		d.rec.line("send job=%s host=%s %s", id, h.name, body)
		resp, err := client.Do(req)
		if err != nil {
			cancel()
			return err
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		cancel()
		d.rec.line("answer job=%s status=%d %s", id, resp.StatusCode, text)
	}
	return nil
}

// rawString returns the text of a string in a JSON object, with its escape sequences.
func rawString(body []byte, field string) (string, bool) {
	_, rest, found := bytes.Cut(body, []byte(`"`+field+`":"`))
	for i := 0; found && i < len(rest); i++ {
		switch rest[i] {
		case '\\':
			i++
		case '"':
			return string(rest[:i]), true
		}
	}
	return "", false
}

// codeUnits returns the UTF-16 code units of the text of a JSON string.
func codeUnits(text string) []uint16 {
	var units []uint16
	for len(text) > 0 {
		if strings.HasPrefix(text, `\u`) && len(text) >= 6 {
			n, _ := strconv.ParseUint(text[2:6], 16, 16)
			units, text = append(units, uint16(n)), text[6:]
			continue
		}
		r, size := utf8.DecodeRuneInString(text)
		units, text = utf16.AppendRune(units, r), text[size:]
	}
	return units
}
