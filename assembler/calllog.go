package assembler

import (
	"strconv"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/receiver"
)

// callLogger logs each call of a caller and records it in the metrics.
type callLogger struct {
	log     *zap.Logger
	metrics *metrics
}

func newCallLogger(log *zap.Logger, m *metrics) *callLogger { return &callLogger{log: log, metrics: m} }

// Ended implements receiver.Journal.
func (j *callLogger) Ended(e *receiver.Event) {
	status := strconv.Itoa(e.Status)
	j.metrics.recordCall(e.Route, status, e.Reason, e.Took, e.FirstEvent)
	j.log.Info("call", zap.String("id", e.Call.ID), zap.String("program", e.Call.Program),
		zap.String("previous", e.Call.Previous), zap.String("route", e.Route),
		zap.Int64("configuration", e.ConfigurationVersion), zap.Int("status", e.Status), zap.String("reason", e.Reason),
		zap.String("target", e.Target), zap.Int("attempts", e.Attempts), zap.Int("cached", e.Cached),
		zap.Duration("expected", e.Expected), zap.Int("inFlight", e.InFlight), zap.Int("chain", e.ChainTurns),
		zap.Int("budget", e.Call.Budget), zap.Int("maxTokens", e.Call.MaxTokens),
		zap.Int64("budgetVersion", e.BudgetVersion), zap.Int("budgetGranted", e.BudgetGranted),
		zap.Int("tokens", e.Tokens), zap.Duration("firstEvent", e.FirstEvent), zap.Duration("took", e.Took),
		zap.Duration("retryAfter", e.RetryAfter), zap.Bool("storeUp", e.StoreUp), zap.Error(e.Err))
}
