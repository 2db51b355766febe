package server

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// maxBodyBytes bounds a request's body before its service is known; it is the
// highest value that a service's limit may have, scaled to what one small host
// can hold for some tens of requests at once.
const maxBodyBytes = 8 << 20

// maxHeaderBytes bounds the headers of a request.
const maxHeaderBytes = 16 << 10

// heartbeatEvery is the interval of comment lines on idle streams.
const heartbeatEvery = 5 * time.Second

// Server serves callers and operators.
type Server struct {
	core      Daemon
	keys      *Keyring
	logger    *zap.Logger
	app       *fiber.App
	heartbeat time.Duration
	newID     func() string
}

// New returns a server for a core.
func New(core Daemon, keys *Keyring, logger *zap.Logger) *Server {
	s := &Server{core: core, keys: keys, logger: logger, heartbeat: heartbeatEvery, newID: uuid.NewString}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		// Values outlive the handler when a stream is written after it returns.
		Immutable:      true,
		BodyLimit:      maxBodyBytes,
		ReadBufferSize: maxHeaderBytes,
		ReadTimeout:    30 * time.Second,
		IdleTimeout:    120 * time.Second,
		ErrorHandler:   s.handleError,
	})
	s.app.Use(s.recoverPanic)
	callers := s.app.Group("/v1", s.authenticate("caller"))
	callers.Post("/chat/completions", s.chat)
	callers.Get("/services/:service/*", s.invoke)
	callers.Post("/services/:service/*", s.invoke)
	callers.Get("/programs/:program", s.showProgram)
	callers.Delete("/programs/:program", s.endProgram)
	s.routeOperators()
	return s
}

// Serve serves connections of the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.app.Listener(listener)
}

// Shutdown stops accepting connections and waits for requests in progress.
func (s *Server) Shutdown(timeout time.Duration) error {
	return s.app.ShutdownWithTimeout(timeout)
}

func (s *Server) authenticate(role string) fiber.Handler {
	return func(c *fiber.Ctx) error {
		client, found, ok := s.keys.Authenticate(c.Get(fiber.HeaderAuthorization))
		if !ok {
			return s.refuse(c, Response{Code: CodeUnauthorized, Message: "a known bearer key is required"})
		}
		if found != role {
			return s.refuse(c, Response{Code: CodeForbidden, Message: "the key has another role"})
		}
		c.Locals("client", client)
		c.Locals("role", found)
		c.Locals("call", s.newID())
		return c.Next()
	}
}

// recoverPanic answers 500 for a defect in a handler; the process goes on.
func (s *Server) recoverPanic(c *fiber.Ctx) (err error) {
	defer func() {
		if r := recover(); r != nil {
			s.logger.Error("panic in handler", zap.Any("panic", r), zap.String("path", c.Path()), zap.Stack("stack"))
			err = s.refuse(c, Response{Outcome: OutcomeUnknown, Code: CodeInternal, Message: "internal error"})
		}
	}()
	return c.Next()
}

func (s *Server) handleError(c *fiber.Ctx, err error) error {
	answer := Response{Outcome: OutcomeNotRun, Code: CodeInvalidRequest, Message: err.Error()}
	status := http.StatusBadRequest
	var fe *fiber.Error
	if errors.As(err, &fe) {
		status = fe.Code
	}
	switch status {
	case http.StatusRequestEntityTooLarge:
		answer.Code = CodeTooLarge
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		answer.Code = CodeNotFound
	}
	return s.writeError(c, status, answer)
}

// refuse answers a request that was not run, unless the answer says otherwise.
func (s *Server) refuse(c *fiber.Ctx, answer Response) error {
	if answer.Outcome == "" {
		answer.Outcome = OutcomeNotRun
	}
	return s.writeError(c, statusOf(answer), answer)
}
