package registrar_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/registrar"
)

// Guards against a new daemon that its peers do not find until their next periodic read of
// the list, many seconds after its start.
func TestRefreshFindsNewDaemons(t *testing.T) {
	rows := emulator.NewRowStore()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first := registrar.New(rows, registrar.Entry{Host: "a", Address: "127.0.0.1:1"}, zap.NewNop())
	if err := first.Refresh(ctx); err != nil || len(first.Peers()) != 0 {
		t.Fatalf("peers %v, error %v", first.Peers(), err)
	}
	second := registrar.New(rows, registrar.Entry{Host: "b", Address: "127.0.0.1:2"}, zap.NewNop())
	go second.Run(ctx)
	found := func() bool {
		if err := first.Refresh(ctx); err != nil {
			t.Fatal(err)
		}
		return len(first.Peers()) == 1
	}
	for end := time.Now().Add(time.Second); !found(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a daemon that has started is not listed after 1 s")
		}
	}
	rows.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	if err := first.Refresh(ctx); err == nil {
		t.Error("Refresh succeeded although the store is down")
	}
}

// Guards against a daemon that starts before all others and knows no peer for its first seconds:
// when the store rejects it then, it cannot read the list either, and follows nothing.
func TestFirstDaemonFindsLaterOnes(t *testing.T) {
	rows := emulator.NewRowStore()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 5 {
		first := registrar.New(rows, registrar.Entry{Host: "a", Address: "127.0.0.1:1"}, zap.NewNop())
		go first.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		second, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			defer close(left)
			registrar.New(rows, registrar.Entry{Host: "b", Address: "127.0.0.1:2"}, zap.NewNop()).Run(second)
		}()
		time.Sleep(550 * time.Millisecond)
		if len(first.Peers()) != 1 {
			t.Error("a daemon does not know the one that started 0.55 s ago")
		}
		leave()
		<-left
	}
}
