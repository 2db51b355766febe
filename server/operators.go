package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

// adminTimeout bounds an operator's request that involves the store or another
// daemon.
const adminTimeout = 10 * time.Second

// Bounds on the values of an operator's request.
const (
	defaultListLimit = 100
	maxPrograms      = 10_000
	maxAuditRecords  = 1_000
	maxAuditVersion  = 1 << 40
	maxReasonBytes   = 1024
)

// maxDrainAttempts bounds how often a drain is published again after a conflict.
const maxDrainAttempts = 5

func (s *Server) addOperatorRoutes() {
	admin := s.app.Group("/admin/v1", s.authenticate("operator"))
	admin.Get("/status", func(c *fiber.Ctx) error { return c.JSON(s.daemon.Status()) })
	admin.Get("/hosts", func(c *fiber.Ctx) error { return c.JSON(orEmpty(s.daemon.Hosts())) })
	admin.Get("/targets", func(c *fiber.Ctx) error { return c.JSON(orEmpty(s.daemon.Targets(c.Query("service")))) })
	admin.Get("/services", func(c *fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		defer cancel()
		return c.JSON(orEmpty(s.daemon.Services(ctx)))
	})
	admin.Get("/programs", s.listPrograms)
	admin.Get("/programs/:program", s.showProgram)
	admin.Delete("/programs/:program", s.endProgram)
	admin.Get("/config", s.showConfig)
	admin.Get("/config/:version", s.showConfig)
	admin.Post("/config", s.publishConfig)
	admin.Post("/drain", s.drainHandler(publisher.ActionDrain))
	admin.Post("/undrain", s.drainHandler(publisher.ActionUndrain))
	admin.Get("/audit", s.listAuditRecords)
}

