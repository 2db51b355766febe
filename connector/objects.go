package connector

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// ObjectStore is the HTTP client of the object store.
type ObjectStore struct {
	client storeClient
}

// NewObjectStore returns a client. It opens no connection before the first request.
func NewObjectStore(options StoreOptions) *ObjectStore {
	return &ObjectStore{client: newStoreClient(options)}
}

func objectPath(name string) string {
	return (&url.URL{Path: "/v1/objects/" + name}).EscapedPath()
}

// Put stores an object. Objects are immutable, so a caller may repeat it.
func (o *ObjectStore) Put(ctx context.Context, name string, value []byte) error {
	_, err := o.client.do(ctx, request{"objects.put", http.MethodPut, objectPath(name), value, true})
	return err
}

// Get returns an object's value.
func (o *ObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	return o.client.do(ctx, request{"objects.get", http.MethodGet, objectPath(name), nil, false})
}

// List returns the names of the objects with the prefix, sorted.
func (o *ObjectStore) List(ctx context.Context, prefix string) ([]string, error) {
	path := "/v1/objects/?prefix=" + url.QueryEscape(prefix)
	response, err := o.client.do(ctx, request{"objects.list", http.MethodGet, path, nil, false})
	if err != nil {
		return nil, err
	}
	var out struct{ Names []string }
	if err := json.Unmarshal(response, &out); err != nil {
		return nil, provider.NewError("objects.list", provider.KindUnavailable, err)
	}
	return out.Names, nil
}

// Delete removes an object. It succeeds if the object does not exist.
func (o *ObjectStore) Delete(ctx context.Context, name string) error {
	_, err := o.client.do(ctx, request{"objects.delete", http.MethodDelete, objectPath(name), nil, true})
	return err
}

// Close closes idle connections.
func (o *ObjectStore) Close() { o.client.transport.CloseIdleConnections() }
