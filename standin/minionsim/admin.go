package minionsim

import (
	"net/http"

	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/simhttp"
)

// MinionRequest selects the minion of an admin request; "*" selects all.
type MinionRequest struct {
	Minion string `json:"minion"`
	Refuse bool   `json:"refuse,omitempty"` // of POST /admin/leave: refuse tasks from now on
}

// MinionView describes one minion in the answer of GET /admin/minions.
type MinionView struct {
	Host      logapi.Host  `json:"host"`
	Speed     float64      `json:"speed"`
	Up        bool         `json:"up"`
	Running   int          `json:"running"`
	Queued    int          `json:"queued"`
	Fault     FaultRequest `json:"fault"`
	LateTasks LateTasks    `json:"tasks_while_leaving"`
}

func (f *Fleet) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/starts", func(w http.ResponseWriter, _ *http.Request) {
		simhttp.WriteJSON(w, http.StatusOK, f.Starts())
	})
	mux.HandleFunc("DELETE /admin/starts", func(w http.ResponseWriter, _ *http.Request) {
		f.Reset()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /admin/minions", f.serveMinions)
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var req FaultRequest
		serveAction(w, r, &req, func() error { return f.SetFault(req) })
	})
	mux.HandleFunc("POST /admin/leave", f.minionAction(func(req MinionRequest) error {
		return f.Leave(req.Minion, req.Refuse)
	}))
	mux.HandleFunc("POST /admin/crash", f.minionAction(func(req MinionRequest) error {
		return f.forEach(req.Minion, func(m *Minion) error { m.Crash(); return nil })
	}))
	mux.HandleFunc("POST /admin/restart", f.minionAction(func(req MinionRequest) error {
		return f.forEach(req.Minion, func(m *Minion) error { m.Crash(); return m.Start() })
	}))
	return mux
}

func (f *Fleet) minionAction(action func(MinionRequest) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req MinionRequest
		serveAction(w, r, &req, func() error { return action(req) })
	}
}

// forEach applies the action to the selected minions until one fails.
func (f *Fleet) forEach(id string, action func(*Minion) error) error {
	selected, err := f.selectMinions(id)
	if err != nil {
		return err
	}
	for _, m := range selected {
		if err := action(m); err != nil {
			return err
		}
	}
	return nil
}

// serveAction decodes the request, runs the action and answers with 204 or the error.
func serveAction(w http.ResponseWriter, r *http.Request, req any, action func() error) {
	err := simhttp.ReadJSON(r, req)
	if err == nil {
		err = action()
	}
	if err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (f *Fleet) serveMinions(w http.ResponseWriter, _ *http.Request) {
	views := make([]MinionView, 0, len(f.Minions))
	for _, m := range f.Minions {
		views = append(views, m.View())
	}
	simhttp.WriteJSON(w, http.StatusOK, views)
}

// View describes the minion's present state.
func (m *Minion) View() MinionView {
	v := MinionView{Host: m.Host(), Speed: m.Speed, Fault: m.faults.get()}
	m.mu.Lock()
	defer m.mu.Unlock()
	v.LateTasks = m.lateTasks
	if m.process != nil {
		v.Up = true
		v.Running, v.Queued = m.process.runner.load()
	}
	return v
}
