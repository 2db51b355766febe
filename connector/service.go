package connector

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	headerAttemptID      = "Dogwoodweir-Call"
	headerIdempotencyKey = "Idempotency-Key"
	headerOutcome        = "Dogwoodweir-Outcome"
)

// Service is the HTTP client of one target of a plain service.
type Service struct {
	client *Client
	base   string
}

// NewService returns a client of the target at an address such as 10.0.0.9:8000.
func NewService(client *Client, address string) *Service {
	return &Service{client: client, base: "http://" + address}
}

// Invoke sends the request exactly once. Its only time limit is the context.
func (s *Service) Invoke(ctx context.Context, request provider.InvokeRequest) (provider.InvokeResult, error) {
	const operation = "service.invoke"
	header := http.Header{}
	for name, value := range request.Header {
		header.Set(name, value)
	}
	header.Set(headerAttemptID, request.AttemptID)
	if request.IdempotencyKey != "" {
		header.Set(headerIdempotencyKey, request.IdempotencyKey)
	}
	response, err := s.client.send(ctx, &trackedRequest{operation: operation}, request.Method, s.base+request.Path, header, request.Body)
	if err != nil {
		return provider.InvokeResult{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return provider.InvokeResult{}, provider.NewError(operation, provider.KindUnknown, err)
	}
	if response.Header.Get(headerOutcome) == "notRun" {
		return provider.InvokeResult{}, provider.NewError(operation, provider.KindRefused, nil)
	}
	result := provider.InvokeResult{AttemptID: request.AttemptID, Status: response.StatusCode, Body: body, Header: map[string]string{}}
	if contentType := response.Header.Get("Content-Type"); contentType != "" {
		result.Header["Content-Type"] = contentType
	}
	return result, nil
}

// Lookup returns the result that the target recorded under an idempotency key.
func (s *Service) Lookup(ctx context.Context, key string) (provider.InvokeResult, error) {
	var result provider.InvokeResult
	err := s.client.roundTrip(ctx, "service.lookup", http.MethodGet, s.base+"/lookup?key="+url.QueryEscape(key), nil, &result)
	return result, err
}
