package server

import (
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
)

// Health reports the state of a daemon to its load balancer.
type Health interface {
	// Healthy reports whether the daemon's loops make progress.
	Healthy() bool
	// Ready reports whether the daemon should get requests.
	Ready() bool
}

// MonitoringServer serves /metrics, /healthz and /readyz on a separate address, so
// that they respond while the interface for callers is overloaded.
type MonitoringServer struct {
	app *fiber.App
}

// NewMonitoringServer returns a server whose /metrics is served by metrics.
func NewMonitoringServer(health Health, metrics http.Handler) *MonitoringServer {
	m := &MonitoringServer{app: fiber.New(fiber.Config{DisableStartupMessage: true, ReadTimeout: 10 * time.Second})}
	m.app.Get("/metrics", adaptor.HTTPHandler(metrics))
	m.app.Get("/healthz", healthHandler(health.Healthy))
	m.app.Get("/readyz", healthHandler(health.Ready))
	return m
}

func healthHandler(ok func() bool) fiber.Handler {
	return func(c *fiber.Ctx) error {
		if ok() {
			return c.SendString("ok\n")
		}
		return c.Status(http.StatusServiceUnavailable).SendString("no\n")
	}
}

// Serve accepts connections from the listener until Shutdown.
func (m *MonitoringServer) Serve(listener net.Listener) error { return m.app.Listener(listener) }

// Shutdown stops accepting connections and waits up to 1 s for requests in progress.
func (m *MonitoringServer) Shutdown() error { return m.app.ShutdownWithTimeout(time.Second) }
