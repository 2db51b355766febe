package assembler

import (
	"strconv"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/receiver"
)

// journal writes one line for each attempt of a caller and counts it.
type journal struct {
	log     *zap.Logger
	metrics *metrics
}

func newJournal(log *zap.Logger, m *metrics) *journal { return &journal{log: log, metrics: m} }

// LogCall implements receiver.CallLog.
func (j *journal) LogCall(e *receiver.CallRecord) {
	status := strconv.Itoa(e.Status)
	j.metrics.call(e.Route, status, e.Reason, e.Duration, e.TimeToFirstEvent)
	j.log.Info("call", zap.String("id", e.Call.ID), zap.String("program", e.Call.Program),
		zap.String("previous", e.Call.Previous), zap.String("route", e.Route),
		zap.Int64("configuration", e.ConfigurationVersion), zap.Int("status", e.Status), zap.String("reason", e.Reason),
		zap.String("target", e.Target), zap.Int("attempts", e.Attempts), zap.Int("cached", e.CachedTokens),
		zap.Duration("expected", e.ExpectedFirstEvent), zap.Int("inFlight", e.InFlight), zap.Int("chain", e.ChainTurns),
		zap.Int("budget", e.Call.Budget), zap.Int("maxTokens", e.Call.MaxTokens),
		zap.Int64("budgetVersion", e.BudgetVersion), zap.Int("budgetGranted", e.BudgetGranted),
		zap.Int("tokens", e.GeneratedTokens), zap.Duration("firstEvent", e.TimeToFirstEvent), zap.Duration("took", e.Duration),
		zap.Duration("retryAfter", e.RetryAfter), zap.Bool("storeUp", e.StoreUp), zap.Error(e.Err))
}
