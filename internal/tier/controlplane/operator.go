package controlplane

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"emberquay/internal/tier/controlstate"
)

const (
	// versionHeader names the version that a change builds on.
	versionHeader = "Emberquay-Base-Version"
	// maxOrderBytes bounds the body of an order, above the largest configuration that is taken: who sends a larger one
	// hears by how much.
	maxOrderBytes = 2 * controlstate.MaxConfigurationBytes
	// orderTimeout bounds an order: the operator goes on to another node after a second of silence, and an
	// order whose fate is open by then gets no clear answer here.
	orderTimeout = 3 * time.Second
)

// problem is the body of an answer that refuses.
type problem struct {
	Error string `json:"error"`
}

// register puts the operator's API on a mux.
func (p *Plane) registerOperator(mux *http.ServeMux) {
	mux.HandleFunc("POST /api/Config.Replace", func(w http.ResponseWriter, r *http.Request) {
		p.changeConfiguration(w, r, controlstate.ReplaceConfiguration)
	})
	mux.HandleFunc("POST /api/Config.Modify", func(w http.ResponseWriter, r *http.Request) {
		p.changeConfiguration(w, r, controlstate.ModifyConfiguration)
	})
	mux.HandleFunc("GET /api/Config.Read", p.readConfiguration)
	mux.HandleFunc("POST /api/Retire.Start/{node}", p.startRetirement)
	mux.HandleFunc("GET /api/Retire.Read/{node}", p.readRetirement)
}

func (p *Plane) changeConfiguration(w http.ResponseWriter, r *http.Request, kind controlstate.Kind) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "the body cannot be read whole")
		return
	}
	base, err := strconv.ParseUint(r.Header.Get(versionHeader), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, versionHeader+": not a version")
		return
	}
	p.order(w, r, controlstate.Command{Kind: kind, Base: base, HasBase: true, Body: body})
}

func (p *Plane) startRetirement(w http.ResponseWriter, r *http.Request) {
	var order struct {
		DeadlineSeconds float64 `json:"deadline_s"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxOrderBytes)).Decode(&order); err != nil && err != io.EOF {
		refuse(w, http.StatusBadRequest, "the body is not JSON")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), orderTimeout) // of the reading and the order together
	defer cancel()
	state, err := p.readState(ctx)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "the control state cannot be read now")
		return
	}
	p.order(w, r.WithContext(ctx), controlstate.Command{Kind: controlstate.RetireStore, Base: state.Stores().Epoch, HasBase: true,
		Node: r.PathValue("node"), DeadlineSeconds: order.DeadlineSeconds})
}

// order proposes a command and answers with its result. Where the fate is open the answer is a 503, which the
// operator takes as none: it sends the same again.
func (p *Plane) order(w http.ResponseWriter, r *http.Request, command controlstate.Command) {
	ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
	defer cancel()
	result, err := p.propose(ctx, command)
	if err != nil {
		p.base.Log.WithError(err).WithField("order", r.URL.Path).Warn("order of open fate")
		refuse(w, http.StatusServiceUnavailable, "the control state cannot be changed now")
		return
	}
	if result.Status != http.StatusOK {
		refuse(w, result.Status, result.Message)
		return
	}
	answer(w, struct {
		Version uint64 `json:"version,omitempty"`
	}{result.Version})
}

func (p *Plane) readConfiguration(w http.ResponseWriter, r *http.Request) {
	state, err := p.readState(r.Context())
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "the control state cannot be read now")
		return
	}
	version, body := state.Configuration()
	if version == 0 {
		refuse(w, http.StatusNotFound, "there is no configuration yet")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (p *Plane) readRetirement(w http.ResponseWriter, r *http.Request) {
	state, err := p.readState(r.Context())
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "the control state cannot be read now")
		return
	}
	retirement := state.Retirement(r.PathValue("node"))
	if retirement == controlstate.RetirementUnknown {
		refuse(w, http.StatusNotFound, "no such store machine is retiring")
		return
	}
	answer(w, struct {
		State string `json:"state"`
	}{retirement.String()})
}

// readState gives the newest control state: at least as new as all that was acknowledged when it was asked.
func (p *Plane) readState(ctx context.Context) (*controlstate.State, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	snapshot, err := p.replica.Read(ctx)
	if err != nil {
		return nil, err
	}
	state := controlstate.New()
	return state, state.Restore(snapshot)
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{Error: reason})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
