// Package provider defines the interfaces through which dogwoodweir uses its
// platform: the table service, the row store, the object store, the host list, the
// model engines, the weight store and the plain services.
//
// # Usage
//
// Packages that hold decision logic do not import implementations. Packages that do
// I/O take these interfaces in their New functions. Package connector implements them
// over HTTP, package emulator in memory with injected faults.
//
//	result, err := tables.Commit(ctx, transaction)
//	switch provider.KindOf(err) {
//	case provider.KindNone:      // took effect
//	case provider.KindConflict:  // did not take effect: a condition failed
//	case provider.KindUnavailable: // did not take effect
//	case provider.KindUnknown:   // may have taken effect: read the rows to find out
//	}
package provider

import (
	"context"
	"encoding/json"
	"time"
)

// Clock returns the current time. Use it in place of time.Now so that tests can
// advance the time.
type Clock interface {
	Now() time.Time
}

// VersionAbsent is the version of a row that does not exist. As a condition it means that
// the row must not exist.
const VersionAbsent int64 = 0

// Row is one versioned row of a table. Versions start at 1 and increase by 1 with
// each write of the row. A row that is written again after its deletion continues
// the numbering.
type Row struct {
	Table   string          `json:"table"`
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Condition requires that a row has exactly the given version, or does not
// exist when Version is VersionAbsent.
type Condition struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Table  string          `json:"table"`
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Transaction applies all writes atomically if all conditions hold. ID identifies the
// transaction in logs.
type Transaction struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// CommitResult holds the new version of each written row, in the order of the
// transaction's writes.
type CommitResult struct {
	Versions []int64 `json:"versions"`
}

// TableStore is the platform's transactional table service.
type TableStore interface {
	// Commit applies a transaction. KindOf classifies its error.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
	// Read returns one row. A row that does not exist has Version VersionAbsent
	// and no error.
	Read(ctx context.Context, table, key string) (Row, error)
	// Scan returns up to limit rows whose keys have the prefix, in key order, starting
	// after the given key ("" starts at the beginning).
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
}

// ObjectStore is the platform's object store. Put is idempotent, since the value of
// an object never changes under one name.
type ObjectStore interface {
	Put(ctx context.Context, name string, value []byte) error
	// Get fails with KindNotFound if the object does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// Member is one entry of the platform's host list.
type Member struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// Role is "daemon" for hosts of the system and the service's name for targets.
	Role    string `json:"role"`
	Leaving bool   `json:"leaving,omitempty"`
}

// HostLister returns the platform's list of live and leaving hosts. The list is
// delayed: it may contain dead hosts and lack new ones.
type HostLister interface {
	List(ctx context.Context) ([]Member, error)
}

// ChatMessage is one message of a history in the format of the chat completions API.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
	Name    string `json:"name,omitempty"`
}

