package connector

import (
	"context"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// TableStore is the HTTP client of the table service.
type TableStore struct {
	client storeClient
}

// NewTableStore returns a client. It opens no connection before the first request.
func NewTableStore(options StoreOptions) *TableStore {
	return &TableStore{client: newStoreClient(options)}
}

// Commit applies a transaction. It sends the request at most once.
func (t *TableStore) Commit(ctx context.Context, transaction provider.Transaction) (provider.CommitResult, error) {
	var result provider.CommitResult
	err := t.client.postJSON(ctx, "tables.commit", "/v1/commit", true, transaction, &result)
	return result, err
}

// Read returns one row. It retries once if there is no response.
func (t *TableStore) Read(ctx context.Context, table, key string) (provider.Row, error) {
	var row provider.Row
	in := map[string]string{"table": table, "key": key}
	err := t.client.postJSON(ctx, "tables.read", "/v1/read", false, in, &row)
	return row, err
}

// Scan returns up to limit rows whose keys have the prefix, starting after the given key.
// It retries once if there is no response.
func (t *TableStore) Scan(ctx context.Context, table, prefix, after string, limit int) ([]provider.Row, error) {
	var out struct{ Rows []provider.Row }
	in := map[string]any{"table": table, "prefix": prefix, "after": after, "limit": limit}
	err := t.client.postJSON(ctx, "tables.scan", "/v1/scan", false, in, &out)
	return out.Rows, err
}

// Close closes idle connections.
func (t *TableStore) Close() { t.client.transport.CloseIdleConnections() }
