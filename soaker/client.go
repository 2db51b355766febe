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

// reply is what a caller gets. A lost reply has no outcome.
type response struct {
	status  int
	outcome string
	code    string
	message string
	program string
	step    int
	body    []byte
}

func (r response) lost() bool { return r.outcome == "" }

// requestTimeout is how long a caller waits; a call may wait for a takeover, the
// store and its own time-out, and an end for 10 s.
const requestTimeout = callTimeout + 8*time.Second

// client sends requests to daemons, each on a new connection, so that a caller
// never depends on one that went silent.
type client struct {
	http http.Client
	key  string
}

func newClient(key string) *client {
	return &client{key: key, http: http.Client{
		Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// send sends one request to a host and returns a lost reply when the connection
// broke or no answer came in time.
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
		h.testbed.tally.Check(checkPlannedStop, !h.interruptedByStop(start), "%s broke off a request while it stopped: %v", h.name, err)
	}
	return response{}
}

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
