package committer

import (
	"encoding/base64"
	"encoding/json"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/packer"
)

const (
	// minPackedBytes is the smallest encoded batch that is compressed.
	minPackedBytes = 512
	// maxUnpackedBytes bounds the memory that a damaged or malicious row can take
	// when it is decompressed. Valid batches are far smaller.
	maxUnpackedBytes = 64 << 20
)

// EncodeBatch returns the value of a log row. The value is compressed when that makes
// it smaller: log rows are most of a daemon's traffic to the store, which often
// crosses regions.
func EncodeBatch(batch encoder.Batch) json.RawMessage {
	plain := encode(batch)
	if len(plain) < minPackedBytes {
		return plain
	}
	packed := packer.Deflate(encode(batch.Records))
	small := encoder.Batch{
		Commit: batch.Commit, Sequence: batch.Sequence, Packed: base64.StdEncoding.EncodeToString(packed),
	}
	if value := encode(small); len(value) < len(plain) {
		return value
	}
	return plain
}

// DecodeBatch decodes the value of a log row and decompresses its records. It returns
// an error for damaged values.
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
	plain, err := packer.Inflate(packed, maxUnpackedBytes)
	if err != nil {
		return encoder.Batch{}, err
	}
	batch.Packed = ""
	return batch, json.Unmarshal(plain, &batch.Records)
}
