package server

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/parser"
)

// maxBodyBytes bounds a request body before its service is known.
const maxBodyBytes = parser.MaxBodyBytes

const maxHeaderBytes = 16 << 10

// heartbeatInterval is the time without output after which a stream sends a
// comment line.
const heartbeatInterval = 5 * time.Second

// Server handles the HTTP requests of callers and operators.
type Server struct {
	daemon    Daemon
	keys      *Keyring
	logger    *zap.Logger
	app       *fiber.App
	heartbeat time.Duration
	newCallID func() string
}

// New returns a server that passes requests on to daemon.
func New(daemon Daemon, keys *Keyring, logger *zap.Logger) *Server {
	s := &Server{daemon: daemon, keys: keys, logger: logger, heartbeat: heartbeatInterval, newCallID: uuid.NewString}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		// A streamed response is written after its handler has returned and still
		// uses values of the request.
		Immutable:      true,
		BodyLimit:      maxBodyBytes,
		ReadBufferSize: maxHeaderBytes,
		ReadTimeout:    30 * time.Second,
		IdleTimeout:    120 * time.Second,
		ErrorHandler:   s.handleError,
	})
	s.app.Use(s.recoverPanic)
	callers := s.app.Group("/v1", s.authenticate("caller"))
	callers.Post("/chat/completions", s.chatCompletions)
	callers.Get("/services/:service/*", s.invokeService)
	callers.Post("/services/:service/*", s.invokeService)
	callers.Get("/programs/:program", s.showProgram)
	callers.Delete("/programs/:program", s.endProgram)
	s.addOperatorRoutes()
	return s
}

// Serve accepts connections from the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.app.Listener(listener)
}

// Shutdown stops accepting connections and waits up to timeout for requests in
// progress.
func (s *Server) Shutdown(timeout time.Duration) error {
	return s.app.ShutdownWithTimeout(timeout)
}

// authenticate returns a handler that rejects requests without a key of the role.
// It stores the key's client and role and a new call ID in the request's locals.
func (s *Server) authenticate(role string) fiber.Handler {
	return func(c *fiber.Ctx) error {
		client, keyRole, ok := s.keys.Authenticate(c.Get(fiber.HeaderAuthorization))
		if !ok {
			return s.reject(c, Response{Code: CodeUnauthorized, Message: "a known bearer key is required"})
		}
		if keyRole != role {
			return s.reject(c, Response{Code: CodeForbidden, Message: "the key has another role"})
		}
		c.Locals("client", client)
		c.Locals("role", keyRole)
		c.Locals("call", s.newCallID())
		return c.Next()
	}
}

// recoverPanic responds with status 500 when a handler panics, so that the process
// keeps running.
func (s *Server) recoverPanic(c *fiber.Ctx) (err error) {
	defer func() {
		if r := recover(); r != nil {
			s.logger.Error("request handler panicked; responding with status 500", zap.Any("panic", r), zap.String("path", c.Path()), zap.Stack("stack"))
			err = s.reject(c, Response{Outcome: OutcomeUnknown, Code: CodeInternal, Message: "internal error"})
		}
	}()
	return c.Next()
}

// handleError writes the response for an error of fiber, such as an unknown path or
// a body over the limit.
func (s *Server) handleError(c *fiber.Ctx, err error) error {
	response := Response{Outcome: OutcomeNotRun, Code: CodeInvalidRequest, Message: err.Error()}
	status := http.StatusBadRequest
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		status = fiberErr.Code
	}
	switch status {
	case http.StatusRequestEntityTooLarge:
		response.Code = CodeTooLarge
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		response.Code = CodeNotFound
	}
	return s.writeError(c, status, response)
}

// reject writes an error response. An empty outcome means that the call has not run.
func (s *Server) reject(c *fiber.Ctx, response Response) error {
	if response.Outcome == "" {
		response.Outcome = OutcomeNotRun
	}
	return s.writeError(c, httpStatusOf(response), response)
}
