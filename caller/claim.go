package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"citronspread/service"
	"citronspread/store"
)

const (
	claimPrefix    = "claim/"
	claimTries     = 4
	claimPause     = 20 * time.Millisecond
	claimPollFirst = 50 * time.Millisecond
	claimPollLast  = 800 * time.Millisecond
	maxKeptAnswer  = 512 << 10 // bytes of an answer that is kept for repeats
)

// ClaimStore is the part of the platform's store that claims need.
type ClaimStore interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64) (int64, error)
}

// claimState is how far a claimed call has come.
type claimState string

const (
	claimClaimed claimState = "Claimed" // it may have been sent
	claimDone    claimState = "Done"    // the answer is kept
	claimUnknown claimState = "Unknown" // it may have run and there is no answer

	claimReleased claimState = "Released" // nothing was sent; the key is free again
)

type claimWire struct {
	State       claimState
	RequestHash string
	Nonce       string // unique for each claim
	ClaimedAt   time.Time
	Status      int
	Header      http.Header
	Body        []byte
	BodyDropped bool
}

// Claims makes sure that a call with an idempotency key is sent by one entry host only.
type Claims struct {
	Store    ClaimStore
	Leases   LeaseStore    // nil when claims are kept for good
	WaitFor  time.Duration // longest wait for a call in progress elsewhere
	Deadline time.Duration // of the store's calls for one claim

	once       sync.Once
	unreleased chan release
	lease      claimLease
	recent     recentClaims
}

// claim is a claim that this entry host holds.
type claim struct {
	key      string
	lease    string
	revision int64
	wire     claimWire
}

// claimUnavailableError means that the store gave no answer about a claim, so that nothing was sent.
type claimUnavailableError struct{ Err error }

func (e *claimUnavailableError) Error() string { return "caller: no claim: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *claimUnavailableError) Unwrap() error { return e.Err }

// claimTakenError means that another call holds the claim.
type claimTakenError struct {
	Current claimWire
}

func (e *claimTakenError) Error() string { return "caller: claim is taken: " + string(e.Current.State) }

// take makes the claim. The error is a *claimTakenError or a *claimUnavailableError.
func (c *Claims) take(ctx context.Context, key, requestHash string, now time.Time) (*claim, error) {
	if known, found := c.recent.recall(key); found {
		return nil, &claimTakenError{Current: known}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline)
	defer cancel()
	held := &claim{key: key, wire: claimWire{
		State: claimClaimed, RequestHash: requestHash, Nonce: uuid.NewString(), ClaimedAt: now,
	}}
	value, err := json.Marshal(held.wire)
	if err != nil {
		return nil, &claimUnavailableError{Err: err}
	}
	held.lease = c.leaseFor(ctx, now)
	revision := int64(0)
	for try := 1; ; try++ {
		held.revision, err = c.write(ctx, held, value, revision)
		if err == nil {
			return held, nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			taken, free, err := held.settle(conflict.Current)
			if taken != nil {
				return taken, nil
			}
			if !free {
				return nil, err
			}
			revision = conflict.Current.Revision
		}
		if try >= claimTries || pause(ctx, time.Duration(try)*claimPause) != nil {
			c.releaseLater(held)
			return nil, &claimUnavailableError{Err: err}
		}
	}
}

// takeOrWait makes the claim, or waits until the same request that holds it is settled and returns its state.
func (c *Claims) takeOrWait(ctx context.Context, key, requestHash string) (*claim, *claimWire, error) {
	for {
		held, err := c.take(ctx, key, requestHash, time.Now())
		var taken *claimTakenError
		if !errors.As(err, &taken) {
			return held, nil, err
		}
		if taken.Current.RequestHash != requestHash {
			return nil, &taken.Current, nil
		}
		current := c.wait(ctx, key, taken.Current)
		if current.State != claimReleased || ctx.Err() != nil {
			return nil, &current, nil
		}
	}
}

// settle tells what the entry in the way means: this very claim, whose answer was lost,
// a claim of another call, or a key that is free to be claimed over the entry.
func (h *claim) settle(current store.Entry) (taken *claim, free bool, err error) {
	if current.Revision == 0 {
		return nil, true, nil
	}
	var wire claimWire
	if err := json.Unmarshal(current.Value, &wire); err != nil {
		return nil, false, &claimUnavailableError{Err: err}
	}
	switch {
	case wire.State == claimReleased:
		return nil, true, nil
	case wire.Nonce != h.wire.Nonce:
		return nil, false, &claimTakenError{Current: wire}
	default:
		h.revision = current.Revision
		return h, false, nil
	}
}

// wait waits until the claim in the way is settled and returns its last state.
func (c *Claims) wait(ctx context.Context, key string, current claimWire) claimWire {
	ctx, cancel := context.WithTimeout(ctx, c.WaitFor)
	defer cancel()
	for poll := claimPollFirst; current.State == claimClaimed; poll = min(2*poll, claimPollLast) {
		if pause(ctx, poll) != nil {
			return current
		}
		if known, found := c.recent.recall(key); found && known.Nonce == current.Nonce {
			current = known
			continue
		}
		entry, err := c.Store.Get(ctx, key)
		if err != nil {
			continue
		}
		var wire claimWire
		if json.Unmarshal(entry.Value, &wire) == nil && wire.Nonce == current.Nonce {
			current = wire
		}
	}
	return current
}

// record writes how the call ended. It goes on after the caller has gone.
func (c *Claims) record(ctx context.Context, held *claim, state claimState, answer service.Answer) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Deadline)
	defer cancel()
	held.wire.State, held.wire.Status, held.wire.Header = state, answer.Status, answer.Header
	held.wire.Body, held.wire.BodyDropped = answer.Body, false
	if len(answer.Body) > maxKeptAnswer {
		held.wire.Body, held.wire.BodyDropped = nil, true
	}
	if state == claimReleased {
		c.recent.forget(held.key)
	} else {
		c.recent.remember(held, time.Now())
	}
	value, err := json.Marshal(held.wire)
	if err != nil {
		return err
	}
	for try := 1; ; try++ {
		_, err = c.write(ctx, held, value, held.revision)
		var conflict *store.ConflictError
		if err == nil || errors.As(err, &conflict) && !held.isBehind(conflict.Current) {
			return nil
		}
		if pause(ctx, time.Duration(try)*claimPause) != nil {
			return err
		}
	}
}

// isBehind reports whether the entry in the way is an earlier state of the claim or lost, and takes its revision.
// Only this entry host writes over its claim, so that any other conflict is its own write with a lost answer.
func (h *claim) isBehind(current store.Entry) bool {
	h.revision = current.Revision
	if current.Revision == 0 {
		return true
	}
	var wire claimWire
	if json.Unmarshal(current.Value, &wire) != nil {
		return false
	}
	return wire.Nonce == h.wire.Nonce && wire.State != h.wire.State
}

func claimKey(name, key string) string {
	sum := sha256.Sum256([]byte(name + "\x00" + key))
	return claimPrefix + name + "/" + hex.EncodeToString(sum[:])
}

func requestHash(call service.Call) string {
	sum := sha256.Sum256(append([]byte(call.Method+"\x00"+call.Path+"\x00"), call.Body...))
	return hex.EncodeToString(sum[:])
}
