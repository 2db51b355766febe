package assembler

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logQueueLines is the number of lines that may wait to be written, logQueueBytes their size. Further lines
	// are dropped and counted.
	logQueueLines = 1024
	logQueueBytes = 2 << 20
	// logFlushInterval is the longest time that a line stays in the buffer.
	logFlushInterval = 250 * time.Millisecond
	// logBurst is the number of lines per second that are written for one message. Of
	// further lines, every logSampleEvery-th one is written.
	logBurst       = 300
	logSampleEvery = 20
)

// queueWriter queues lines for a goroutine that writes them, so that logging never blocks
// on the output.
type queueWriter struct {
	lines   chan []byte
	done    chan struct{}
	bytes   atomic.Int64
	dropped atomic.Int64
}

// Write implements io.Writer.
func (w *queueWriter) Write(p []byte) (int, error) {
	if w.bytes.Add(int64(len(p))) > logQueueBytes {
		w.drop(p)
		return len(p), nil
	}
	select {
	case w.lines <- slices.Clone(p):
	default:
		w.drop(p)
	}
	return len(p), nil
}

func (w *queueWriter) drop(line []byte) {
	w.bytes.Add(-int64(len(line)))
	w.dropped.Add(1)
}

// Sync implements zapcore.WriteSyncer. It does nothing: run flushes at an interval.
func (w *queueWriter) Sync() error { return nil }

func (w *queueWriter) run(output io.Writer) {
	defer close(w.done)
	buffer := bufio.NewWriterSize(output, 16<<10)
	var timer <-chan time.Time
	for {
		select {
		case line, open := <-w.lines:
			if !open {
				// A failure to write the log cannot be logged.
				_ = buffer.Flush()
				return
			}
			_, _ = buffer.Write(line)
			w.bytes.Add(-int64(len(line)))
			if timer == nil {
				timer = time.After(logFlushInterval)
			}
		case <-timer:
			timer = nil
			if n := w.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(buffer, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
			}
			_ = buffer.Flush()
		}
	}
}

// NewLogger returns a logger that writes JSON lines, and a function that writes the queued
// lines and ends the logger. Lines with the same message are sampled above a rate.
func NewLogger(output io.Writer) (*zap.Logger, func()) {
	w := &queueWriter{lines: make(chan []byte, logQueueLines), done: make(chan struct{})}
	go w.run(output)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewSamplerWithOptions(
		zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zap.InfoLevel), time.Second, logBurst, logSampleEvery,
	)
	log := zap.New(core)
	return log, func() {
		close(w.lines)
		<-w.done
	}
}
