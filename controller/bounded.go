package controller

import (
	"context"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// boundedTables and boundedObjects end each request after readTimeout, so that a
// connection that went silent fails the request instead of holding a takeover or a
// handover for ever.
type boundedTables struct{ provider.TableStore }

// Read reads one row within the bound.
func (t boundedTables) Read(ctx context.Context, table, key string) (provider.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return t.TableStore.Read(ctx, table, key)
}

// Scan reads one page of rows within the bound.
func (t boundedTables) Scan(ctx context.Context, table, prefix, after string, limit int) ([]provider.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return t.TableStore.Scan(ctx, table, prefix, after, limit)
}

type boundedObjects struct{ provider.ObjectStore }

// Put writes one object within the bound.
func (o boundedObjects) Put(ctx context.Context, name string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return o.ObjectStore.Put(ctx, name, value)
}

// Get reads one object within the bound.
func (o boundedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return o.ObjectStore.Get(ctx, name)
}

// List lists objects within the bound.
func (o boundedObjects) List(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return o.ObjectStore.List(ctx, prefix)
}

// Delete deletes one object within the bound.
func (o boundedObjects) Delete(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return o.ObjectStore.Delete(ctx, name)
}
