package sequencer

import (
	"encoding/json"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Kinds of records. Every durable change of a program is one record, and replay
// applies it with the same code as Update.
const (
	recordCreated  = "created"
	recordStarted  = "started"
	recordIntent   = "intent"
	recordFinished = "finished"
	recordEnded    = "ended"
	recordReleased = "released"
	recordSegment  = "segment"
)

type createdBody struct {
	Client     string         `json:"client"`
	Workspace  string         `json:"workspace,omitempty"`
	Service    string         `json:"service,omitempty"`
	Parent     string         `json:"parent,omitempty"`
	ParentStep int            `json:"parentStep,omitempty"`
	Budget     encoder.Budget `json:"budget,omitzero"`
	Limits     encoder.Limits `json:"limits,omitzero"`
	IdleMs     int            `json:"idleMs,omitempty"`
	AtMs       int64          `json:"atMs"`
}

// startedBody is the body of started and intent records.
type startedBody struct {
	Step           int    `json:"step"`
	IdempotencyKey string `json:"key,omitempty"`
	Kind           string `json:"kind"`
	Service        string `json:"service"`
	Repeatable     bool   `json:"repeatable,omitempty"`
	SupportsLookup bool   `json:"lookup,omitempty"`
	EndProgram     bool   `json:"end,omitempty"`
	Digest         uint64 `json:"digest"`
	// BaseChain and PromptChain are the history's hash chain before and after the new
	// messages.
	BaseChain      uint64 `json:"base"`
	PromptChain    uint64 `json:"prompt"`
	Reserved       amount `json:"reserved"`
	KeyRetentionMs int    `json:"keysMs,omitempty"`
	Attempt        int    `json:"attempt"`
	AtMs           int64  `json:"atMs"`
}

type finishedBody struct {
	Step     int                    `json:"step"`
	Outcome  Outcome                `json:"outcome"`
	Code     string                 `json:"code,omitempty"`
	Result   Result                 `json:"result"`
	Messages []provider.ChatMessage `json:"messages,omitempty"`
	// BaseChain is the history's hash chain before the turn is added.
	BaseChain uint64 `json:"base"`
	Settled   amount `json:"settled"`
	AtMs      int64  `json:"atMs"`
}

type endedBody struct {
	Reason string `json:"reason"`
	AtMs   int64  `json:"atMs"`
}

type releasedBody struct {
	Target string `json:"target"`
}

type segmentBody struct {
	Name    string `json:"name"`
	From    int    `json:"from"`
	Through int    `json:"through"`
}

// record adds a record to the update's ticket and applies it to the program.
func (s *State) record(p *program, kind string, step int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		s.reportViolation(InvariantHistory, p, step, "record cannot be encoded: "+err.Error())
		return
	}
	r := encoder.Record{
		Shard: p.shard.name, Program: p.ID, Sequence: p.Sequence + 1, Kind: kind, Body: string(text),
	}
	if err := s.apply(p, r.Kind, body); err != nil {
		s.reportViolation(InvariantHistory, p, step, err.Error())
	}
	p.Sequence = r.Sequence
	size := len(r.Body) + len(r.Program) + len(r.Shard) + recordOverheadBytes
	s.records = append(s.records, r)
	s.recordInfos = append(s.recordInfos, recordInfo{program: p, kind: kind, step: step, size: size})
	s.pendingRecords++
	s.pendingBytes += size
	p.pendingRecords++
	s.touch(p)
}

// recordOverheadBytes is the size of a record's field names and numbers.
const recordOverheadBytes = 96
