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

func detailOf(answer Response) errorDetail {
	answer = withRetry(answer)
	return errorDetail{
		Code: answer.Code, Message: answer.Message, Outcome: answer.Outcome,
		RetryAfterMs: answer.RetryAfterMs, Program: answer.Program, Step: answer.Step,
	}
}

func (s *Server) setHeaders(c *fiber.Ctx, answer Response) {
	if id, ok := c.Locals("call").(string); ok {
		c.Set(HeaderCallID, id)
	}
	if answer.Program != "" {
		c.Set(HeaderProgram, answer.Program)
	}
	if answer.Step > 0 {
		c.Set(HeaderStep, strconv.Itoa(answer.Step))
	}
	if answer.Outcome != "" {
		c.Set(HeaderOutcome, answer.Outcome)
	}
}

func (s *Server) writeError(c *fiber.Ctx, status int, answer Response) error {
	s.setHeaders(c, answer)
	answer = withRetry(answer)
	if answer.RetryAfterMs > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa((answer.RetryAfterMs+999)/1000))
	}
	return c.Status(status).JSON(errorBody{Error: detailOf(answer)})
}
