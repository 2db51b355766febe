package server

import (
	"strconv"

	"github.com/gofiber/fiber/v2"
)

// Headers of requests and responses.
const (
	HeaderProgram        = "Dogwoodweir-Program"
	HeaderStep           = "Dogwoodweir-Step"
	HeaderParentProgram  = "Dogwoodweir-Parent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Dogwoodweir-Deadline-Ms"
	HeaderBudgetTokens   = "Dogwoodweir-Budget-Tokens"
	HeaderBudgetCost     = "Dogwoodweir-Budget-Cost"
	HeaderBudgetTurns    = "Dogwoodweir-Budget-Turns"
	HeaderEndProgram     = "Dogwoodweir-End"
	HeaderOutcome        = "Dogwoodweir-Outcome"
	HeaderCallID         = "Dogwoodweir-Call"
)

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Outcome      string `json:"outcome"`
	RetryAfterMs int    `json:"retryAfterMs"`
	Program      string `json:"program"`
	Step         int    `json:"step"`
}

func errorDetailOf(response Response) errorDetail {
	response = withRetryAfter(response)
	return errorDetail{
		Code: response.Code, Message: response.Message, Outcome: response.Outcome,
		RetryAfterMs: response.RetryAfterMs, Program: response.Program, Step: response.Step,
	}
}

func (s *Server) setResponseHeaders(c *fiber.Ctx, response Response) {
	if id, ok := c.Locals("call").(string); ok {
		c.Set(HeaderCallID, id)
	}
	if response.Program != "" {
		c.Set(HeaderProgram, response.Program)
	}
	if response.Step > 0 {
		c.Set(HeaderStep, strconv.Itoa(response.Step))
	}
	if response.Outcome != "" {
		c.Set(HeaderOutcome, response.Outcome)
	}
}

func (s *Server) writeError(c *fiber.Ctx, status int, response Response) error {
	s.setResponseHeaders(c, response)
	response = withRetryAfter(response)
	if response.RetryAfterMs > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa((response.RetryAfterMs+999)/1000))
	}
	return c.Status(status).JSON(errorBody{Error: errorDetailOf(response)})
}
