package faults

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const recoveryPause = time.Second

// checkRecovery checks that each model is served within RecoveryTimeout, and writes dumps of the state if requested.
func (r *Run) checkRecovery(ctx context.Context) {
	deadline := time.Now().Add(r.RecoveryTimeout)
	var running sync.WaitGroup
	for i, record := range r.config.records {
		running.Go(func() {
			x := r.recover(ctx, i, record, deadline)
			r.tally.Check(ServedAfterFaults, x.outcome == outcomeComplete, "%s at %s: %s: %s", record.key, x.host, x.outcome, x.detail)
		})
	}
	running.Wait()
	if r.DumpDirectory != "" {
		r.logError(r.writeDumps(ctx))
	}
}

// recover requests a model from one entry host after another until it gets a complete response or the deadline has
// passed.
func (r *Run) recover(ctx context.Context, i int, record *configRecord, deadline time.Time) exchange {
	var x exchange
	for attempt := 0; x.outcome != outcomeComplete && time.Now().Before(deadline); attempt++ {
		h := r.hosts[(i+attempt)%len(r.hosts)]
		x = r.chat(ctx, h, chatRequest{
			Model:     record.key.String(),
			Messages:  []message{{Role: "user", Content: fmt.Sprintf("recovery-%d-%d", i, attempt)}},
			MaxTokens: maxShortTokens,
		})
		if x.outcome != outcomeComplete {
			sleep(ctx, recoveryPause)
		}
	}
	return x
}
