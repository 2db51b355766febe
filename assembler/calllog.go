package assembler

import (
	"strconv"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/receiver"
)

// callLogger logs each call of a caller and records it in the metrics.
type callLogger struct {
	log     *zap.Logger
	metrics *metrics
}

func newCallLogger(log *zap.Logger, m *metrics) *callLogger { return &callLogger{log: log, metrics: m} }

// LogCall implements receiver.CallLog.
func (l *callLogger) LogCall(r *receiver.CallRecord) {
	status := strconv.Itoa(r.Status)
	l.metrics.recordCall(r.Route, status, r.Reason, r.Duration, r.TimeToFirstEvent)
	if r.PreviousTarget != "" {
		l.metrics.recordSession(r.Route, r.Moved)
	}
	l.log.Info("call", zap.String("id", r.Call.ID), zap.String("program", r.Call.Program),
		zap.String("previous", r.Call.Previous), zap.String("lastEvent", r.Call.LastEventID), zap.String("route", r.Route), zap.String("workspace", r.Workspace),
		zap.Int64("configuration", r.ConfigurationVersion), zap.Duration("feedAge", r.FeedAge), zap.Int("status", r.Status), zap.String("reason", r.Reason),
		zap.String("target", r.Target), zap.Int("attempts", r.Attempts), zap.Int("cached", r.CachedTokens),
		zap.Duration("expected", r.ExpectedFirstEvent), zap.Int("inFlight", r.InFlight),
		zap.String("session", formatSession(r.Session)), zap.String("previousTarget", r.PreviousTarget), zap.Bool("moved", r.Moved), zap.Int("chain", r.ChainTurns),
		zap.Int("budget", r.Call.Budget), zap.Int("maxTokens", r.Call.MaxTokens),
		zap.Int64("budgetVersion", r.BudgetVersion), zap.Int("budgetGranted", r.BudgetGranted),
		zap.Int("tokens", r.GeneratedTokens), zap.Duration("firstEvent", r.TimeToFirstEvent), zap.Duration("took", r.Duration),
		zap.Duration("retryAfter", r.RetryAfter), zap.Bool("storeUp", r.StoreUp), zap.Error(r.Err))
}

// formatSession returns the form of a session in logs, empty for none.
func formatSession(id dispatcher.SessionID) string {
	if id == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(id), 16)
}
