package controller

import (
	"context"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// boundedTables and boundedObjects end each request after readTimeout, so that a
// connection that went silent fails the request instead of holding a takeover or a
// handover for ever.
type boundedTables struct{ provider.Tables }

// Read reads one row within the bound.
func (t boundedTables) Read(ctx context.Context, table, key string) (provider.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return t.Tables.Read(ctx, table, key)
}

// Scan reads one page of rows within the bound.
func (t boundedTables) Scan(ctx context.Context, table, prefix, after string, limit int) ([]provider.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return t.Tables.Scan(ctx, table, prefix, after, limit)
}

type boundedObjects struct{ provider.Objects }

// Put writes one object within the bound.
func (o boundedObjects) Put(ctx context.Context, name string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return o.Objects.Put(ctx, name, value)
}

// Get reads one object within the bound.
func (o boundedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return o.Objects.Get(ctx, name)
}

// List lists objects within the bound.
func (o boundedObjects) List(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return o.Objects.List(ctx, prefix)
}

// Delete deletes one object within the bound.
func (o boundedObjects) Delete(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return o.Objects.Delete(ctx, name)
}
