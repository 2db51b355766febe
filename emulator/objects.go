package emulator

import (
	"context"
	"strings"
	"sync"

	"github.com/tidwall/btree"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// ObjectStoreCounters counts the operations of an object store since its start.
type ObjectStoreCounters struct {
	Puts, Gets, Lists, Deletes, BytesWritten int64
}

// ObjectStore is an in-memory object store with fault injection. It is safe for
// concurrent use.
type ObjectStore struct {
	faults   *Faults
	mutex    sync.Mutex
	values   btree.Map[string, []byte]
	counters ObjectStoreCounters
}

// NewObjectStore returns an empty object store.
func NewObjectStore(faults *Faults) *ObjectStore { return &ObjectStore{faults: faults} }

// Faults returns the fault switches.
func (o *ObjectStore) Faults() *Faults { return o.faults }

// Counters returns the current counters.
func (o *ObjectStore) Counters() ObjectStoreCounters {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.counters
}

// ForCaller returns a client of the store whose requests are subject to the faults of the
// named caller.
func (o *ObjectStore) ForCaller(caller string) provider.ObjectStore {
	return callerObjectStore{o, caller}
}

// Corrupt replaces the value of an object, without faults, for tests of corrupt data.
func (o *ObjectStore) Corrupt(name string, value []byte) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.values.Set(name, value)
}

// Names returns the names of the objects with the prefix, sorted and without faults.
func (o *ObjectStore) Names(prefix string) []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.counters.Lists++
	names := []string{}
	o.values.Ascend(prefix, func(name string, _ []byte) bool {
		if !strings.HasPrefix(name, prefix) {
			return false
		}
		names = append(names, name)
		return true
	})
	return names
}

type callerObjectStore struct {
	objects *ObjectStore
	caller  string
}

// run executes one request under the faults of the caller, calling effect with the store
// locked. A request without a response fails with lossKind.
func (c callerObjectStore) run(ctx context.Context, operation string, lossKind provider.Kind, effect func()) error {
	plan := c.objects.faults.Plan(c.caller)
	if plan.Unavailable {
		return provider.NewError(operation, provider.KindUnavailable, errOutage)
	}
	locked := func() {
		c.objects.mutex.Lock()
		defer c.objects.mutex.Unlock()
		effect()
	}
	if !plan.Run(ctx, locked) {
		return provider.NewError(operation, lossKind, errNoResponse)
	}
	return nil
}

// Put stores an object. It keeps an existing object of the same name.
func (c callerObjectStore) Put(ctx context.Context, name string, value []byte) error {
	value = append([]byte(nil), value...)
	return c.run(ctx, "objects.put", provider.KindUnknown, func() {
		c.objects.counters.Puts++
		c.objects.counters.BytesWritten += int64(len(value))
		if _, found := c.objects.values.Get(name); !found {
			c.objects.values.Set(name, value)
		}
	})
}

// Get returns an object's value.
func (c callerObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	var value []byte
	var found bool
	err := c.run(ctx, "objects.get", provider.KindUnavailable, func() {
		c.objects.counters.Gets++
		value, found = c.objects.values.Get(name)
	})
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, provider.NewError("objects.get", provider.KindNotFound, nil)
	}
	return append([]byte(nil), value...), nil
}

// List returns the names of the objects with the prefix, sorted.
func (c callerObjectStore) List(ctx context.Context, prefix string) ([]string, error) {
	plan := c.objects.faults.Plan(c.caller)
	if plan.Unavailable {
		return nil, provider.NewError("objects.list", provider.KindUnavailable, errOutage)
	}
	var names []string
	if !plan.Run(ctx, func() { names = c.objects.Names(prefix) }) {
		return nil, provider.NewError("objects.list", provider.KindUnavailable, errNoResponse)
	}
	return names, nil
}

// Delete removes an object. It succeeds if the object does not exist.
func (c callerObjectStore) Delete(ctx context.Context, name string) error {
	return c.run(ctx, "objects.delete", provider.KindUnknown, func() {
		c.objects.counters.Deletes++
		c.objects.values.Delete(name)
	})
}
