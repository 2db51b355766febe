package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Options configures a Client. A zero field means its default.
type Options struct {
	// Token is sent as a bearer token; empty sends none.
	Token string
	// ConnectTimeout limits the time to open a connection (default 500 ms).
	ConnectTimeout time.Duration
	// StallTimeout limits the time without data on a stream (default 15 s).
	StallTimeout time.Duration
	// RequestTimeout limits the time of a request whose response is not streamed (default 5 s).
	RequestTimeout time.Duration
}

// Client is an HTTP client that the types of this package share for one kind of service.
type Client struct {
	options Options
	http    *http.Client
}

// maxResponseBytes limits the size of a response that is not streamed.
const maxResponseBytes = 64 << 20

// NewClient returns a client with its own connection pool.
func NewClient(options Options) *Client {
	if options.ConnectTimeout == 0 {
		options.ConnectTimeout = 500 * time.Millisecond
	}
	if options.StallTimeout == 0 {
		options.StallTimeout = 15 * time.Second
	}
	if options.RequestTimeout == 0 {
		options.RequestTimeout = 5 * time.Second
	}
	dialer := &net.Dialer{Timeout: options.ConnectTimeout, KeepAlive: 5 * time.Second}
	return &Client{options: options, http: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 32,
			// Limits how long a connection that stalled while idle can be reused.
			IdleConnTimeout:    10 * time.Second,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// trackedRequest records whether a request got a connection, which determines the
// kind of a transport error.
type trackedRequest struct {
	operation string
	connected atomic.Bool
}

// send sends a request exactly once. It wraps the body in a plain reader, which the
// transport cannot rewind; otherwise net/http would resend some requests after a
// broken connection, for example those with an Idempotency-Key.
func (c *Client) send(ctx context.Context, e *trackedRequest, method, url string, header http.Header, body []byte) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { e.connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, provider.NewError(e.operation, provider.KindInvalid, err)
	}
	request.ContentLength = int64(len(body))
	if len(body) == 0 && (method == http.MethodGet || method == http.MethodHead) {
		request.Body = nil
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, provider.NewError(e.operation, e.errorKind(), err)
	}
	return response, nil
}

// errorKind returns the kind of a transport error. Without a connection the request was
// not sent.
func (e *trackedRequest) errorKind() provider.Kind {
	if e.connected.Load() {
		return provider.KindUnknown
	}
	return provider.KindUnavailable
}

type errorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// responseError returns the error for a response with an error status. Its kind is the
// one named in the body, not derived from the status; without one it is KindUnknown.
func responseError(operation string, status int, body []byte) error {
	var f errorBody
	kind := provider.KindUnknown
	if json.Unmarshal(body, &f) == nil && f.Kind != "" {
		kind = provider.ParseKind(f.Kind)
	}
	if kind == provider.KindNone {
		// An error status with the kind of a success is contradictory.
		kind = provider.KindUnknown
	}
	return provider.NewError(operation, kind, eris.Errorf("status %d: %s", status, f.Message))
}

// roundTrip sends a JSON value and decodes the JSON response into result.
func (c *Client) roundTrip(ctx context.Context, operation, method, url string, value, result any) error {
	_, _, err := c.roundTripHeader(ctx, operation, method, url, http.Header{}, value, result)
	return err
}

// roundTripHeader is like roundTrip but adds request headers and returns the status and
// headers of the response. A response with status 304 leaves result unchanged.
func (c *Client) roundTripHeader(
	ctx context.Context, operation, method, url string, header http.Header, value, result any,
) (int, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
	defer cancel()
	var body []byte
	if value != nil {
		var err error
		if body, err = json.Marshal(value); err != nil {
			return 0, nil, provider.NewError(operation, provider.KindInvalid, err)
		}
		header.Set("Content-Type", "application/json")
	}
	response, err := c.send(ctx, &trackedRequest{operation: operation}, method, url, header, body)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, provider.NewError(operation, provider.KindUnknown, err)
	}
	if response.StatusCode == http.StatusNotModified {
		return response.StatusCode, response.Header, nil
	}
	if response.StatusCode != http.StatusOK {
		return 0, nil, responseError(operation, response.StatusCode, data)
	}
	if result == nil {
		return response.StatusCode, response.Header, nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return 0, nil, provider.NewError(operation, provider.KindUnknown, err)
	}
	return response.StatusCode, response.Header, nil
}
