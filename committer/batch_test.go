package committer

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// Guards against compression that changes or loses records or that makes a row
// larger.
func TestBatchRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batch := encoder.Batch{Commit: "c", Sequence: 7}
		for i := range rapid.IntRange(0, 20).Draw(t, "records") {
			text := rapid.String().Draw(t, "text")
			batch.Records = append(batch.Records, encoder.Record{
				Shard: "nl-ams/1", Program: "p", Sequence: i, Kind: "turn",
				Body: strings.Repeat(text, rapid.IntRange(0, 50).Draw(t, "repeat")),
			})
		}
		value := EncodeBatch(batch)
		got, err := DecodeBatch(value)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(batch, got, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("batch (-want +got):\n%s", diff)
		}
		if plain := len(encode(batch)); len(value) > plain {
			t.Fatalf("encoded batch has %d bytes, more than the %d uncompressed", len(value), plain)
		}
	})
}

// Guards against a damaged row that decodes to an empty batch, which would lose its
// records without an error.
func TestDamagedBatch(t *testing.T) {
	batch := encoder.Batch{Sequence: 1, Records: []encoder.Record{{Shard: "s", Program: "p", Body: strings.Repeat("invoice ", 200)}}}
	value := string(EncodeBatch(batch))
	if !strings.Contains(value, `"packed"`) {
		t.Fatalf("a batch of %d bytes is not compressed", len(encode(batch)))
	}
	cut := strings.Index(value, `"packed":"`) + len(`"packed":"`) + 8
	for _, damaged := range []string{
		value[:cut] + `"}`,
		strings.Replace(value, `"packed":"`, `"packed":"!`, 1),
		strings.Replace(value, `"packed":"`, `"packed":"AAAA`, 1),
	} {
		if got, err := DecodeBatch([]byte(damaged)); err == nil {
			t.Errorf("DecodeBatch(%.60s) = %d records, want an error", damaged, len(got.Records))
		}
	}
}

// BenchmarkEncodeBatch encodes what one daemon logs in a second at the design size:
// 23 turns, each with an 800-byte prompt and a 1,100-byte response.
func BenchmarkEncodeBatch(b *testing.B) {
	batch := encoder.Batch{Commit: "c", Sequence: 7}
	for i := range 23 {
		body := strings.Repeat("Dear Ms Perera, the quotation for two teak doors with brass fittings is ready. ", 24)
		batch.Records = append(batch.Records, encoder.Record{Shard: "nl-ams/1", Program: "p", Sequence: i, Kind: "turn", Body: body})
	}
	b.SetBytes(int64(len(encode(batch))))
	for b.Loop() {
		EncodeBatch(batch)
	}
}
