package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// relayMargin is reserved for the transfer between daemons.
	relayMargin = 20 * time.Millisecond
	// defaultRelayTimeout applies to calls without a deadline.
	defaultRelayTimeout = time.Second
)

// peerTimeoutMs returns the time that a peer may take for a call, in milliseconds.
func peerTimeoutMs(ctx context.Context) int {
	remaining := defaultRelayTimeout
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline) - relayMargin
	}
	return int(max(remaining, time.Millisecond).Milliseconds())
}

// EncodeRows encodes rows for a message between daemons.
func EncodeRows(rows []provider.VersionedRow) []encoder.StoredRow {
	encoded := make([]encoder.StoredRow, len(rows))
	for i := range rows {
		encoded[i] = encodeRow(rows[i].RowKey, rows[i].Version, rows[i].Value)
		encoded[i].Deleted = rows[i].Deleted
	}
	return encoded
}

func encodeRow(k provider.RowKey, version int64, value []byte) encoder.StoredRow {
	return encoder.StoredRow{Table: k.Table, Part: k.Partition, Key: k.Key, Version: int(version), Value: value}
}

func keyOf(r *encoder.StoredRow) provider.RowKey {
	return provider.RowKey{Table: r.Table, Partition: r.Part, Key: r.Key}
}

func encodeChange(ctx context.Context, t *provider.RowTransaction) encoder.StoreChange {
	change := encoder.StoreChange{TimeoutMs: peerTimeoutMs(ctx)}
	for _, c := range t.Conditions {
		change.Conditions = append(change.Conditions, encodeRow(c.RowKey, c.Version, nil))
	}
	for _, w := range t.Writes {
		change.Writes = append(change.Writes, encodeRow(w.RowKey, 0, w.Value))
	}
	for _, k := range t.Deletes {
		change.Deletes = append(change.Deletes, encodeRow(k, 0, nil))
	}
	return change
}

func decodeChange(change *encoder.StoreChange) provider.RowTransaction {
	var t provider.RowTransaction
	for i := range change.Conditions {
		row := &change.Conditions[i]
		t.Conditions = append(t.Conditions, provider.RowCondition{RowKey: keyOf(row), Version: int64(row.Version)})
	}
	for i := range change.Writes {
		row := &change.Writes[i]
		t.Writes = append(t.Writes, provider.RowWrite{RowKey: keyOf(row), Value: row.Value})
	}
	for i := range change.Deletes {
		t.Deletes = append(t.Deletes, keyOf(&change.Deletes[i]))
	}
	return t
}

func encodeRange(ctx context.Context, r *provider.RowRange) encoder.StoreRange {
	return encoder.StoreRange{
		Table: r.Table, Part: r.Partition, From: r.From, To: r.To, Limit: r.Limit, TimeoutMs: peerTimeoutMs(ctx),
	}
}

func decodeRange(r *encoder.StoreRange) provider.RowRange {
	return provider.RowRange{Table: r.Table, Partition: r.Part, From: r.From, To: r.To, Limit: r.Limit}
}

func encodeResponse(page provider.RowPage, err error) encoder.StoreAnswer {
	response := encoder.StoreAnswer{Kind: provider.KindOf(err).String(), More: page.More, Version: int(page.Version)}
	rows := page.Rows
	var conflict *provider.RowConflictError
	if errors.As(err, &conflict) {
		rows = conflict.Rows
	}
	response.Rows = EncodeRows(rows)
	return response
}

// DecodeRows decodes rows of a message between daemons.
func DecodeRows(rows []encoder.StoredRow) []provider.VersionedRow {
	decoded := make([]provider.VersionedRow, len(rows))
	for i := range rows {
		decoded[i] = provider.VersionedRow{
			RowKey: keyOf(&rows[i]), Version: int64(rows[i].Version), Value: rows[i].Value, Deleted: rows[i].Deleted,
		}
	}
	return decoded
}

func decodePage(operation string, response *encoder.StoreAnswer) (provider.RowPage, error) {
	if err := decodeError(operation, response); err != nil {
		return provider.RowPage{}, err
	}
	return provider.RowPage{Rows: DecodeRows(response.Rows), More: response.More, Version: int64(response.Version)}, nil
}

func decodeError(operation string, response *encoder.StoreAnswer) error {
	switch kind := provider.ParseKind(response.Kind); kind {
	case provider.KindNone:
		return nil
	case provider.KindConflict:
		return provider.NewError(operation, kind, &provider.RowConflictError{Rows: DecodeRows(response.Rows)})
	default:
		return provider.NewError(operation, kind, errors.New("reported by the relaying daemon"))
	}
}