// orEmpty makes an empty list encode as [] and not as null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// queryInt returns a query parameter as a number from 0 to maxValue, or fallback if
// it is missing.
func queryInt(c *fiber.Ctx, name string, fallback, maxValue int) (int, error) {
	text := c.Query(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxValue {
		return 0, invalidField(name, "0 to "+strconv.Itoa(maxValue))
	}
	return n, nil
}

func (s *Server) rejectInvalid(c *fiber.Ctx, err error) error {
	return s.reject(c, Response{Code: CodeInvalidRequest, Message: err.Error()})
}

func (s *Server) listPrograms(c *fiber.Ctx) error {
	limit, err := queryInt(c, "limit", defaultListLimit, maxPrograms)
	if err != nil {
		return s.rejectInvalid(c, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	filter := ProgramFilter{Client: c.Query("client"), State: c.Query("state"), Limit: limit}
	return c.JSON(orEmpty(s.daemon.Programs(ctx, filter)))
}

// clientFilter returns the client whose programs the request may access, or "" for
// operators, who may access all programs.
func clientFilter(c *fiber.Ctx) string {
	if role, _ := c.Locals("role").(string); role == "operator" {
		return ""
	}
	client, _ := c.Locals("client").(string)
	return client
}

func (s *Server) showProgram(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	id := c.Params("program")
	if !validID(id) {
		return s.rejectInvalid(c, invalidField("program", "an id that this system has issued"))
	}
	program, response := s.daemon.Program(ctx, clientFilter(c), id)
	if response.Code != "" {
		return s.reject(c, response)
	}
	return c.JSON(program)
}

func (s *Server) endProgram(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	id := c.Params("program")
	if !validID(id) {
		return s.rejectInvalid(c, invalidField("program", "an id that this system has issued"))
	}
	program, response := s.daemon.EndProgram(ctx, clientFilter(c), id)
	if response.Code != "" {
		return s.reject(c, response)
	}
	return c.JSON(program)
}

func (s *Server) showConfig(c *fiber.Ctx) error {
	version := -1
	if text := c.Params("version"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return s.rejectInvalid(c, invalidField("version", "a version"))
		}
		version = n
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	document, err := s.daemon.ConfigDocument(ctx, version)
	if err != nil {
		return s.writeConfigError(c, err)
	}
	document.Sections = orEmpty(document.Sections)
	return c.JSON(document)
}

func (s *Server) publishConfig(c *fiber.Ctx) error {
	proposal, err := decodeProposal(c.Body())
	if err != nil {
		return s.rejectInvalid(c, err)
	}
	// The operator in the audit record comes from the key, never from the request.
	proposal.Operator, _ = c.Locals("client").(string)
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	version, err := s.daemon.Publish(ctx, proposal)
	if err != nil {
		return s.writeConfigError(c, err)
	}
	return c.JSON(map[string]int{"version": version})
}

func decodeProposal(data []byte) (publisher.Proposal, error) {
	var proposal publisher.Proposal
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&proposal); err != nil {
		return proposal, &Error{operation: "request", kind: KindDecode, cause: err}
	}
	switch proposal.Action {
	case publisher.ActionPublish, publisher.ActionRollback, publisher.ActionDrain, publisher.ActionUndrain:
		return proposal, nil
	}
	return proposal, invalidField("action", "publish, rollback, drain or undrain")
}

type drainBody struct {
	Host   string `json:"host"`
	Reason string `json:"reason"`
}

// drainHandler returns a handler that drains or undrains one host or target. The
// change does not depend on the rest of the configuration, so it is published again
// after a conflict.
func (s *Server) drainHandler(action string) fiber.Handler {
	return func(c *fiber.Ctx) error {
		body, err := decodeDrain(c.Body())
		if err != nil {
			return s.rejectInvalid(c, err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		defer cancel()
		operator, _ := c.Locals("client").(string)
		var version int
		for range maxDrainAttempts {
			version, err = s.publishDrain(ctx, action, operator, body)
			if !publisher.IsConflict(err) {
				break
			}
		}
		if err != nil {
			return s.writeConfigError(c, err)
		}
		return c.JSON(map[string]int{"version": version})
	}
}

func decodeDrain(data []byte) (drainBody, error) {
	var body drainBody
	if err := json.Unmarshal(data, &body); err != nil {
		return body, &Error{operation: "request", kind: KindDecode, cause: err}
	}
	if !validID(body.Host) || body.Host == "" {
		return body, invalidField("host", "the name of a host or target")
	}
	if len(body.Reason) > maxReasonBytes {
		return body, invalidField("reason", fmt.Sprintf("at most %d bytes", maxReasonBytes))
	}
	return body, nil
}

// publishDrain publishes the current configuration with one drain added or removed
// and returns the new version.
func (s *Server) publishDrain(ctx context.Context, action, operator string, body drainBody) (int, error) {
	current, err := s.daemon.ConfigDocument(ctx, -1)
	if err != nil {
		return 0, err
	}
	next := publisher.WithoutDrain(current, body.Host)
	if action == publisher.ActionDrain {
		next = publisher.WithDrain(current, body.Host, body.Reason)
	}
	return s.daemon.Publish(ctx, publisher.Proposal{
		From: current.Version, Operator: operator, Action: action, Document: next,
	})
}

func (s *Server) listAuditRecords(c *fiber.Ctx) error {
	after, err := queryInt(c, "after", 0, maxAuditVersion)
	if err != nil {
		return s.rejectInvalid(c, err)
	}
	limit, err := queryInt(c, "limit", defaultListLimit, maxAuditRecords)
	if err != nil {
		return s.rejectInvalid(c, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	records, err := s.daemon.AuditRecords(ctx, after, limit)
	if err != nil {
		return s.writeConfigError(c, err)
	}
	return c.JSON(orEmpty(records))
}

type configErrorBody struct {
	Error  errorDetail          `json:"error"`
	Winner *encoder.AuditRecord `json:"winner,omitempty"`
}

var configErrorStatuses = map[publisher.Kind]int{
	publisher.KindConflict:    http.StatusConflict,
	publisher.KindInvalid:     http.StatusBadRequest,
	publisher.KindUnavailable: http.StatusServiceUnavailable,
	publisher.KindUnknown:     http.StatusBadGateway,
	publisher.KindNotFound:    http.StatusNotFound,
}

// writeConfigError responds with an error of the publisher and, after a conflict, with
// the audit record of the change that was published first.
func (s *Server) writeConfigError(c *fiber.Ctx, err error) error {
	body := configErrorBody{Error: errorDetail{Code: CodeInternal, Message: err.Error(), Outcome: OutcomeUnknown}}
	status := http.StatusInternalServerError
	var publisherErr *publisher.Error
	if errors.As(err, &publisherErr) {
		status = configErrorStatuses[publisherErr.Kind()]
		body.Error.Code, body.Winner = publisherErr.Kind().String(), publisherErr.ConflictingRecord()
		if publisherErr.Kind() != publisher.KindUnknown {
			body.Error.Outcome = OutcomeNotRun
		}
	}
	if status == 0 {
		status = http.StatusInternalServerError
	}
	return c.Status(status).JSON(body)
}
