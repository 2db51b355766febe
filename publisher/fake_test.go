package publisher

import (
	"context"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// commitHooks wraps a table store and runs before and after around each commit, so that
// faults affect commits only. The commit has a timeout of its own that is shorter than
// the caller's: after a lost response the caller still has time to read the row back.
type commitHooks struct {
	provider.TableStore
	before, after func()
}

func (h commitHooks) Commit(ctx context.Context, transaction provider.Transaction) (provider.CommitResult, error) {
	h.before()
	defer h.after()
	ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	return h.TableStore.Commit(ctx, transaction)
}
