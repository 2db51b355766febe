package generator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// LogNormal is a log-normal distribution with bounds.
type LogNormal struct {
	Median float64
	Sigma  float64
	Min    float64
	Max    float64
}

func (n LogNormal) draw(r *rand.Rand) float64 {
	return math.Min(n.Max, math.Max(n.Min, n.Median*math.Exp(n.Sigma*r.NormFloat64())))
}

// Tool is a kind of pause between two turns.
type Tool struct {
	Name  string
	Share float64
	// PauseSeconds is in seconds; a tool without one is a call of the plain service.
	PauseSeconds LogNormal
}

// Shape describes the programs of a deployment.
type Shape struct {
	Turns              LogNormal
	HistoryTokens      LogNormal
	AppendTokens       LogNormal
	CompletionTokens   LogNormal
	PrefixTokens       []int
	Tools              []Tool
	SubAgentShare      float64
	SubAgentTurns      LogNormal
	MaxHistoryTokens   int
	PlainSeconds       LogNormal
	BusiestClientShare float64
	MaxTokens          int
}

// DefaultShape returns the shape that the package comment gives reasons for.
func DefaultShape() Shape {
	return Shape{
		Turns:            LogNormal{Median: 6, Sigma: 0.9, Min: 1, Max: 72},
		HistoryTokens:    LogNormal{Median: 1_500, Sigma: 1.3, Min: 64, Max: 200_000},
		AppendTokens:     LogNormal{Median: 500, Sigma: 1, Min: 32, Max: 20_000},
		CompletionTokens: LogNormal{Median: 120, Sigma: 0.7, Min: 8, Max: 1_024},
		PrefixTokens:     []int{2_048, 3_072, 4_096},
		Tools: []Tool{
			{Name: "lookup", Share: 0.35, PauseSeconds: LogNormal{Median: 0.3, Sigma: 0.6, Min: 0.05, Max: 20}},
			{Name: "mail", Share: 0.15, PauseSeconds: LogNormal{Median: 1.5, Sigma: 0.6, Min: 0.2, Max: 60}},
			{Name: "document", Share: 0.15, PauseSeconds: LogNormal{Median: 3, Sigma: 0.6, Min: 0.5, Max: 120}},
			{Name: "person", Share: 0.05, PauseSeconds: LogNormal{Median: 25, Sigma: 0.8, Min: 3, Max: 300}},
			{Name: "plain", Share: 0.3},
		},
		SubAgentShare: 1.0 / 12, SubAgentTurns: LogNormal{Median: 3, Sigma: 0.5, Min: 1, Max: 10},
		MaxHistoryTokens: 250_000,
		PlainSeconds:     LogNormal{Median: 0.12, Sigma: 0.8, Min: 0.02, Max: 5}, BusiestClientShare: 0.3,
		MaxTokens: 1_024,
	}
}

// Turn is one model call and what follows it.
type Turn struct {
	// AppendTokens are the tokens added to the history before the call.
	AppendTokens     int
	CompletionTokens int
	// MaxTokens is what the caller allows.
	MaxTokens int
	// Tool names what the program waits for after the turn, Pause how long;
	// Plain is the service time of a plain call instead.
	Tool          string
	Pause         time.Duration
	PlainDuration time.Duration
	Repeatable    bool
	// SubAgents run between this turn and the next.
	SubAgents []*Program
}

// Program is one agent program.
type Program struct {
	ID          string
	Root        string
	Client      string
	DomainIndex int
	Arrival     time.Duration
	// PrefixIndex numbers the shared prefix, Shared is its length in tokens.
	PrefixIndex  int
	PrefixTokens int
	Turns        []Turn
	// Chain is the hash chain of the whole history.
	Chain []uint64
}

// PromptTokens returns the tokens of the prompt of a turn (from 0) and the tokens after
// its answer.
func (p *Program) PromptTokens(turn int) (before, after int) {
	total := p.PrefixTokens
	for i := 0; i <= turn; i++ {
		total += p.Turns[i].AppendTokens
		before = total
		total += p.Turns[i].CompletionTokens
	}
	return before, total
}

// ModelCalls returns the number of model calls with those of sub-agents.
func (p *Program) ModelCalls() int {
	calls := len(p.Turns)
	for i := range p.Turns {
		for _, s := range p.Turns[i].SubAgents {
			calls += s.ModelCalls()
		}
	}
	return calls
}

