package assembler

import (
	"bufio"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logQueueLines is the number of lines that wait to be written; further ones are dropped
	// and counted.
	logQueueLines = 1024
	// logFlushInterval is the longest time that a line waits.
	logFlushInterval = 250 * time.Millisecond
	// logBurst lines a second with one message are written, then one in logThereafter.
	logBurst          = 300
	logSampleInterval = 20
)

// queueWriter passes lines to a goroutine that writes them, so that logging never waits
// for the reader of the output.
type queueWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// Write implements io.Writer.
func (w *queueWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer; lines are flushed by time.
func (w *queueWriter) Sync() error { return nil }

func (w *queueWriter) run(output io.Writer) {
	defer close(w.done)
	buffer := bufio.NewWriterSize(output, 16<<10)
	var timer <-chan time.Time
	for {
		select {
		case line, open := <-w.lines:
			if !open {
				// Nothing can be said about a failure to write the log.
				_ = buffer.Flush()
				return
			}
			_, _ = buffer.Write(line)
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

// NewLogger returns a logger of JSON lines and a function that writes what waits. Lines
// beyond a rate are sampled.
func NewLogger(output io.Writer) (*zap.Logger, func()) {
	w := &queueWriter{lines: make(chan []byte, logQueueLines), done: make(chan struct{})}
	go w.run(output)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewSamplerWithOptions(
		zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zap.InfoLevel), time.Second, logBurst, logSampleInterval,
	)
	log := zap.New(core)
	return log, func() {
		close(w.lines)
		<-w.done
	}
}
