package side

import (
	"context"
	"errors"
)

// errClaimNotFound is the error of a claim that is not on the log, although its
// append may still succeed.
var errClaimNotFound = errors.New("the claim was not found on the log")

// appendPending appends the pending records and applies them.
func (claimer *claimer) appendPending(ctx context.Context, partition *partition) error {
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

// flush appends the pending records of all partitions that are not in use.
func (claimer *claimer) flush(ctx context.Context) {
	claimer.mu.Lock()
	var waiting []*partition
	for _, partition := range claimer.partitions {
		waiting = append(waiting, partition)
	}
	claimer.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for _, partition := range waiting {
		select {
		case partition.semaphore <- struct{}{}:
			_ = claimer.appendPending(ctx, partition)
			partition.unlock()
		default:
		}
	}
}

// readTo applies the stream's records up to and including an offset.
func (claimer *claimer) readTo(ctx context.Context, partition *partition, offset uint64) error {
	for partition.claims.NextOffset() <= offset {
		if _, err := claimer.readPage(ctx, partition); err != nil {
			return err
		}
	}
	return nil
}

// readAll applies the stream's records up to its end.
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
	page, err := claimer.config.Log.Read(ctx, partition.stream, partition.claims.NextOffset(), claimReadWait)
	if err != nil {
		return 0, err
	}
	partition.claims.SkipTo(page.FirstOffset)
	for _, record := range page.Records {
		partition.claims.Apply(record.Offset, record.Time, record.Data)
	}
	return len(page.Records), nil
}

// findAppended looks on the log for a claim whose append returned an error.
func (claimer *claimer) findAppended(ctx context.Context, partition *partition, task *task, cause error) error {
	if err := claimer.readAll(ctx, partition); err != nil {
		return errors.Join(cause, err)
	}
	if _, ok := partition.claims.FirstClaim(task.organisation, task.request.GetIdempotencyKeyHash()); !ok {
		return errors.Join(cause, errClaimNotFound)
	}
	return nil
}
