package admin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// State is the state of one condition.
type State struct {
	Name   string    `json:"name"`
	Met    bool      `json:"met"`
	Reason string    `json:"reason,omitempty"` // why it is not met
	Since  time.Time `json:"since"`
}

// Condition is one requirement that must be met for the process to be ready.
type Condition struct {
	logger zerolog.Logger

	mu    sync.Mutex
	state State
}

// Set records whether the condition is met, and if not, the reason. It logs a line when
// met changes.
func (c *Condition) Set(met bool, reason string) {
	if met {
		reason = ""
	}
	c.mu.Lock()
	changed := c.state.Met != met
	if changed {
		c.state.Since = time.Now()
	}
	c.state.Met, c.state.Reason = met, reason
	c.mu.Unlock()

	if changed {
		c.logger.Info().Str("condition", c.state.Name).Bool("met", met).Str("reason", reason).Msg("readiness")
	}
}

// State returns a copy of the condition's state.
func (c *Condition) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Condition returns the condition with the given name. It creates the condition, which is then not met, if there is none.
func (s *Server) Condition(name string) *Condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conditions {
		if c.state.Name == name {
			return c
		}
	}
	c := &Condition{
		logger: s.logger,
		state:  State{Name: name, Reason: "not reached yet", Since: time.Now()},
	}
	s.conditions = append(s.conditions, c)
	return c
}

// states returns the states of the conditions, sorted by name, and whether all are met. A process
// without conditions is not ready: it has not yet registered what it requires and
// must receive no traffic.
func (s *Server) states() (states []State, ready bool) {
	s.mu.Lock()
	conditions := slices.Clone(s.conditions)
	s.mu.Unlock()

	ready = len(conditions) > 0
	for _, c := range conditions {
		state := c.State()
		ready = ready && state.Met
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
	return states, ready
}
