package interpreter

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Chart is an immutable state chart. Its methods may be called concurrently.
type Chart struct {
	name     string
	initial  string
	states   map[string]state
	bindings Bindings
}

// Bindings holds the functions that a chart names.
type Bindings struct {
	Guards   map[string]func(context any) bool
	Handlers map[string]func(context any)
}

type state struct {
	Terminal bool                  `json:"terminal,omitempty"`
	On       map[string]transition `json:"on,omitempty"`
}

type transition struct {
	To    string   `json:"to"`
	Guard string   `json:"guard,omitempty"`
	Do    []string `json:"do,omitempty"`
}

// UnmarshalJSON accepts the name of the next state or an object.
func (t *transition) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, &t.To)
	}
	type plain transition
	return decodeStrict(data, (*plain)(t))
}

type chartDocument struct {
	Name    string           `json:"name"`
	Initial string           `json:"initial"`
	States  map[string]state `json:"states"`
}

// Load reads a chart without guards and handlers and checks it against the
// events that the code sends.
func Load(data []byte, events ...string) (*Chart, error) {
	return LoadBound(data, Bindings{}, events...)
}

// MustLoad is Load for package variables: it panics on a faulty chart, so that a
// program with one does not start.
func MustLoad(data []byte, events ...string) *Chart {
	chart, err := Load(data, events...)
	if err != nil {
		panic(err)
	}
	return chart
}

// LoadBound reads a chart whose transitions name guards and handlers.
func LoadBound(data []byte, bindings Bindings, events ...string) (*Chart, error) {
	var d chartDocument
	if err := decodeStrict(data, &d); err != nil {
		return nil, &Error{operation: "load", kind: KindSyntax, cause: err}
	}
	c := &Chart{name: d.Name, initial: d.Initial, states: d.States, bindings: bindings}
	if err := c.validate(events); err != nil {
		return nil, err
	}
	return c, nil
}

func decodeStrict(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// Initial returns the state in which an instance starts.
func (c *Chart) Initial() string { return c.initial }

// States returns the names of all states in order of name.
func (c *Chart) States() []string { return slices.Sorted(maps.Keys(c.states)) }

// Has reports whether the chart defines the state; use it to check a state that
// was read from outside.
func (c *Chart) Has(state string) bool {
	_, ok := c.states[state]
	return ok
}

// Terminal reports whether the state has no exit.
func (c *Chart) Terminal(state string) bool { return c.states[state].Terminal }

// Next returns the state that follows on an event, without guards and handlers.
// It returns the same state and false when the state does not accept the event.
func (c *Chart) Next(state, event string) (string, bool) {
	t, ok := c.states[state].On[event]
	if !ok {
		return state, false
	}
	return t.To, true
}

// Fire is Next for charts with guards and handlers: when the guard holds it runs
// the handlers with the context and returns the next state.
func (c *Chart) Fire(state, event string, context any) (string, bool) {
	t, ok := c.states[state].On[event]
	if !ok || t.Guard != "" && !c.bindings.Guards[t.Guard](context) {
		return state, false
	}
	for _, name := range t.Do {
		c.bindings.Handlers[name](context)
	}
	return t.To, true
}
