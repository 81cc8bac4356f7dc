package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// services is how many model services a configuration names, see issue 35.
const services = 25

func serviceName(i int) string { return fmt.Sprintf("model-%02d", i) }

// The operator's document, as far as it is used here.
type (
	document struct {
		Version  uint64   `json:"version"`
		Routes   []route  `json:"routes"`
		Services []target `json:"services"`
		Limits   limits   `json:"limits"`
	}
	route struct {
		Name            string  `json:"name"`
		Authority       string  `json:"authority"`
		PathPrefix      string  `json:"path_prefix"`
		RouteType       string  `json:"route_type"`
		TimeoutMS       float64 `json:"timeout_ms"`
		TargetLatencyMS float64 `json:"target_latency_ms"`
		Priority        int     `json:"priority"`
		Service         string  `json:"service"`
		MaxAttempts     int     `json:"max_attempts"`
	}
	target struct {
		Name           string `json:"name"`
		HealthPath     string `json:"health_path"`
		MaxConnections int    `json:"max_connections"`
		Protocol       string `json:"protocol"`
		Engine         engine `json:"engine"`
	}
	engine struct {
		Slots            int `json:"slots"`
		KVCapacityTokens int `json:"kv_capacity_tokens"`
		ChunkTokens      int `json:"chunk_tokens"`
	}
	limits struct {
		MaxHeaderBytes  int     `json:"max_header_bytes"`
		MaxBodyBytes    int     `json:"max_body_bytes"`
		HeaderTimeoutMS float64 `json:"header_timeout_ms"`
		IdleTimeoutMS   float64 `json:"idle_timeout_ms"`
	}
)

// configuration gives a valid document of at least that many bytes.
func configuration(version uint64, size int) ([]byte, error) {
	d := document{Version: version, Limits: limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15_000}}
	for i := range services {
		d.Services = append(d.Services, target{
			Name: serviceName(i), HealthPath: "/health", MaxConnections: 220, Protocol: "h1",
			Engine: engine{Slots: 24, KVCapacityTokens: 220_394, ChunkTokens: 3},
		})
	}
	for {
		// The path of the first route changes with the version, so that each change changes something.
		for range services {
			no := len(d.Routes)
			prefix := fmt.Sprintf("/prefix-%d/", no)
			if no == 0 {
				prefix = fmt.Sprintf("/version-%d/", version)
			}
			d.Routes = append(d.Routes, route{
				Name: fmt.Sprintf("route-%d", no), Authority: "models.example", PathPrefix: prefix, RouteType: "streaming",
				TimeoutMS: 5000, TargetLatencyMS: 200, Service: serviceName(no % services), MaxAttempts: 1,
			})
		}
		body, err := json.Marshal(d)
		if err != nil || len(body) >= size {
			return body, eris.Wrap(err, "configuration")
		}
	}
}

// operator changes the configuration at the control planes in turn.
type operator struct {
	controls []string
	client   *http.Client
	version  uint64
	turn     int
}

// orderPatience bounds one try of an order.
const orderPatience = 3 * time.Second

// change puts the next version in force and returns it once it is acknowledged.
func (o *operator) change(ctx context.Context, size int) (uint64, error) {
	body, err := configuration(o.version+1, size)
	if err != nil {
		return 0, err
	}
	for {
		err = o.try(ctx, o.controls[o.turn%len(o.controls)], body)
		o.turn++
		if err == nil {
			o.version++
			return o.version, nil
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (o *operator) try(ctx context.Context, control string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, orderPatience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+"/api/Config.Replace", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "order")
	}
	request.Header.Set("Emberquay-Base-Version", strconv.FormatUint(o.version, 10))
	response, err := o.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "order")
	}
	defer response.Body.Close()
	reason, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("order: status %d: %s", response.StatusCode, reason)
	}
	return eris.Wrap(err, "order")
}
