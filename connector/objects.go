package connector

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Objects is a client of the object store.
type Objects struct {
	client storeClient
}

// NewObjects returns a client; it opens no connection before the first request.
func NewObjects(options StoreOptions) *Objects { return &Objects{client: newStoreClient(options)} }

func objectPath(name string) string {
	return (&url.URL{Path: "/v1/objects/" + name}).EscapedPath()
}

// Put stores an object. Objects are immutable, so it may be repeated.
func (o *Objects) Put(ctx context.Context, name string, value []byte) error {
	_, err := o.client.do(ctx, request{"objects.put", http.MethodPut, objectPath(name), value, true})
	return err
}

// Get returns an object's value.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.client.do(ctx, request{"objects.get", http.MethodGet, objectPath(name), nil, false})
}

// List returns the names with the prefix, in order.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	path := "/v1/objects/?prefix=" + url.QueryEscape(prefix)
	answer, err := o.client.do(ctx, request{"objects.list", http.MethodGet, path, nil, false})
	if err != nil {
		return nil, err
	}
	var out struct{ Names []string }
	if err := json.Unmarshal(answer, &out); err != nil {
		return nil, provider.NewError("objects.list", provider.KindUnavailable, err)
	}
	return out.Names, nil
}

// Delete removes an object; a missing one is no error.
func (o *Objects) Delete(ctx context.Context, name string) error {
	_, err := o.client.do(ctx, request{"objects.delete", http.MethodDelete, objectPath(name), nil, true})
	return err
}

// Close closes idle connections.
func (o *Objects) Close() { o.client.transport.CloseIdleConnections() }
