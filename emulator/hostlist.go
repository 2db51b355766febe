package emulator

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/etag"
	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// HostListFaults are the switches of the host list.
type HostListFaults struct {
	// LagMs is the age of what List returns.
	LagMs int `json:"lagMs"`
	// Down makes List fail.
	Down bool `json:"down"`
}

// HostList is a stand-in for the platform's eventually consistent host list.
type HostList struct {
	mu      sync.Mutex
	faults  HostListFaults
	members map[string]provider.Member
	// history has a copy of the list after each change.
	history []listState
}

type listState struct {
	at      time.Time
	members []provider.Member
}

// maxListStates bounds the list's history.
const maxListStates = 1_024

// NewHostList returns a list of the members.
func NewHostList(members []provider.Member) *HostList {
	h := &HostList{members: map[string]provider.Member{}}
	for _, member := range members {
		h.members[member.Host] = member
	}
	h.history = []listState{{members: h.sorted()}}
	return h
}

func (h *HostList) sorted() []provider.Member {
	return slices.SortedFunc(maps.Values(h.members), func(a, b provider.Member) int {
		return strings.Compare(a.Host, b.Host)
	})
}

// Faults returns the switches.
func (h *HostList) Faults() HostListFaults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults
}

// SetFaults sets the switches.
func (h *HostList) SetFaults(faults HostListFaults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = faults
}

// Put adds or replaces a member; set its Leaving to announce that it leaves.
func (h *HostList) Put(member provider.Member) {
	h.change(func() { h.members[member.Host] = member })
}

// Remove removes a host.
func (h *HostList) Remove(host string) {
	h.change(func() { delete(h.members, host) })
}

func (h *HostList) change(apply func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	apply()
	h.history = append(h.history, listState{at: time.Now(), members: h.sorted()})
	if len(h.history) > maxListStates {
		h.history = slices.Delete(h.history, 0, len(h.history)-maxListStates)
	}
}

// List returns the members as they were LagMs ago.
func (h *HostList) List(context.Context) ([]provider.Member, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faults.Down {
		return nil, provider.NewError("hosts.list", provider.KindUnavailable, eris.New("down by switch"))
	}
	limit := time.Now().Add(-time.Duration(h.faults.LagMs) * time.Millisecond)
	seen := h.history[0]
	for _, state := range h.history[1:] {
		if !state.at.After(limit) {
			seen = state
		}
	}
	return slices.Clone(seen.members), nil
}

// Handler serves the list: GET /v1/hosts lists (with an ETag), POST /v1/hosts puts one member
// and DELETE /v1/hosts/<host> removes one.
func (h *HostList) Handler() *fiber.App {
	app := newApp()
	app.Use("/v1/hosts", etag.New())
	faultRoutes(app, h.Faults, h.SetFaults)
	app.Get("/v1/hosts", func(c *fiber.Ctx) error {
		members, err := h.List(c.Context())
		return respondValue(c, members, err)
	})
	app.Post("/v1/hosts", func(c *fiber.Ctx) error {
		var member provider.Member
		if err := json.Unmarshal(c.Body(), &member); err != nil || member.Host == "" {
			return writeFailure(c, provider.NewError("hosts.put", provider.KindInvalid, err))
		}
		h.Put(member)
		return c.JSON(member)
	})
	app.Delete("/v1/hosts/:host", func(c *fiber.Ctx) error {
		h.Remove(c.Params("host"))
		return c.JSON(struct{}{})
	})
	return app
}
