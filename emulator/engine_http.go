package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// keepAliveInterval is the time between two keep-alive lines on a stream.
const keepAliveInterval = time.Second

// Handler serves the engine over HTTP. POST /v1/generate returns the chunks as JSON lines
// with empty lines in between as keep-alives.
func (e *Engine) Handler() *fiber.App {
	app := newApp()
	addFaultRoutes(app, e.Faults, e.SetFaults)
	app.Get("/counts", func(c *fiber.Ctx) error { return c.JSON(e.Counts()) })
	v1 := app.Group("/v1", e.abortIfDead)
	v1.Post("/generate", e.serveGenerate)
	v1.Post("/cancel", func(c *fiber.Ctx) error {
		return respond(c, e.Cancel(c.Context(), c.Query("call")))
	})
	v1.Get("/report", func(c *fiber.Ctx) error {
		report, err := e.Report(c.Context())
		return respondValue(c, report, err)
	})
	v1.Get("/events", func(c *fiber.Ctx) error {
		after, _ := strconv.ParseInt(c.Query("after"), 10, 64)
		events, err := e.CacheEvents(c.Context(), after)
		return respondValue(c, events, err)
	})
	v1.Get("/held", func(c *fiber.Ctx) error {
		held, err := e.HeldPrograms(c.Context())
		return respondValue(c, held, err)
	})
	v1.Post("/orders", func(c *fiber.Ctx) error {
		var order provider.Order
		if err := json.Unmarshal(c.Body(), &order); err != nil {
			return writeError(c, provider.NewError("engine.order", provider.KindInvalid, err))
		}
		return respond(c, e.Order(c.Context(), order))
	})
	return app
}

// abortIfDead closes the connection without a response if the engine is dead.
func (e *Engine) abortIfDead(c *fiber.Ctx) error {
	faults := e.Faults()
	if faults.Dead {
		return abort(c)
	}
	return c.Next()
}

func respond(c *fiber.Ctx, err error) error {
	return respondValue(c, struct{}{}, err)
}

func respondValue(c *fiber.Ctx, value any, err error) error {
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(value)
}

func (e *Engine) serveGenerate(c *fiber.Ctx) error {
	var request provider.GenerateRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return writeError(c, provider.NewError("engine.generate", provider.KindInvalid, err))
	}
	j, err := e.enqueue(request)
	if err != nil {
		return writeError(c, err)
	}
	c.Set(fiber.HeaderContentType, "application/jsonl")
	ctx, cancel := context.WithCancel(context.Background())
	conn := c.Context().Conn()
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		lines := &lineWriter{w: w, cancel: cancel}
		var group conc.WaitGroup
		group.Go(func() { lines.keepAlive(ctx, func() bool { return e.Faults().Hang }) })
		err := e.stream(ctx, j, lines.writeChunk)
		cancel()
		group.Wait()
		if err != nil {
			// Closes the connection before the final chunk, as a crash would.
			_ = conn.Close()
		}
	})
	return nil
}

// lineWriter serialises the writing of chunks and keep-alive lines to one stream.
type lineWriter struct {
	mu     sync.Mutex
	w      *bufio.Writer
	cancel context.CancelFunc
}

func (l *lineWriter) writeChunk(chunk provider.Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.w.Write(append(data, '\n'))
	return l.w.Flush()
}

// keepAlive writes empty lines until ctx ends, except while the engine hangs. If a write
// fails, it cancels the stream.
func (l *lineWriter) keepAlive(ctx context.Context, hangs func() bool) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if hangs() {
			continue
		}
		l.mu.Lock()
		_ = l.w.WriteByte('\n')
		err := l.w.Flush()
		l.mu.Unlock()
		if err != nil {
			l.cancel()
			return
		}
	}
}
