// Package packer deflates values for the store, most of which travel over links that
// are billed by volume.
//
// # Usage
//
//	packed := packer.Deflate(plain)
//	plain, err := packer.Inflate(packed, maxBytes)
package packer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// Error says that a value cannot be inflated.
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

// Operation returns what failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Error names the operation and the cause.
func (e *Error) Error() string { return e.operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// deflaters are reused: a new one allocates several hundred kilobytes.
var deflaters = sync.Pool{New: func() any {
	// The error only concerns the level, which is valid.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Deflate returns the value in a smaller form.
func Deflate(plain []byte) []byte {
	var packed bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&packed)
	// Writes to a buffer do not fail.
	_, _ = w.Write(plain)
	_ = w.Close()
	return packed.Bytes()
}

// Inflate returns the value that was deflated, if it has at most so many bytes.
func Inflate(packed []byte, maxBytes int) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(maxBytes)+1))
	if err != nil {
		return nil, &Error{operation: "inflate", kind: KindCorrupt, cause: err}
	}
	if len(plain) > maxBytes {
		return nil, &Error{operation: "inflate", kind: KindTooLarge, cause: fmt.Errorf("more than %d bytes", maxBytes)}
	}
	return plain, nil
}
