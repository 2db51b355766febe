package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// callerHeader carries the name of the calling host.
const callerHeader = "Dogwoodweir-Caller"

// Defaults of StoreOptions.
const (
	// DefaultStoreTimeout limits one request to the store. It is a third of the default
	// lease, so that time remains to read back and retry after a lost response.
	DefaultStoreTimeout = 2 * time.Second
	// DefaultDialTimeout limits the time to open a connection.
	DefaultDialTimeout = time.Second
)

// StoreOptions configures a client of the table service or the object store.
type StoreOptions struct {
	// URL is the base URL, such as http://127.0.0.1:9000.
	URL string
	// Token is sent as a bearer token; empty sends none.
	Token string
	// Caller is the name of the calling host.
	Caller string
	// Timeout limits one request; 0 means DefaultStoreTimeout.
	Timeout time.Duration
}

// storeClient sends requests to the table service or the object store.
type storeClient struct {
	options   StoreOptions
	client    *http.Client
	transport *http.Transport
}

func newStoreClient(options StoreOptions) storeClient {
	if options.Timeout == 0 {
		options.Timeout = DefaultStoreTimeout
	}
	options.URL = strings.TrimSuffix(options.URL, "/")
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: min(DefaultDialTimeout, options.Timeout)}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return storeClient{options: options, client: &http.Client{Transport: transport}, transport: transport}
}

// request is one request to a store.
type request struct {
	operation string
	method    string
	path      string
	body      []byte
	// mutates marks a request that changes the store. It is sent once; without a response
	// its outcome is unknown.
	mutates bool
}

// do sends a request. One that does not change the store is sent a second time on a new
// connection if its outcome is unknown.
func (c storeClient) do(ctx context.Context, r request) ([]byte, error) {
	body, err := c.send(ctx, r)
	if r.mutates || err == nil || provider.KindOf(err) != provider.KindUnknown || ctx.Err() != nil {
		return body, err
	}
	c.transport.CloseIdleConnections()
	body, err = c.send(ctx, r)
	if provider.KindOf(err) == provider.KindUnknown {
		err = provider.NewError(r.operation, provider.KindUnavailable, err)
	}
	return body, err
}

func (c storeClient) send(ctx context.Context, r request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, c.options.URL+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, provider.NewError(r.operation, provider.KindInvalid, err)
	}
	// Without GetBody the transport cannot rewind the body and resend the request.
	httpRequest.GetBody = nil
	httpRequest.Header.Set(callerHeader, c.options.Caller)
	if c.options.Token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return nil, provider.NewError(r.operation, transportErrorKind(connected.Load()), err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, provider.NewError(r.operation, provider.KindUnknown, err)
	}
	return body, statusError(r.operation, response.StatusCode, body)
}

// transportErrorKind returns the error kind of a request without a response. Without a
// connection the request was not sent.
func transportErrorKind(connected bool) provider.Kind {
	if connected {
		return provider.KindUnknown
	}
	return provider.KindUnavailable
}

// statusError returns the error for a response with an error status, nil for any other.
// A server error whose body names no kind comes from an intermediary, so the outcome is
// unknown.
func statusError(operation string, status int, body []byte) error {
	if status < http.StatusBadRequest {
		return nil
	}
	var failure struct{ Kind, Message string }
	if err := json.Unmarshal(body, &failure); err == nil && failure.Kind != "" {
		return provider.NewError(operation, provider.ParseKind(failure.Kind), fmt.Errorf("%s", failure.Message))
	}
	kind := provider.KindUnknown
	if status < http.StatusInternalServerError {
		kind = provider.KindInvalid
	}
	return provider.NewError(operation, kind, fmt.Errorf("status %d", status))
}

// postJSON sends a value as JSON and decodes the JSON response into out.
func (c storeClient) postJSON(ctx context.Context, operation, path string, mutates bool, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return provider.NewError(operation, provider.KindInvalid, err)
	}
	response, err := c.do(ctx, request{operation, http.MethodPost, path, body, mutates})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response, out); err != nil {
		return provider.NewError(operation, provider.KindUnknown, err)
	}
	return nil
}