// GenerateRequest is a request to an engine for a completion.
type GenerateRequest struct {
	// AttemptID identifies one attempt of a call; every chunk of the response carries it.
	AttemptID string `json:"call"`
	Program   string `json:"program"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	// BlockHashes is the hash chain of the prompt, one hash per BlockTokens tokens.
	BlockHashes  []uint64      `json:"blocks,omitempty"`
	Messages     []ChatMessage `json:"messages"`
	PromptTokens int           `json:"promptTokens"`
	MaxTokens    int           `json:"maxTokens"`
	// Priority orders the engine's queue; lower values run first.
	Priority int `json:"priority"`
	// SkipTokens resumes a stream: the first SkipTokens tokens are generated but not sent.
	SkipTokens int `json:"skip,omitempty"`
	// Seed makes the completion reproducible, so that a resumed stream continues the
	// same text.
	Seed int64 `json:"seed"`
}

// BlockTokens is the number of tokens in one block of the prefix cache.
const BlockTokens = 64

// Chunk is one piece of a streamed response. The last chunk has Final set and
// carries the usage.
type Chunk struct {
	AttemptID string `json:"call"`
	Sequence  int    `json:"sequence"`
	Text      string `json:"text,omitempty"`
	Final     bool   `json:"final,omitempty"`
	Usage     Usage  `json:"usage,omitzero"`
}

// Usage counts the tokens of one call.
type Usage struct {
	PromptTokens     int `json:"promptTokens"`
	CachedTokens     int `json:"cachedTokens"`
	CompletionTokens int `json:"completionTokens"`
}

// LoadReport is an engine's report of its own load. It may be several seconds old.
type LoadReport struct {
	Target         string    `json:"target"`
	At             time.Time `json:"at"`
	Running        int       `json:"running"`
	Waiting        int       `json:"waiting"`
	WaitingTokens  int       `json:"waitingTokens"`
	FreeBlocks     int       `json:"freeBlocks"`
	TotalBlocks    int       `json:"totalBlocks"`
	TokensPerSec   float64   `json:"tokensPerSec"`
	PrefillPerSec  float64   `json:"prefillPerSec"`
	Models         []string  `json:"models"`
	Adapters       []string  `json:"adapters,omitempty"`
	Role           string    `json:"role,omitempty"`
	Leaving        bool      `json:"leaving,omitempty"`
	FencingNumber  int64     `json:"fencingNumber"`
	MaxConcurrency int       `json:"maxConcurrency"`
}

// CacheEvent reports blocks that were stored in or removed from an engine's prefix
// cache. Events arrive late, and Sequence has gaps where events were lost.
type CacheEvent struct {
	Target   string   `json:"target"`
	Sequence int64    `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// Order changes the state of an engine: its models, adapters, role or held KV caches.
type Order struct {
	// Kind is "load", "unload", "role", "hold", "release", "export" or "import".
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Program string `json:"program,omitempty"`
	// Object is the object store name of the KV cache to export or import.
	Object string `json:"object,omitempty"`
	// FencingNumber increases over time; engines that check it reject an order with a
	// lower number with KindFenced.
	FencingNumber int64 `json:"fencingNumber"`
	// ExpiresAfter is the longest time between sending and execution of the order.
	ExpiresAfter time.Duration `json:"expiresAfter,omitempty"`
}

// Engine is one model engine on a runner.
type Engine interface {
	// Generate passes the chunks of the response to emit as they arrive. A KindRefused
	// error means that the request did not run.
	Generate(ctx context.Context, request GenerateRequest, emit func(Chunk) error) error
	Cancel(ctx context.Context, attemptID string) error
	Report(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	Order(ctx context.Context, order Order) error
	// HeldPrograms lists the programs for which the engine holds memory.
	HeldPrograms(ctx context.Context) ([]string, error)
}

// WeightStore is the rate-limited weight store.
type WeightStore interface {
	// Fetch waits until the model's weights may be read. It fails with
	// KindUnavailable if the rate limit is exceeded.
	Fetch(ctx context.Context, target, model, version string) error
}

// InvokeRequest is a call to a plain service or a tool.
type InvokeRequest struct {
	// AttemptID identifies one attempt of a call; the result carries it too.
	AttemptID string `json:"call"`
	// IdempotencyKey is set for a call that must not run twice.
	IdempotencyKey string            `json:"key,omitempty"`
	Method         string            `json:"method"`
	Path           string            `json:"path"`
	Header         map[string]string `json:"header,omitempty"`
	Body           []byte            `json:"body,omitempty"`
}

// InvokeResult is the response of a plain service.
type InvokeResult struct {
	AttemptID string            `json:"call"`
	Status    int               `json:"status"`
	Header    map[string]string `json:"header,omitempty"`
	Body      []byte            `json:"body,omitempty"`
}

// Service is one target of a plain service or tool.
type Service interface {
	// Invoke runs a call. KindRefused and KindUnavailable mean that it did not
	// run; any other error means that it may have run.
	Invoke(ctx context.Context, request InvokeRequest) (InvokeResult, error)
	// Lookup returns the result that the target recorded under an idempotency key. It
	// fails with KindNotFound if there is none, and with KindUnsupported if the target
	// cannot look up results.
	Lookup(ctx context.Context, key string) (InvokeResult, error)
}
