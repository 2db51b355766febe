package generator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// LogNormal is a log-normal distribution whose samples are clamped to Min and Max.
type LogNormal struct {
	Median float64
	Sigma  float64
	Min    float64
	Max    float64
}

func (n LogNormal) sample(r *rand.Rand) float64 {
	return math.Min(n.Max, math.Max(n.Min, n.Median*math.Exp(n.Sigma*r.NormFloat64())))
}

// Tool is a tool for which a program waits between two turns.
type Tool struct {
	Name  string
	Share float64
	// PauseSeconds is the duration of the wait. A median of 0 means that the tool is a
	// call of the plain service, whose duration is Shape.PlainSeconds.
	PauseSeconds LogNormal
}

// Shape describes the programs of a deployment.
type Shape struct {
	Turns LogNormal
	// HistoryTokens is added before the first turn, AppendTokens before each later one.
	HistoryTokens    LogNormal
	AppendTokens     LogNormal
	CompletionTokens LogNormal
	// PrefixTokens are the lengths of the shared prefixes.
	PrefixTokens []int
	Tools        []Tool
	// SubAgentShare is the share of programs that start sub-agents.
	SubAgentShare    float64
	SubAgentTurns    LogNormal
	MaxHistoryTokens int
	// PlainSeconds is the service time of a plain call.
	PlainSeconds LogNormal
	// BusiestClientShare is the share of programs of the busiest client.
	BusiestClientShare float64
	MaxTokens          int
}

// DefaultShape returns the shape that the package comment explains.
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
	// AppendTokens is the number of tokens added to the history before the call.
	AppendTokens     int
	CompletionTokens int
	// MaxTokens is the caller's limit of completion tokens.
	MaxTokens int
	// Tool is the tool for which the program waits after the turn, and Pause the
	// duration of the wait. For a plain call, PlainDuration is its service time
	// instead, and Repeatable states whether it may be repeated.
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
	// PrefixIndex is the index of the shared prefix and PrefixTokens its length.
	PrefixIndex  int
	PrefixTokens int
	Turns        []Turn
	// Chain is the hash chain of the whole history.
	Chain []uint64
}

// PromptTokens returns the number of tokens in the prompt of a turn (counted from 0) and
// in the history after the turn.
func (p *Program) PromptTokens(turn int) (before, after int) {
	total := p.PrefixTokens
	for i := 0; i <= turn; i++ {
		total += p.Turns[i].AppendTokens
		before = total
		total += p.Turns[i].CompletionTokens
	}
	return before, total
}

// ModelCalls returns the number of model calls, including those of sub-agents.
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
	deployment     Deployment
	shape          Shape
	rate           float64
	random         *rand.Rand
	arrivalSeconds float64
	count          int
}

// New returns a source of rate programs per second on average, with Poisson arrivals.
func New(deployment Deployment, shape Shape, rate float64, seed uint64) *Source {
	return &Source{
		deployment: deployment, shape: shape, rate: rate,
		random: rand.New(rand.NewPCG(seed, 0xa0761d6478bd642f)),
	}
}

// Next returns the next program. The n-th program has the same shape at every rate, so
// that loads of different rates differ only in their arrivals.
func (s *Source) Next() *Program {
	s.count++
	s.arrivalSeconds += s.random.ExpFloat64() / s.rate
	r := s.random
	p := s.newProgram(fmt.Sprintf("p%d", s.count), "", s.shape.Turns, s.randomDomainIndex())
	p.Root = p.ID
	p.Arrival = time.Duration(s.arrivalSeconds * float64(time.Second))
	p.Client = "c0"
	if r.Float64() > s.shape.BusiestClientShare {
		p.Client = fmt.Sprintf("c%d", 1+r.IntN(s.deployment.Clients-1))
	}
	if r.Float64() < s.shape.SubAgentShare {
		s.addSubAgents(p)
	}
	return p
}

func (s *Source) randomDomainIndex() int {
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
		sub := s.newProgram(fmt.Sprintf("%s.%d", p.ID, i), p.Client, s.shape.SubAgentTurns, p.DomainIndex)
		sub.Root = p.ID
		turn.SubAgents = append(turn.SubAgents, sub)
	}
}

func (s *Source) newProgram(id, client string, turns LogNormal, domainIndex int) *Program {
	r := s.random
	p := &Program{ID: id, Client: client, DomainIndex: domainIndex, PrefixIndex: r.IntN(len(s.shape.PrefixTokens))}
	p.PrefixTokens = s.shape.PrefixTokens[p.PrefixIndex]
	turnCount := int(math.Round(turns.sample(r)))
	total := p.PrefixTokens
	for i := range turnCount {
		turn := s.newTurn(i == 0)
		total += turn.AppendTokens + turn.CompletionTokens
		if total > s.shape.MaxHistoryTokens && i > 0 {
			total -= turn.AppendTokens + turn.CompletionTokens
			break
		}
		p.Turns = append(p.Turns, turn)
	}
	p.Chain = blockHashes(id, p.PrefixIndex, p.PrefixTokens, total)
	return p
}

func (s *Source) newTurn(first bool) Turn {
	r := s.random
	turn := Turn{AppendTokens: int(s.shape.AppendTokens.sample(r)), CompletionTokens: int(s.shape.CompletionTokens.sample(r))}
	if first {
		turn.AppendTokens = int(s.shape.HistoryTokens.sample(r))
	}
	turn.MaxTokens = s.shape.MaxTokens
	x := r.Float64()
	for _, tool := range s.shape.Tools {
		if x -= tool.Share; x >= 0 {
			continue
		}
		turn.Tool = tool.Name
		if tool.PauseSeconds.Median > 0 {
			turn.Pause = durationOf(tool.PauseSeconds.sample(r))
		} else {
			turn.PlainDuration = durationOf(s.shape.PlainSeconds.sample(r))
			turn.Repeatable = r.Float64() >= s.deployment.NonRepeatableShare
		}
		break
	}
	return turn
}

func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// blockHashes returns the hash chain of a history. Programs with the same shared prefix
// have the same hashes for it. The hashes after it depend on the program ID.
func blockHashes(id string, prefixIndex, prefixTokens, totalTokens int) []uint64 {
	blocks := make([]uint64, totalTokens/provider.BlockTokens)
	programHash := uint64(14695981039346656037)
	for i := range len(id) {
		programHash = (programHash ^ uint64(id[i])) * 1099511628211
	}
	hash := uint64(prefixIndex) + 1
	for i := range blocks {
		if i*provider.BlockTokens >= prefixTokens {
			hash ^= programHash
		}
		hash = (hash ^ hash>>29) * 0xbf58476d1ce4e5b9
		hash ^= hash >> 32
		blocks[i] = hash
	}
	return blocks
}
