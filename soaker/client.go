package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// response is the result of a caller's request. A lost response has no outcome.
type response struct {
	status  int
	outcome string
	code    string
	message string
	program string
	step    int
	body    []byte
}

// lost reports whether the connection failed or timed out before the whole response arrived.
func (r response) lost() bool { return r.outcome == "" }

// requestTimeout is the timeout of a caller's request. A call may wait for a takeover and the
// store in addition to callTimeout, and a request to end a program may take 10 s.
const requestTimeout = callTimeout + 8*time.Second

// client sends each request to a daemon on a new connection, so that a stalled connection
// affects only one request.
type client struct {
	http http.Client
	key  string
}

func newClient(key string) *client {
	return &client{key: key, http: http.Client{
		Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// send sends one request to a host. It returns a lost response if the connection breaks or times
// out, and checks that no planned stop of the daemon broke it. If the host is down or the dial
// fails, the outcome is notRun.
func (c *client) send(ctx context.Context, h *host, method, path string, headers map[string]string, body []byte) response {
	start, up := h.beginRequest()
	if !up {
		return response{outcome: "notRun", code: "connectionRefused"}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.settings.CallerAddress+path, bytes.NewReader(body))
	if err != nil {
		return response{}
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	httpResponse, err := c.http.Do(request)
	if err == nil {
		defer func() { _ = httpResponse.Body.Close() }()
		var data []byte
		if data, err = io.ReadAll(httpResponse.Body); err == nil {
			return decodeResponse(httpResponse, data)
		}
	}
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return response{outcome: "notRun", code: "connectionRefused"}
	}
	h.testbed.tally.Count("replies lost", 1)
	if ctx.Err() == nil && !isTimeout(err) {
		h.testbed.tally.Check(checkPlannedStop, !h.interruptedByStop(start), "%s interrupted a request during a planned stop: %v", h.name, err)
	}
	return response{}
}

// decodeResponse returns the response with the given body. The outcome is taken from the header,
// or else from the status or the error in the body.
func decodeResponse(httpResponse *http.Response, data []byte) response {
	r := response{
		status: httpResponse.StatusCode, body: data, outcome: httpResponse.Header.Get("Dogwoodweir-Outcome"),
		program: httpResponse.Header.Get("Dogwoodweir-Program"),
	}
	r.step, _ = strconv.Atoi(httpResponse.Header.Get("Dogwoodweir-Step"))
	if httpResponse.StatusCode == http.StatusOK && r.outcome == "" {
		r.outcome = "done"
	}
	var failure struct {
		Error struct{ Code, Message, Outcome string } `json:"error"`
	}
	if json.Unmarshal(data, &failure) == nil && failure.Error.Code != "" {
		r.code, r.message = failure.Error.Code, failure.Error.Message
		if r.outcome == "" {
			r.outcome = failure.Error.Outcome
		}
	}
	return r
}
