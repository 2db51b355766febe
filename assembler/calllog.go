package assembler

import (
	"strconv"
	"strings"

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

// maxLoggedText bounds the texts of a caller in a log line: a head may hold 16 KB, and up to logQueueLines lines
// wait to be written.
const maxLoggedText = 256

// logged returns a field with the text of a caller, cut after maxLoggedText bytes.
func logged(name, text string) zap.Field {
	if len(text) > maxLoggedText {
		text = strings.ToValidUTF8(text[:maxLoggedText], "") + "..."
	}
	return zap.String(name, text)
}

// LogCall implements receiver.CallLog.
func (l *callLogger) LogCall(r *receiver.CallRecord) {
	status := strconv.Itoa(r.Status)
	l.metrics.recordCall(r.Route, status, r.Reason, r.Duration, r.TimeToFirstEvent)
	if r.PreviousTarget != "" {
		l.metrics.recordSession(r.Route, r.Moved)
	}
	l.log.Info("call", logged("id", r.Call.ID), logged("program", r.Call.Program),
		logged("previous", r.Call.Previous), logged("lastEvent", r.Call.LastEventID), zap.String("route", r.Route), zap.String("workspace", r.Workspace),
		zap.Int64("configuration", r.ConfigurationVersion), zap.Duration("feedAge", r.FeedAge), zap.Int("status", r.Status), zap.String("reason", r.Reason),
		zap.String("target", r.Target), zap.Int("attempts", r.Attempts), zap.Int("cached", r.CachedTokens),
		zap.Duration("expected", r.ExpectedFirstEvent), zap.Int("inFlight", r.InFlight),
		zap.String("session", formatSession(r.Session)), zap.String("previousTarget", r.PreviousTarget), zap.Bool("moved", r.Moved), zap.Int("chain", r.ChainTurns),
		zap.Int("budget", r.Call.Budget), zap.Int("maxTokens", r.Call.MaxTokens),
		zap.Int64("budgetVersion", r.BudgetVersion), zap.Int("budgetGranted", r.BudgetGranted),
		zap.String("quotaHolder", r.Quota.Holder), zap.Float64("quotaFraction", r.Quota.Fraction), zap.Duration("quotaAge", r.Quota.Age),
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
