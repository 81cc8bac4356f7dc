package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/internal/tier/routing"
)

const (
	// operatorRetryDelay is the delay before the first retry; it doubles with each retry.
	operatorRetryDelay = 100 * time.Millisecond
	// operatorMaxRetryDelay bounds the delay between two attempts.
	operatorMaxRetryDelay = time.Second
	// operatorCallTimeout bounds one attempt, so that the next address is tried in time.
	operatorCallTimeout = 3 * time.Second
	// operatorMaxRedirects is the number of consecutive 307 responses that the protocol lets callers follow.
	operatorMaxRedirects = 2
	// operatorMaxReasonBytes bounds the part of a refusal's body that is shown.
	operatorMaxReasonBytes = 300
)

// errOutcomeUnknown means that a change may or may not have been applied. It may be sent again unchanged.
var errOutcomeUnknown = errors.New("no clear answer")

// operatorRefusal is a final response other than 200 OK.
type operatorRefusal struct {
	status int
	reason string
}

func (e *operatorRefusal) Error() string {
	if e.status == http.StatusPreconditionFailed {
		return fmt.Sprintf("refused with %d, another version is in force: %s", e.status, e.reason)
	}
	return fmt.Sprintf("refused with %d: %s", e.status, e.reason)
}

// operatorClient calls the operator API. It tries the addresses in turn until one gives a final answer or the context ends;
// all attempts send the same request, so that a repeated change is acknowledged again.
type operatorClient struct {
	addresses  []string
	retryDelay time.Duration
}

// read returns the current configuration.
func (c *operatorClient) read(ctx context.Context) ([]byte, error) {
	return c.callUntilAnswered(ctx, http.MethodGet, "/api/Config.Read", nil, nil)
}

// replace replaces the whole configuration.
func (c *operatorClient) replace(ctx context.Context, base uint64, body []byte) error {
	header := http.Header{"Content-Type": {"application/json"}, "Emberquay-Base-Version": {strconv.FormatUint(base, 10)}}
	_, err := c.callUntilAnswered(ctx, http.MethodPost, "/api/Config.Replace", header, body)
	return err
}

// callUntilAnswered repeats a call until there is a final answer.
func (c *operatorClient) callUntilAnswered(ctx context.Context, method, path string, header http.Header, body []byte) ([]byte, error) {
	delay := c.retryDelay
	for attempt := 0; ; attempt++ {
		address := c.addresses[attempt%len(c.addresses)]
		response, err := c.call(ctx, method, "http://"+address+path, header, body)
		var refused *operatorRefusal
		if err == nil || errors.As(err, &refused) && !isRetryable(refused.status) {
			return response, err
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, fmt.Errorf("%s%s: %w: %w", address, path, errOutcomeUnknown, err)
		case <-timer.C:
		}
		delay = min(2*delay, operatorMaxRetryDelay)
	}
}

// isRetryable reports whether the same request may succeed after a response with this status.
func isRetryable(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
}

// call makes one attempt.
func (c *operatorClient) call(ctx context.Context, method, url string, header http.Header, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header = header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	client := http.Client{CheckRedirect: checkRedirect}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, routing.MaxBodyBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(responseBody) > routing.MaxBodyBytes:
		return nil, eris.Errorf("response body exceeds %d bytes", routing.MaxBodyBytes)
	case response.StatusCode != http.StatusOK:
		return nil, &operatorRefusal{status: response.StatusCode, reason: reasonText(responseBody)}
	}
	return responseBody, nil
}

func checkRedirect(_ *http.Request, via []*http.Request) error {
	if len(via) > operatorMaxRedirects {
		return eris.Errorf("more than %d consecutive redirects", operatorMaxRedirects)
	}
	return nil
}

// reasonText returns the start of a refusal's body on one line.
func reasonText(responseBody []byte) string {
	return strings.Join(strings.Fields(string(responseBody[:min(len(responseBody), operatorMaxReasonBytes)])), " ")
}
