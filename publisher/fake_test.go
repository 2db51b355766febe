package publisher

import (
	"context"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// onCommit switches faults on for the time of a commit only. The commit's own
// time-out is short, so that a lost answer shows as unknown while the caller still
// has time to read back.
type onCommit struct {
	provider.TableStore
	before, after func()
}

func (o onCommit) Commit(ctx context.Context, transaction provider.Transaction) (provider.CommitResult, error) {
	o.before()
	defer o.after()
	ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	return o.TableStore.Commit(ctx, transaction)
}
