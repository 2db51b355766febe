package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

// adminTimeout bounds a request of an operator that reaches the store or another
// daemon.
const adminTimeout = 10 * time.Second

// maxDrainTries bounds how often a drain is proposed again after a lost race.
const maxDrainTries = 5

func (s *Server) routeOperators() {
	admin := s.app.Group("/admin/v1", s.authenticate("operator"))
	admin.Get("/status", func(c *fiber.Ctx) error { return c.JSON(s.core.Status()) })
	admin.Get("/hosts", func(c *fiber.Ctx) error { return c.JSON(orEmpty(s.core.Hosts())) })
	admin.Get("/targets", func(c *fiber.Ctx) error { return c.JSON(orEmpty(s.core.Targets(c.Query("service")))) })
	admin.Get("/services", func(c *fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		defer cancel()
		return c.JSON(orEmpty(s.core.Services(ctx)))
	})
	admin.Get("/programs", s.listPrograms)
	admin.Get("/programs/:program", s.showProgram)
	admin.Delete("/programs/:program", s.endProgram)
	admin.Get("/config", s.showConfig)
	admin.Get("/config/:version", s.showConfig)
	admin.Post("/config", s.publish)
	admin.Post("/drain", s.drain(publisher.ActionDrain))
	admin.Post("/undrain", s.drain(publisher.ActionUndrain))
	admin.Get("/audit", s.audit)
}

// orEmpty makes an empty list encode as [] and not as null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// number reads a query value within its bounds.
func number(c *fiber.Ctx, name string, fallback, high int) (int, error) {
	text := c.Query(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > high {
		return 0, invalid(name, "0 to "+strconv.Itoa(high))
	}
	return n, nil
}

func (s *Server) refuseRequest(c *fiber.Ctx, err error) error {
	return s.refuse(c, Response{Code: CodeInvalidRequest, Message: err.Error()})
}

func (s *Server) listPrograms(c *fiber.Ctx) error {
	limit, err := number(c, "limit", 100, 10_000)
	if err != nil {
		return s.refuseRequest(c, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	filter := ProgramFilter{Client: c.Query("client"), State: c.Query("state"), Limit: limit}
	return c.JSON(orEmpty(s.core.Programs(ctx, filter)))
}

// clientOf returns the client whose programs the key may see; operators see all.
func clientOf(c *fiber.Ctx) string {
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
		return s.refuseRequest(c, invalid("program", "an id that this system has issued"))
	}
	program, answer := s.core.Program(ctx, clientOf(c), id)
	if answer.Code != "" {
		return s.refuse(c, answer)
	}
	return c.JSON(program)
}

func (s *Server) endProgram(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	id := c.Params("program")
	if !validID(id) {
		return s.refuseRequest(c, invalid("program", "an id that this system has issued"))
	}
	program, answer := s.core.EndProgram(ctx, clientOf(c), id)
	if answer.Code != "" {
		return s.refuse(c, answer)
	}
	return c.JSON(program)
}

func (s *Server) showConfig(c *fiber.Ctx) error {
	version := -1
	if text := c.Params("version"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return s.refuseRequest(c, invalid("version", "a version"))
		}
		version = n
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	document, err := s.core.ConfigDocument(ctx, version)
	if err != nil {
		return s.refuseConfig(c, err)
	}
	document.Sections = orEmpty(document.Sections)
	return c.JSON(document)
}

func (s *Server) publish(c *fiber.Ctx) error {
	proposal, err := decodeProposal(c.Body())
	if err != nil {
		return s.refuseRequest(c, err)
	}
	// The key names the operator in the audit trail, not the request.
	proposal.Operator, _ = c.Locals("client").(string)
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	version, err := s.core.Publish(ctx, proposal)
	if err != nil {
		return s.refuseConfig(c, err)
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
	return proposal, invalid("action", "publish, rollback, drain or undrain")
}

type drainBody struct {
	Host   string `json:"host"`
	Reason string `json:"reason"`
}

// drain changes the drain section of one host. It does not depend on the rest of
// the document, so a lost race is tried again.
func (s *Server) drain(action string) fiber.Handler {
	return func(c *fiber.Ctx) error {
		var body drainBody
		if err := json.Unmarshal(c.Body(), &body); err != nil || !validID(body.Host) || body.Host == "" || len(body.Reason) > 1024 {
			return s.refuseRequest(c, invalid("host", "the name of a host or target"))
		}
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		defer cancel()
		operator, _ := c.Locals("client").(string)
		var version int
		var err error
		for range maxDrainTries {
			version, err = s.proposeDrain(ctx, action, operator, body)
			if !publisher.IsConflict(err) {
				break
			}
		}
		if err != nil {
			return s.refuseConfig(c, err)
		}
		return c.JSON(map[string]int{"version": version})
	}
}

func (s *Server) proposeDrain(ctx context.Context, action, operator string, body drainBody) (int, error) {
	current, err := s.core.ConfigDocument(ctx, -1)
	if err != nil {
		return 0, err
	}
	next := publisher.WithoutDrain(current, body.Host)
	if action == publisher.ActionDrain {
		next = publisher.WithDrain(current, body.Host, body.Reason)
	}
	return s.core.Publish(ctx, publisher.Proposal{
		From: current.Version, Operator: operator, Action: action, Document: next,
	})
}

func (s *Server) audit(c *fiber.Ctx) error {
	after, err := number(c, "after", 0, 1<<40)
	if err != nil {
		return s.refuseRequest(c, err)
	}
	limit, err := number(c, "limit", 100, 1_000)
	if err != nil {
		return s.refuseRequest(c, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	records, err := s.core.AuditRecords(ctx, after, limit)
	if err != nil {
		return s.refuseConfig(c, err)
	}
	return c.JSON(orEmpty(records))
}

type configError struct {
	Error  errorDetail          `json:"error"`
	Winner *encoder.AuditRecord `json:"winner,omitempty"`
}

var configStatuses = map[publisher.Kind]int{
	publisher.KindConflict:    http.StatusConflict,
	publisher.KindInvalid:     http.StatusBadRequest,
	publisher.KindUnavailable: http.StatusServiceUnavailable,
	publisher.KindUnknown:     http.StatusBadGateway,
	publisher.KindNotFound:    http.StatusNotFound,
}

// refuseConfig answers with an error of the publisher and the change that came
// first, if there was one.
func (s *Server) refuseConfig(c *fiber.Ctx, err error) error {
	body := configError{Error: errorDetail{Code: CodeInternal, Message: err.Error(), Outcome: OutcomeUnknown}}
	status := http.StatusInternalServerError
	var failure *publisher.Error
	if errors.As(err, &failure) {
		status = configStatuses[failure.Kind()]
		body.Error.Code, body.Winner = failure.Kind().String(), failure.Winner()
		if failure.Kind() != publisher.KindUnknown {
			body.Error.Outcome = OutcomeNotRun
		}
	}
	if status == 0 {
		status = http.StatusInternalServerError
	}
	return c.Status(status).JSON(body)
}
