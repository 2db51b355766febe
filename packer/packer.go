// Package packer deflates values for the store. Most of them travel over links that are
// billed by volume.
//
// # Usage
//
//	deflated := packer.Deflate(plain)
//	deflated, err := packer.DeflateParts(maxBytes, head, body)
//	plain, err := packer.Inflate(deflated, maxBytes)
//	reader := packer.NewReader(deflated, size) // inflates while it is read
package packer

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"math"
	"sync"
)

// Error reports that a value cannot be inflated.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// Kind classifies an error of this package.
type Kind int

const (
	// KindCorrupt means that the value is not deflated data.
	KindCorrupt Kind = iota + 1
	// KindTooLarge means that the value expands beyond the limit.
	KindTooLarge
)

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of an error of this package, 0 for others.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return 0
}

// deflaters reuses writers, since a new one allocates several hundred kilobytes.
var deflaters = sync.Pool{New: func() any {
	// NewWriter fails only for an invalid level.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Deflate returns the compressed value.
func Deflate(plain []byte) []byte {
	// The limit is the only cause of an error.
	deflated, _ := DeflateParts(math.MaxInt, plain)
	return deflated
}

// DeflateParts returns the compressed form of a value that is given in parts. It fails with KindTooLarge, before
// it has taken more memory, if that has more than maxBytes bytes.
func DeflateParts(maxBytes int, parts ...[]byte) ([]byte, error) {
	deflated := limitedBuffer{rest: maxBytes}
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&deflated)
	for _, part := range parts {
		if _, err := w.Write(part); err != nil {
			return nil, err
		}
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return deflated.join(), nil
}

// limitedBuffer is a buffer that fails when it is full. It keeps pieces, which are not copied while it grows.
type limitedBuffer struct {
	pieces [][]byte
	rest   int
}

// pieceBytes is the size up to which a piece of a limitedBuffer grows.
const pieceBytes = 64 << 10

// join returns the content in one piece.
func (b *limitedBuffer) join() []byte {
	if len(b.pieces) == 1 {
		return b.pieces[0]
	}
	return bytes.Join(b.pieces, nil)
}

// Write implements io.Writer.
func (b *limitedBuffer) Write(p []byte) (int, error) {
	if len(p) > b.rest {
		return 0, &Error{operation: "deflate", kind: KindTooLarge, cause: errors.New("value is larger than the limit")}
	}
	b.rest -= len(p)
	last := len(b.pieces) - 1
	if last < 0 || len(b.pieces[last])+len(p) > pieceBytes {
		b.pieces = append(b.pieces, nil)
		last++
	}
	b.pieces[last] = append(b.pieces[last], p...)
	return len(p), nil
}

// Inflate returns the decompressed value. It fails with KindTooLarge if the value has more
// than maxBytes bytes, and with KindCorrupt if the data cannot be inflated.
func Inflate(deflated []byte, maxBytes int) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(deflated)), int64(maxBytes)+1))
	if err != nil {
		return nil, &Error{operation: "inflate", kind: KindCorrupt, cause: err}
	}
	if len(plain) > maxBytes {
		return nil, &Error{operation: "inflate", kind: KindTooLarge, cause: fmt.Errorf("value is larger than %d bytes", maxBytes)}
	}
	return plain, nil
}

// InflatedSize returns the size of the decompressed value, which it does not keep. It fails like Inflate.
func InflatedSize(deflated []byte, maxBytes int) (int, error) {
	const operation = "inflated size"
	size, err := io.Copy(io.Discard, io.LimitReader(flate.NewReader(bytes.NewReader(deflated)), int64(maxBytes)+1))
	if err != nil {
		return 0, &Error{operation: operation, kind: KindCorrupt, cause: err}
	}
	if size > int64(maxBytes) {
		return 0, &Error{operation: operation, kind: KindTooLarge, cause: fmt.Errorf("value is larger than %d bytes", maxBytes)}
	}
	return int(size), nil
}

// Reader inflates a value while it is read.
type Reader struct {
	deflated []byte
	// inflater is created at the first read: it takes 40 KB.
	inflater io.Reader
	rest     int
}

// NewReader returns a reader of a decompressed value of the size. It fails with KindCorrupt if the value has another
// size or the data cannot be inflated.
func NewReader(deflated []byte, size int) *Reader { return &Reader{deflated: deflated, rest: size} }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.rest == 0 {
		r.inflater = nil
		return 0, io.EOF
	}
	if r.inflater == nil {
		r.inflater = flate.NewReader(bytes.NewReader(r.deflated))
	}
	n, err := r.inflater.Read(p[:min(len(p), r.rest)])
	r.rest -= n
	if err == io.EOF && r.rest == 0 {
		err = nil
	}
	if err != nil {
		return n, &Error{operation: "read", kind: KindCorrupt, cause: fmt.Errorf("%d bytes are missing: %w", r.rest, err)}
	}
	return n, nil
}
