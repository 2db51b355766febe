package messenger

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against in-memory connections that, unlike TCP connections, take nothing while their
// receiver does not read: heartbeats then exceeded their write deadline. Also guards against a
// buffer without a bound, which would hide a receiver that has stopped.
func TestMemoryConnectionHoldsUnreadData(t *testing.T) {
	network := NewMemoryNetwork()
	listener := network.Listen("b")
	defer func() { _ = listener.Close() }()
	sender, err := network.dial(t.Context(), "a", "b")
	if err != nil {
		t.Fatal(err)
	}
	receiver, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = sender.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	sent := bytes.Repeat([]byte("heartbeat"), 1_000)
	if _, err := sender.Write(sent); err != nil {
		t.Fatalf("write to a receiver that does not read: %v", err)
	}
	n, err := sender.Write(make([]byte, 8<<20))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write beyond the buffer: error %v, want %v", err, os.ErrDeadlineExceeded)
	}
	sent = append(sent, make([]byte, n)...)
	_ = sender.Close()
	received, err := io.ReadAll(receiver)
	if err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(len(sent), len(received)); diff != "" || !bytes.Equal(sent, received) {
		t.Errorf("received data differs (-want +got bytes):\n%s", diff)
	}
	if _, err := receiver.Write(sent); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("write to a closed receiver: error %v, want %v", err, io.ErrClosedPipe)
	}
}

// Guards against a reader that a deadline set meanwhile, or a close of its own end, does not wake.
func TestMemoryConnectionWakesReader(t *testing.T) {
	tests := []struct {
		name string
		wake func(c *memoryPipe)
		want error
	}{
		{"deadline", func(c *memoryPipe) { _ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond)) }, os.ErrDeadlineExceeded},
		{"past deadline", func(c *memoryPipe) { _ = c.SetDeadline(time.Unix(1, 0)) }, os.ErrDeadlineExceeded},
		{"close", func(c *memoryPipe) { _ = c.Close() }, io.ErrClosedPipe},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, _ := newMemoryPipe("a", "b")
			ended := make(chan error, 1)
			go func() {
				_, err := c.Read(make([]byte, 1))
				ended <- err
			}()
			time.Sleep(10 * time.Millisecond) // for the reader to wait
			test.wake(c)
			select {
			case err := <-ended:
				if !errors.Is(err, test.want) {
					t.Errorf("error %v, want %v", err, test.want)
				}
			case <-time.After(5 * time.Second):
				t.Error("the reader still waits")
			}
		})
	}
}
