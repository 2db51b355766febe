package server

import (
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
)

// Health says how a daemon is for its load balancer.
type Health interface {
	// Healthy reports whether the loops make progress.
	Healthy() bool
	// Ready reports whether the daemon should get requests.
	Ready() bool
}

// MonitoringServer serves /metrics, /healthz and /readyz on an address of their own, so
// that they answer while the callers' interface is overloaded.
type MonitoringServer struct {
	app *fiber.App
}

// NewMonitoringServer returns a monitor; metrics renders the metrics.
func NewMonitoringServer(health Health, metrics http.Handler) *MonitoringServer {
	m := &MonitoringServer{app: fiber.New(fiber.Config{DisableStartupMessage: true, ReadTimeout: 10 * time.Second})}
	m.app.Get("/metrics", adaptor.HTTPHandler(metrics))
	m.app.Get("/healthz", probe(health.Healthy))
	m.app.Get("/readyz", probe(health.Ready))
	return m
}

func probe(ok func() bool) fiber.Handler {
	return func(c *fiber.Ctx) error {
		if ok() {
			return c.SendString("ok\n")
		}
		return c.Status(http.StatusServiceUnavailable).SendString("no\n")
	}
}

// Serve serves connections of the listener until Shutdown.
func (m *MonitoringServer) Serve(listener net.Listener) error { return m.app.Listener(listener) }

// Shutdown ends the monitor.
func (m *MonitoringServer) Shutdown() error { return m.app.ShutdownWithTimeout(time.Second) }
