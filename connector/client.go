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

// Options of a client; zero values have defaults.
type Options struct {
	// Token is sent as a bearer token.
	Token string
	// ConnectTimeout bounds the opening of a connection (default 500 ms).
	ConnectTimeout time.Duration
	// StallTimeout bounds the time between two bytes of a stream (default 15 s).
	StallTimeout time.Duration
	// RequestTimeout bounds a request without a stream (default 5 s).
	RequestTimeout time.Duration
}

// Client is shared by the adapters to one kind of service.
type Client struct {
	options Options
	http    *http.Client
}

// maxAnswerBytes bounds an answer that is not streamed.
const maxAnswerBytes = 64 << 20

// NewClient returns a client with its own connections.
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
			// A connection that went silent while idle is not used again for long.
			IdleConnTimeout:    10 * time.Second,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// exchange is one request whose progress decides the kind of its error.
type exchange struct {
	operation string
	connected atomic.Bool
}

// send sends a request once. The body's type hides its content from the
// transport, which would otherwise send some requests again by itself after a
// broken connection, for example those with an Idempotency-Key.
func (c *Client) send(ctx context.Context, e *exchange, method, url string, header http.Header, body []byte) (*http.Response, error) {
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
		return nil, provider.NewError(e.operation, e.kind(), err)
	}
	return response, nil
}

// kind is the kind of a transport error: no effect if there was no connection.
func (e *exchange) kind() provider.Kind {
	if e.connected.Load() {
		return provider.KindUnknown
	}
	return provider.KindUnavailable
}

type failure struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// failureOf turns an answer with an error status into an error. Only the kind
// that the other side names is trusted.
func failureOf(operation string, status int, body []byte) error {
	var f failure
	kind := provider.KindUnknown
	if json.Unmarshal(body, &f) == nil && f.Kind != "" {
		kind = provider.ParseKind(f.Kind)
	}
	if kind == provider.KindNone {
		// An error status that calls itself a success says nothing.
		kind = provider.KindUnknown
	}
	return provider.NewError(operation, kind, eris.Errorf("status %d: %s", status, f.Message))
}

// roundTrip sends a JSON value and decodes the answer into result.
func (c *Client) roundTrip(ctx context.Context, operation, method, url string, value, result any) error {
	_, _, err := c.roundTripHeader(ctx, operation, method, url, http.Header{}, value, result)
	return err
}

// roundTripHeader is roundTrip with headers of the request, which also returns the
// answer's status and headers. The status 304 leaves result as it is.
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
	response, err := c.send(ctx, &exchange{operation: operation}, method, url, header, body)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, provider.NewError(operation, provider.KindUnknown, err)
	}
	if response.StatusCode == http.StatusNotModified {
		return response.StatusCode, response.Header, nil
	}
	if response.StatusCode != http.StatusOK {
		return 0, nil, failureOf(operation, response.StatusCode, data)
	}
	if result == nil {
		return response.StatusCode, response.Header, nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return 0, nil, provider.NewError(operation, provider.KindUnknown, err)
	}
	return response.StatusCode, response.Header, nil
}
