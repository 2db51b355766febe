// Package packer deflates values for the store. Most of them travel over links that are
// billed by volume.
//
// # Usage
//
//	deflated := packer.Deflate(plain)
//	plain, err := packer.Inflate(deflated, maxBytes)
package packer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
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

// deflaters reuses writers, since a new one allocates several hundred kilobytes.
var deflaters = sync.Pool{New: func() any {
	// NewWriter fails only for an invalid level.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Deflate returns the compressed value.
func Deflate(plain []byte) []byte {
	var deflated bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&deflated)
	// Writes to a buffer do not fail.
	_, _ = w.Write(plain)
	_ = w.Close()
	return deflated.Bytes()
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
