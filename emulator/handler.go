package emulator

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/gofiber/fiber/v2"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// errorBody is the body of an error response of a stand-in.
type errorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

var kindStatuses = map[provider.Kind]int{
	provider.KindConflict:    http.StatusConflict,
	provider.KindFenced:      http.StatusPreconditionFailed,
	provider.KindNotFound:    http.StatusNotFound,
	provider.KindUnsupported: http.StatusNotImplemented,
	provider.KindInvalid:     http.StatusBadRequest,
	provider.KindRefused:     http.StatusServiceUnavailable,
	provider.KindUnavailable: http.StatusServiceUnavailable,
}

func writeError(c *fiber.Ctx, err error) error {
	kind := provider.KindOf(err)
	status, ok := kindStatuses[kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	return c.Status(status).JSON(errorBody{Kind: kind.String(), Message: err.Error()})
}

func newApp() *fiber.App {
	return fiber.New(fiber.Config{
		DisableStartupMessage: true, Immutable: true, BodyLimit: 64 << 20, ReadBufferSize: 16 << 10,
	})
}

// addFaultRoutes adds GET and POST /faults, which read and change a stand-in's fault
// switches.
func addFaultRoutes[T any](app *fiber.App, get func() T, set func(T)) {
	app.Get("/faults", func(c *fiber.Ctx) error { return c.JSON(get()) })
	app.Post("/faults", func(c *fiber.Ctx) error {
		// Fields that are missing in the body keep their value.
		faults := get()
		if err := json.Unmarshal(c.Body(), &faults); err != nil {
			return writeError(c, provider.NewError("faults", provider.KindInvalid, err))
		}
		set(faults)
		return c.JSON(get())
	})
}

// abort closes the connection without a response.
func abort(c *fiber.Ctx) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(net.Conn) {})
	return nil
}

// stall keeps the connection open without a response until done is closed.
func stall(c *fiber.Ctx, done <-chan struct{}) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(net.Conn) { <-done })
	return nil
}
