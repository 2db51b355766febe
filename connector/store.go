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
	// DefaultStoreTimeout bounds one request to the store. It is a third of the
	// default lease, so that a lost answer leaves time to read back and retry.
	DefaultStoreTimeout = 2 * time.Second
	// DefaultDialTimeout bounds the opening of a connection.
	DefaultDialTimeout = time.Second
)

// StoreOptions configures a client of the table service or the object store.
type StoreOptions struct {
	// URL is the base URL, such as http://127.0.0.1:9000.
	URL string
	// Token is sent as a bearer token when it is set.
	Token string
	// Caller names the calling host.
	Caller string
	// Timeout bounds one request; 0 means DefaultStoreTimeout.
	Timeout time.Duration
}

// storeClient sends requests to one of the stores.
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
	// effect marks a request that changes something: it is sent once, and a missing
	// answer leaves its outcome unknown.
	effect bool
}

// do sends a request; without effect, a second time on a new connection when there
// was no answer.
func (c storeClient) do(ctx context.Context, r request) ([]byte, error) {
	body, err := c.send(ctx, r)
	if r.effect || err == nil || provider.KindOf(err) != provider.KindUnknown || ctx.Err() != nil {
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
	message, err := http.NewRequestWithContext(ctx, r.method, c.options.URL+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, provider.NewError(r.operation, provider.KindInvalid, err)
	}
	// A body that cannot be rewound keeps the transport from sending it twice.
	message.GetBody = nil
	message.Header.Set(callerHeader, c.options.Caller)
	if c.options.Token != "" {
		message.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	response, err := c.client.Do(message)
	if err != nil {
		return nil, provider.NewError(r.operation, missing(connected.Load()), err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, provider.NewError(r.operation, provider.KindUnknown, err)
	}
	return body, statusError(r.operation, response.StatusCode, body)
}

// missing classifies a missing answer: without a connection nothing was sent.
func missing(connected bool) provider.Kind {
	if connected {
		return provider.KindUnknown
	}
	return provider.KindUnavailable
}

// statusError reads the kind from an error response. A server error without a kind
// comes from something between, so the outcome is not known.
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

// call sends a JSON request and decodes the JSON answer.
func (c storeClient) call(ctx context.Context, operation, path string, effect bool, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return provider.NewError(operation, provider.KindInvalid, err)
	}
	answer, err := c.do(ctx, request{operation, http.MethodPost, path, body, effect})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return provider.NewError(operation, provider.KindUnknown, err)
	}
	return nil
}
