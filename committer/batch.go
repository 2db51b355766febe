package committer

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"sync"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

const (
	// minPackedBytes is the size from which a batch is worth compressing.
	minPackedBytes = 512
	// maxUnpackedBytes bounds what a damaged or hostile row can expand to. Batches
	// are bounded far below it.
	maxUnpackedBytes = 64 << 20
)

// deflaters are reused: a new one allocates several hundred kilobytes.
var deflaters = sync.Pool{New: func() any {
	// The error only concerns the level, which is valid.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// EncodeBatch returns the value of a log row. Log rows are most of what a daemon
// sends to the store, often over the link between regions, so they are compressed.
func EncodeBatch(batch encoder.Batch) json.RawMessage {
	plain := encode(batch)
	if len(plain) < minPackedBytes {
		return plain
	}
	var packed bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&packed)
	// Writes to a buffer do not fail.
	_, _ = w.Write(encode(batch.Records))
	_ = w.Close()
	small := encoder.Batch{
		Commit: batch.Commit, Sequence: batch.Sequence, Packed: base64.StdEncoding.EncodeToString(packed.Bytes()),
	}
	if value := encode(small); len(value) < len(plain) {
		return value
	}
	return plain
}

// DecodeBatch reads the value of a log row.
func DecodeBatch(value []byte) (encoder.Batch, error) {
	var batch encoder.Batch
	if err := json.Unmarshal(value, &batch); err != nil {
		return encoder.Batch{}, err
	}
	if batch.Packed == "" {
		return batch, nil
	}
	packed, err := base64.StdEncoding.DecodeString(batch.Packed)
	if err != nil {
		return encoder.Batch{}, err
	}
	reader := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = reader.Close() }()
	plain, err := io.ReadAll(io.LimitReader(reader, maxUnpackedBytes+1))
	if err != nil {
		return encoder.Batch{}, err
	}
	if len(plain) > maxUnpackedBytes {
		return encoder.Batch{}, errors.New("the batch is too large")
	}
	batch.Packed = ""
	return batch, json.Unmarshal(plain, &batch.Records)
}
