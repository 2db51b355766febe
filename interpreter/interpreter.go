package interpreter

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Chart is an immutable state chart. It is safe for concurrent use.
type Chart struct {
	name     string
	initial  string
	states   map[string]state
	bindings Bindings
}

// Bindings holds the guards and handlers of a chart by their names.
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

// UnmarshalJSON decodes the name of the next state or an object.
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

// Load decodes a chart without guards and handlers and validates it. The events are
// those that the code sends.
func Load(data []byte, events ...string) (*Chart, error) {
	return LoadBound(data, Bindings{}, events...)
}

// MustLoad is like Load but panics if the chart is invalid. It is meant for package
// variables, so that a process with an invalid chart does not start.
func MustLoad(data []byte, events ...string) *Chart {
	chart, err := Load(data, events...)
	if err != nil {
		panic(err)
	}
	return chart
}

// LoadBound is like Load for a chart whose transitions name guards and handlers.
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

// Initial returns the initial state.
func (c *Chart) Initial() string { return c.initial }

// States returns the names of all states in sorted order.
func (c *Chart) States() []string { return slices.Sorted(maps.Keys(c.states)) }

// Has reports whether the chart defines the state. Use it to check a state that was
// read from a store or received in a message.
func (c *Chart) Has(state string) bool {
	_, ok := c.states[state]
	return ok
}

// Terminal reports whether the state is terminal. A terminal state has no transitions.
func (c *Chart) Terminal(state string) bool { return c.states[state].Terminal }

// Next returns the state that follows an event. It ignores guards and handlers. If the
// state does not accept the event, Next returns the same state and false.
func (c *Chart) Next(state, event string) (string, bool) {
	t, ok := c.states[state].On[event]
	if !ok {
		return state, false
	}
	return t.To, true
}

// Fire is like Next for charts with guards and handlers. If the guard returns true or
// there is none, Fire runs the handlers with the context and returns the next state.
// Otherwise it returns the same state and false.
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
