package server

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// newCall returns a call with the client, the ID and the headers of the request. On
// failure the call holds what was decoded before the error.
func (s *Server) newCall(c *fiber.Ctx) (Call, error) {
	call := Call{BodyBytes: len(c.Body())}
	call.Client, _ = c.Locals("client").(string)
	call.ID, _ = c.Locals("call").(string)
	err := decodeHeaders(func(name string) string { return c.Get(name) }, &call)
	return call, err
}

func (s *Server) chatCompletions(c *fiber.Ctx) error {
	call, err := s.newCall(c)
	if err == nil {
		err = decodeChat(c.Body(), &call)
	}
	if err != nil {
		return s.reject(c, Response{Code: CodeInvalidRequest, Message: err.Error(), Program: call.Program, Step: call.Step})
	}
	if call.Stream {
		return s.streamChat(c, call)
	}
	response := s.daemon.RunCall(context.WithoutCancel(c.Context()), call, func(Chunk) {})
	if response.Outcome != OutcomeDone {
		return s.reject(c, response)
	}
	s.setResponseHeaders(c, response)
	return c.JSON(completionOf(call, response))
}

// forwardedHeaders are the request headers that plain services receive in addition
// to the call ID and the idempotency key.
var forwardedHeaders = []string{fiber.HeaderContentType, fiber.HeaderAccept, fiber.HeaderAcceptLanguage}

func (s *Server) invokeService(c *fiber.Ctx) error {
	call, err := s.newCall(c)
	if err != nil {
		return s.reject(c, Response{Code: CodeInvalidRequest, Message: err.Error(), Program: call.Program, Step: call.Step})
	}
	call.Kind, call.Service = KindPlain, c.Params("service")
	call.Invoke = &provider.InvokeRequest{
		Method: c.Method(), Path: "/" + c.Params("*"), Header: map[string]string{},
		Body: append([]byte(nil), c.Body()...),
	}
	if query := string(c.Request().URI().QueryString()); query != "" {
		call.Invoke.Path += "?" + query
	}
	for _, name := range forwardedHeaders {
		if value := c.Get(name); value != "" {
			call.Invoke.Header[name] = value
		}
	}
	response := s.daemon.RunCall(context.WithoutCancel(c.Context()), call, func(Chunk) {})
	if response.Outcome != OutcomeDone || response.Result == nil {
		return s.reject(c, response)
	}
	s.setResponseHeaders(c, response)
	for name, value := range response.Result.Header {
		if strings.EqualFold(name, fiber.HeaderContentType) {
			c.Set(name, value)
		}
	}
	status := response.Result.Status
	if status < http.StatusOK || status > 599 {
		status = http.StatusBadGateway
	}
	return c.Status(status).Send(response.Result.Body)
}

type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   completionUsage `json:"usage"`
}

type choice struct {
	Index        int                  `json:"index"`
	Message      provider.ChatMessage `json:"message"`
	FinishReason string               `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func modelName(call Call) string {
	if call.Model == "" {
		return call.Service
	}
	return call.Service + "/" + call.Model
}

func usageOf(u provider.Usage) completionUsage {
	return completionUsage{
		PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens,
		TotalTokens:         u.PromptTokens + u.CompletionTokens,
		PromptTokensDetails: promptDetails{CachedTokens: u.CachedTokens},
	}
}

func completionOf(call Call, response Response) completion {
	return completion{
		ID: "chatcmpl-" + call.ID, Object: "chat.completion", Created: time.Now().Unix(), Model: modelName(call),
		Choices: []choice{{
			Message:      provider.ChatMessage{Role: "assistant", Content: response.Text},
			FinishReason: "stop",
		}},
		Usage: usageOf(response.Usage),
	}
}
