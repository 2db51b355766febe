package connector

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// HostList is the HTTP client of the platform's host list.
type HostList struct {
	client *Client
	base   string

	mu sync.Mutex
	// tag and members are the last answer: a list that has not changed is not sent
	// again where the platform answers conditional requests.
	tag     string
	members []provider.Member
}

// NewHostList returns a client of the list at a base URL.
func NewHostList(client *Client, base string) *HostList {
	return &HostList{client: client, base: base}
}

// List returns the platform's list.
func (h *HostList) List(ctx context.Context) ([]provider.Member, error) {
	h.mu.Lock()
	tag, members := h.tag, h.members
	h.mu.Unlock()
	header := http.Header{}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	fresh := []provider.Member(nil)
	status, answer, err := h.client.roundTripHeader(ctx, "hosts.list", http.MethodGet, h.base+"/v1/hosts", header, nil, &fresh)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotModified {
		return slices.Clone(members), nil
	}
	h.mu.Lock()
	h.tag, h.members = answer.Get("Etag"), fresh
	h.mu.Unlock()
	return slices.Clone(fresh), nil
}
