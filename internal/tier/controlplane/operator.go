package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"emberquay/internal/tier/controlstate"
)

const (
	// versionHeader is the request header that names the version that a change builds on.
	versionHeader = "Emberquay-Base-Version"
	// maxRequestBytes is the maximum size of a request body. It is above MaxConfigurationBytes so that the refusal of a
	// larger configuration can name its size.
	maxRequestBytes = 2 * controlstate.MaxConfigurationBytes
	// requestTimeout bounds the execution of a request. The operator goes on to another node after a second without an
	// answer; a request whose outcome is unknown at the timeout is answered with 503.
	requestTimeout = 3 * time.Second
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// registerOperatorHandlers registers the handlers of the operator API.
func (p *Plane) registerOperatorHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST /api/Config.Replace", func(w http.ResponseWriter, r *http.Request) {
		p.handleConfigurationChange(w, r, controlstate.ReplaceConfiguration)
	})
	mux.HandleFunc("POST /api/Config.Modify", func(w http.ResponseWriter, r *http.Request) {
		p.handleConfigurationChange(w, r, controlstate.ModifyConfiguration)
	})
	mux.HandleFunc("GET /api/Config.Read", p.handleReadConfiguration)
	mux.HandleFunc("POST /api/Retire.Start/{node}", p.handleStartRetirement)
	mux.HandleFunc("GET /api/Retire.Read/{node}", p.handleReadRetirement)
}

func (p *Plane) handleConfigurationChange(w http.ResponseWriter, r *http.Request, kind controlstate.Kind) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "the body cannot be read whole")
		return
	}
	base, err := strconv.ParseUint(r.Header.Get(versionHeader), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, versionHeader+": not a version")
		return
	}
	command := controlstate.Command{Kind: kind, Base: base, HasBase: true, Body: body}
	if refusal := p.checkFitsDisk(r.Context(), command); refusal != "" {
		writeError(w, http.StatusBadRequest, refusal)
		return
	}
	p.proposeAndAnswer(w, r, command)
}

// checkFitsDisk returns why a changed configuration is too large for this machine's disk; empty if it is not, or if that can't
// be told before it is proposed.
func (p *Plane) checkFitsDisk(ctx context.Context, command controlstate.Command) (refusal string) {
	limit, body := p.replica.MaxStateBytes(), 0
	if limit == 0 {
		return ""
	}
	if state := p.committed.Load(); state != nil {
		limit -= state.overheadBytes
		body = state.bodyBytes
	}
	size := len(command.Body)
	if command.Kind == controlstate.ModifyConfiguration && body+size > limit {
		state, err := p.readState(ctx)
		if err != nil {
			return ""
		}
		if size, err = state.ConfigurationBytesAfter(command); err != nil {
			return "" // refused for that when it is proposed
		}
	}
	if size > limit {
		return fmt.Sprintf("the configuration has %d bytes, the disk has room for %d", size, max(0, limit))
	}
	return ""
}

func (p *Plane) handleStartRetirement(w http.ResponseWriter, r *http.Request) {
	var request struct {
		DeadlineSeconds float64 `json:"deadline_s"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&request); err != nil && err != io.EOF {
		writeError(w, http.StatusBadRequest, "the body is not JSON")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout) // of the read and the proposal together
	defer cancel()
	state, err := p.readState(ctx)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "the control state cannot be read now")
		return
	}
	p.proposeAndAnswer(w, r.WithContext(ctx), controlstate.Command{Kind: controlstate.RetireStore, Base: state.Stores().Epoch, HasBase: true,
		Node: r.PathValue("node"), DeadlineSeconds: request.DeadlineSeconds})
}

// proposeAndAnswer proposes a command and answers with its result. If the outcome is unknown it answers with 503, after
// which the operator sends the same request again.
func (p *Plane) proposeAndAnswer(w http.ResponseWriter, r *http.Request, command controlstate.Command) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	startedAt := time.Now()
	result, err := p.propose(ctx, command)
	logger := p.base.Log.WithField("order", r.URL.Path).WithField("base", command.Base).WithField("bytes", len(command.Body)).
		WithField("took_ms", time.Since(startedAt).Milliseconds())
	if err != nil {
		logger.WithError(err).Warn("the outcome of the operator's command is unknown")
		writeError(w, http.StatusServiceUnavailable, "the control state cannot be changed now")
		return
	}
	logger.WithField("status", result.Status).WithField("version", result.Version).Info("operator's command answered")
	if result.Status != http.StatusOK {
		writeError(w, result.Status, result.Message)
		return
	}
	writeJSON(w, struct {
		Version uint64 `json:"version,omitempty"`
	}{result.Version})
}

func (p *Plane) handleReadConfiguration(w http.ResponseWriter, r *http.Request) {
	state, err := p.readState(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "the control state cannot be read now")
		return
	}
	version, body := state.Configuration()
	p.base.Log.WithField("version", version).Info("configuration read")
	if version == 0 {
		writeError(w, http.StatusNotFound, "there is no configuration yet")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (p *Plane) handleReadRetirement(w http.ResponseWriter, r *http.Request) {
	state, err := p.readState(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "the control state cannot be read now")
		return
	}
	retirement := state.Retirement(r.PathValue("node"))
	if retirement == controlstate.RetirementUnknown {
		writeError(w, http.StatusNotFound, "no such store machine is retiring")
		return
	}
	writeJSON(w, struct {
		State string `json:"state"`
	}{retirement.String()})
}

// readState returns the newest control state, which includes every change acknowledged before the call.
func (p *Plane) readState(ctx context.Context) (*controlstate.State, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	snapshot, err := p.replica.Read(ctx)
	if err != nil {
		return nil, err
	}
	return controlstate.Read(snapshot)
}

func writeError(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: reason})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
