package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/dogwoodweir/dogwoodweir/publisher"
)

const (
	adminPath        = "/admin/v1/"
	maxResponseBytes = 64 << 20
)

// client sends requests to a list of daemons.
type client struct {
	daemons []string
	key     string
	http    *http.Client
}

func newClient(daemons []string, key string, timeout time.Duration) *client {
	return &client{daemons: daemons, key: key, http: &http.Client{Timeout: timeout}}
}

// get sends a GET request to the operators' interface and decodes the response into
// result.
func (c *client) get(ctx context.Context, path string, result any) error {
	return c.send(ctx, http.MethodGet, adminPath+path, nil, result)
}

// send sends a request to the daemons in order until one responds. A request that may
// change something goes to the next daemon only if the connection could not be opened,
// so that a change is never sent twice.
func (c *client) send(ctx context.Context, method, path string, body, result any) error {
	var lastErr error
	for _, daemon := range c.daemons {
		err := c.sendTo(ctx, daemon, method, path, body, result)
		var failure *Error
		if err == nil || !errors.As(err, &failure) || failure.kind != KindUnreachable {
			return err
		}
		lastErr = err
	}
	if lastErr == nil {
		return newError(path, KindUsage, nil, "no daemon given: set -daemon or DOGWOODWEIR_DAEMON")
	}
	return lastErr
}

func (c *client) sendTo(ctx context.Context, daemon, method, path string, body, result any) error {
	response, err := c.open(ctx, daemon, method, path, body, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return newError(path, kindAfterSend(method), err, "response of %s is incomplete", daemon)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return responseError(path, response.StatusCode, data)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return newError(path, kindAfterSend(method), err, "cannot decode the response of %s", daemon)
	}
	return nil
}

// open sends a request and returns the response. The caller reads and closes the body.
func (c *client) open(ctx context.Context, daemon, method, path string, body any, header map[string]string) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, newError(path, KindUsage, err, "cannot encode the request body")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(daemon, "/")+path, reader)
	if err != nil {
		return nil, newError(path, KindUsage, err, "daemon address %q is not a URL", daemon)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		kind := kindAfterSend(method)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			kind = KindUnreachable
		}
		return nil, newError(path, kind, err, "no response from %s", daemon)
	}
	return response, nil
}

// kindAfterSend returns the kind of a failure after the request was sent. Only a failed
// GET is certain to have changed nothing.
func kindAfterSend(method string) Kind {
	if method == http.MethodGet {
		return KindUnreachable
	}
	return KindUnknown
}

// responseError converts the body of an error response to an error. The codes "conflict"
// and "invalid" give a *publisher.Error.
func responseError(path string, status int, data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return newError(path, KindFailed, nil, "status %d: %s", status, strings.TrimSpace(string(data)))
	}
	cause := errors.New(body.Error.Message)
	switch body.Error.Code {
	case "conflict":
		return publisher.NewError(path, publisher.KindConflict, cause, body.Winner)
	case "invalid":
		return publisher.NewError(path, publisher.KindInvalid, cause, nil)
	}
	kind := KindFailed
	if body.Error.Outcome == "unknown" {
		kind = KindUnknown
	}
	text := fmt.Sprintf("%s (%s)", body.Error.Message, body.Error.Code)
	if body.Error.Outcome != "" {
		text += ", outcome " + body.Error.Outcome
	}
	return newError(path, kind, nil, "%s", text)
}
