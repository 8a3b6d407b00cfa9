package minionsim

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/logapi"
)

// registerTimeout bounds one registration, so that a hanging platform does not keep a
// minion from trying again.
const registerTimeout = 2 * time.Second

// keepRegistered registers the minion and renews the registration until its process ends. Failed
// registrations are tried again at the next interval.
func (m *Minion) keepRegistered(p *process) {
	if m.cfg.Platform == "" {
		return
	}
	ticker := time.NewTicker(m.cfg.Renew)
	defer ticker.Stop()
	for {
		host := m.Host()
		if host.Identity != p.identity {
			return
		}
		_ = register(m.cfg.Platform, host)
		select {
		case <-ticker.C:
		case <-p.ended:
			return
		}
	}
}

// client keeps more idle connections than the default of 2 to one host, since all
// minions of the process renew through it at the same time.
var client = &http.Client{
	Timeout:   registerTimeout,
	Transport: &http.Transport{MaxIdleConnsPerHost: 16},
}

// register posts the host to the platform's list.
func register(base string, host logapi.Host) error {
	return post(base+logapi.PathHosts, host)
}

// reportLeaving marks the minion as leaving in the platform's list.
func (m *Minion) reportLeaving() error {
	if m.cfg.Platform == "" {
		return nil
	}
	url := m.cfg.Platform + logapi.PathHosts + "/" + m.ID + "/state"
	return post(url, map[string]logapi.HostState{"state": logapi.HostLeaving})
}

// post sends v as JSON. A status other than 200 is an error.
func post(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // lets the connection be reused
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("platform answered %s", resp.Status)
	}
	return nil
}
