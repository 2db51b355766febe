package assembler_test

import (
	"bytes"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/assembler"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.written.Write(p)
}

// TestLoggerNeverBlocks guards against a daemon that blocks on logging because its output
// is not read. Lines beyond the queue must be dropped, and their number logged.
func TestLoggerNeverBlocks(t *testing.T) {
	output := &blockedWriter{release: make(chan struct{})}
	log, flush := assembler.NewLogger(output)
	began := time.Now()
	for i := range 20_000 {
		// Different messages are not sampled.
		log.Info(strings.Repeat("x", i%500), zap.Int("line", i))
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("logging 20,000 lines to a blocked output took %s", took)
	}
	close(output.release)
	time.Sleep(300 * time.Millisecond)
	log.Info("last")
	time.Sleep(300 * time.Millisecond)
	flush()
	if text := output.written.String(); !strings.Contains(text, "log lines dropped") {
		t.Errorf("no line reports the dropped lines in %d bytes of output", len(text))
	}
}

// Guards against lines with the names of callers that take the memory of a host while the output is blocked.
func TestLogQueueIsBounded(t *testing.T) {
	const lines, lineBytes, maxBytes = 1000, 50_000, 8 << 20
	output := &blockedWriter{release: make(chan struct{})}
	log, flush := assembler.NewLogger(output)
	name := strings.Repeat("n", lineBytes)
	before := heapBytes()
	for i := range lines {
		// Different messages are not sampled.
		log.Info(strconv.Itoa(i), zap.String("program", name))
	}
	if took := heapBytes() - before; took > maxBytes {
		t.Errorf("%d lines of %d bytes take %d bytes, want at most %d", lines, lineBytes, took, maxBytes)
	}
	close(output.release)
	time.Sleep(300 * time.Millisecond)
	log.Info("last")
	flush()
	if text := output.written.String(); !strings.Contains(text, `"last"`) {
		t.Errorf("the line after the others is missing in %d bytes of output", len(text))
	}
}

// heapBytes returns the memory that is in use.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