// Source generates programs in the order of their arrival.
type Source struct {
	deployment Deployment
	shape      Shape
	rate       float64
	random     *rand.Rand
	now        float64
	count      int
}

// New returns a source of rate programs a second with Poisson arrivals.
func New(deployment Deployment, shape Shape, rate float64, seed uint64) *Source {
	return &Source{
		deployment: deployment, shape: shape, rate: rate,
		random: rand.New(rand.NewPCG(seed, 0xa0761d6478bd642f)),
	}
}

// Next returns the next program. The shape of the n-th program does not depend on
// the rate, so that loads differ in nothing else.
func (s *Source) Next() *Program {
	s.count++
	s.now += s.random.ExpFloat64() / s.rate
	r := s.random
	p := s.program(fmt.Sprintf("p%d", s.count), "", s.shape.Turns, s.domain())
	p.Root = p.ID
	p.Arrival = time.Duration(s.now * float64(time.Second))
	p.Client = "c0"
	if r.Float64() > s.shape.BusiestClientShare {
		p.Client = fmt.Sprintf("c%d", 1+r.IntN(s.deployment.Clients-1))
	}
	if r.Float64() < s.shape.SubAgentShare {
		s.addSubAgents(p)
	}
	return p
}

func (s *Source) domain() int {
	x := s.random.Float64()
	for i, d := range s.deployment.Domains {
		if x -= d.CallerShare; x < 0 {
			return i
		}
	}
	return len(s.deployment.Domains) - 1
}

func (s *Source) addSubAgents(p *Program) {
	turn := &p.Turns[s.random.IntN(len(p.Turns))]
	for i := range 2 + s.random.IntN(2) {
		sub := s.program(fmt.Sprintf("%s.%d", p.ID, i), p.Client, s.shape.SubAgentTurns, p.DomainIndex)
		sub.Root = p.ID
		turn.SubAgents = append(turn.SubAgents, sub)
	}
}

func (s *Source) program(id, client string, turns LogNormal, domain int) *Program {
	r := s.random
	p := &Program{ID: id, Client: client, DomainIndex: domain, PrefixIndex: r.IntN(len(s.shape.PrefixTokens))}
	p.PrefixTokens = s.shape.PrefixTokens[p.PrefixIndex]
	count := int(math.Round(turns.draw(r)))
	total := p.PrefixTokens
	for i := range count {
		turn := s.turn(i == 0)
		total += turn.AppendTokens + turn.CompletionTokens
		if total > s.shape.MaxHistoryTokens && i > 0 {
			total -= turn.AppendTokens + turn.CompletionTokens
			break
		}
		p.Turns = append(p.Turns, turn)
	}
	p.Chain = chain(id, p.PrefixIndex, p.PrefixTokens, total)
	return p
}

func (s *Source) turn(first bool) Turn {
	r := s.random
	turn := Turn{AppendTokens: int(s.shape.AppendTokens.draw(r)), CompletionTokens: int(s.shape.CompletionTokens.draw(r))}
	if first {
		turn.AppendTokens = int(s.shape.HistoryTokens.draw(r))
	}
	turn.MaxTokens = s.shape.MaxTokens
	x := r.Float64()
	for _, tool := range s.shape.Tools {
		if x -= tool.Share; x >= 0 {
			continue
		}
		turn.Tool = tool.Name
		if tool.PauseSeconds.Median > 0 {
			turn.Pause = seconds(tool.PauseSeconds.draw(r))
		} else {
			turn.PlainDuration = seconds(s.shape.PlainSeconds.draw(r))
			turn.Repeatable = r.Float64() >= s.deployment.NonRepeatableShare
		}
		break
	}
	return turn
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// chain returns the block hashes of a history: those of the shared prefix, then
// the program's own.
func chain(id string, prefix, shared, total int) []uint64 {
	blocks := make([]uint64, total/provider.BlockTokens)
	own := uint64(14695981039346656037)
	for i := range len(id) {
		own = (own ^ uint64(id[i])) * 1099511628211
	}
	hash := uint64(prefix) + 1
	for i := range blocks {
		if i*provider.BlockTokens >= shared {
			hash ^= own
		}
		hash = (hash ^ hash>>29) * 0xbf58476d1ce4e5b9
		hash ^= hash >> 32
		blocks[i] = hash
	}
	return blocks
}
