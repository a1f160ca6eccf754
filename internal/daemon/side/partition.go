package side

import (
	"context"
	"errors"
)

// errNotOnLog is a claim that was not found although its append may succeed yet.
var errNotOnLog = errors.New("the claim was not found on the log")

// settlePending appends what is not on the log yet and folds it.
func (claimer *claimer) settlePending(ctx context.Context, partition *partition) error {
	if len(partition.pending) == 0 {
		return nil
	}
	var last uint64
	for len(partition.pending) > 0 {
		offset, err := claimer.config.Log.Append(ctx, partition.stream, partition.pending[0])
		if err != nil {
			return err
		}
		last = offset
		partition.pending = partition.pending[1:]
	}
	return claimer.readTo(ctx, partition, last)
}

// flush appends what is pending in all partitions that are not in use.
func (claimer *claimer) flush(ctx context.Context) {
	claimer.mu.Lock()
	var waiting []*partition
	for _, partition := range claimer.byIndex {
		waiting = append(waiting, partition)
	}
	claimer.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for _, partition := range waiting {
		select {
		case partition.busy <- struct{}{}:
			_ = claimer.settlePending(ctx, partition)
			partition.unlock()
		default:
		}
	}
}

// readTo folds the stream up to and including an offset.
func (claimer *claimer) readTo(ctx context.Context, partition *partition, offset uint64) error {
	for partition.fold.NextOffset() <= offset {
		if _, err := claimer.readPage(ctx, partition); err != nil {
			return err
		}
	}
	return nil
}

// readAll folds the stream up to its end.
func (claimer *claimer) readAll(ctx context.Context, partition *partition) error {
	for {
		count, err := claimer.readPage(ctx, partition)
		if err != nil || count == 0 {
			return err
		}
	}
}

func (claimer *claimer) readPage(ctx context.Context, partition *partition) (int, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	page, err := claimer.config.Log.Read(ctx, partition.stream, partition.fold.NextOffset(), readWait)
	if err != nil {
		return 0, err
	}
	partition.fold.SkipTo(page.FirstOffset)
	for _, record := range page.Records {
		partition.fold.Apply(record.Offset, record.Time, record.Data)
	}
	return len(page.Records), nil
}

// readBack looks for a claim whose append reply was lost.
func (claimer *claimer) readBack(ctx context.Context, partition *partition, ticket *ticket, cause error) error {
	if err := claimer.readAll(ctx, partition); err != nil {
		return errors.Join(cause, err)
	}
	if _, ok := partition.fold.FirstClaim(ticket.organisation, ticket.request.GetIdempotencyKeyHash()); !ok {
		return errors.Join(cause, errNotOnLog)
	}
	return nil
}
