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
	claimPrefix            = "claim/"
	maxClaimAttempts       = 4
	claimRetryDelay        = 20 * time.Millisecond // times the number of the attempt
	minClaimPoll           = 50 * time.Millisecond
	maxClaimPoll           = 800 * time.Millisecond // the interval doubles with each poll up to this
	maxStoredResponseBytes = 512 << 10              // bytes; longer responses are not stored with the claim
)

// ClaimStore is the part of the platform's store that reads and writes claims.
type ClaimStore interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64) (int64, error)
}

// claimState is the progress of a call that has a claim.
type claimState string

const (
	claimClaimed claimState = "Claimed" // the call may have been sent
	claimDone    claimState = "Done"    // the response is stored
	claimUnknown claimState = "Unknown" // the call may have run, but no response came

	claimReleased claimState = "Released" // nothing was sent; the key can be claimed again
)

type claimRecord struct {
	State       claimState
	RequestHash string
	Nonce       string // unique for each claim
	ClaimedAt   time.Time
	Status      int
	Header      http.Header
	Body        []byte
	BodyDropped bool
}

// Claims ensures that only one entry host sends a call with a given idempotency key.
type Claims struct {
	Store        ClaimStore
	Leases       LeaseStore    // nil if claims never expire
	MaxWait      time.Duration // longest wait for the same call already in progress
	StoreTimeout time.Duration // timeout of the store calls for one claim

	once            sync.Once
	pendingReleases chan pendingRelease
	lease           claimLease
	recent          recentClaims
}

// claim is a claim held by this entry host.
type claim struct {
	key      string
	lease    string
	revision int64
	record   claimRecord
}

// claimUnavailableError means that the store did not confirm a claim. Nothing was sent.
type claimUnavailableError struct{ Err error }

func (e *claimUnavailableError) Error() string {
	return "caller: claim not confirmed by the store: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *claimUnavailableError) Unwrap() error { return e.Err }

// claimTakenError means that another call holds the claim.
type claimTakenError struct {
	Current claimRecord
}

func (e *claimTakenError) Error() string {
	return "caller: idempotency key already claimed by another call, state " + string(e.Current.State)
}

// acquire claims the key. The error is a *claimTakenError or a *claimUnavailableError.
func (c *Claims) acquire(ctx context.Context, key, requestHash string, now time.Time) (*claim, error) {
	if cached, found := c.recent.get(key); found {
		return nil, &claimTakenError{Current: cached}
	}
	ctx, cancel := context.WithTimeout(ctx, c.StoreTimeout)
	defer cancel()
	held := &claim{key: key, record: claimRecord{
		State: claimClaimed, RequestHash: requestHash, Nonce: uuid.NewString(), ClaimedAt: now,
	}}
	value, err := json.Marshal(held.record)
	if err != nil {
		return nil, &claimUnavailableError{Err: err}
	}
	held.lease = c.leaseFor(ctx, now)
	revision := int64(0)
	for attempt := 1; ; attempt++ {
		held.revision, err = c.write(ctx, held, value, revision)
		if err == nil {
			return held, nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			own, free, err := held.resolveConflict(conflict.Current)
			if own != nil {
				return own, nil
			}
			if !free {
				return nil, err
			}
			revision = conflict.Current.Revision
		}
		if attempt >= maxClaimAttempts || sleep(ctx, time.Duration(attempt)*claimRetryDelay) != nil {
			c.releaseLater(held)
			return nil, &claimUnavailableError{Err: err}
		}
	}
}

// acquireOrWait claims the key. If an earlier send of the same request holds the claim, it waits until that completes
// and returns the state of the claim. The claim of a different request is returned at once.
func (c *Claims) acquireOrWait(ctx context.Context, key, requestHash string) (*claim, *claimRecord, error) {
	for {
		held, err := c.acquire(ctx, key, requestHash, time.Now())
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

// resolveConflict evaluates the stored entry that a write of the claim conflicted with. If the entry is this claim,
// because the response to an earlier write was lost, it returns the claim as own. If the key can be claimed, because
// the entry is missing or released, free is true. Otherwise another call holds the claim, or the entry is not
// readable, and err says so.
func (h *claim) resolveConflict(current store.Entry) (own *claim, free bool, err error) {
	if current.Revision == 0 {
		return nil, true, nil
	}
	var stored claimRecord
	if err := json.Unmarshal(current.Value, &stored); err != nil {
		return nil, false, &claimUnavailableError{Err: err}
	}
	switch {
	case stored.State == claimReleased:
		return nil, true, nil
	case stored.Nonce != h.record.Nonce:
		return nil, false, &claimTakenError{Current: stored}
	default:
		h.revision = current.Revision
		return h, false, nil
	}
}

// wait polls until the call that holds the claim completes and returns the last state read.
func (c *Claims) wait(ctx context.Context, key string, current claimRecord) claimRecord {
	ctx, cancel := context.WithTimeout(ctx, c.MaxWait)
	defer cancel()
	for poll := minClaimPoll; current.State == claimClaimed; poll = min(2*poll, maxClaimPoll) {
		if sleep(ctx, poll) != nil {
			return current
		}
		if cached, found := c.recent.get(key); found && cached.Nonce == current.Nonce {
			current = cached
			continue
		}
		entry, err := c.Store.Get(ctx, key)
		if err != nil {
			continue
		}
		var stored claimRecord
		if json.Unmarshal(entry.Value, &stored) == nil && stored.Nonce == current.Nonce {
			current = stored
		}
	}
	return current
}

// record stores the outcome of the call. It continues after the caller has disconnected.
func (c *Claims) record(ctx context.Context, held *claim, state claimState, response service.Response) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.StoreTimeout)
	defer cancel()
	held.record.State, held.record.Status, held.record.Header = state, response.Status, response.Header
	held.record.Body, held.record.BodyDropped = response.Body, false
	if len(response.Body) > maxStoredResponseBytes {
		held.record.Body, held.record.BodyDropped = nil, true
	}
	if state == claimReleased {
		c.recent.remove(held.key)
	} else {
		c.recent.put(held, time.Now())
	}
	value, err := json.Marshal(held.record)
	if err != nil {
		return err
	}
	for attempt := 1; ; attempt++ {
		_, err = c.write(ctx, held, value, held.revision)
		var conflict *store.ConflictError
		if err == nil || errors.As(err, &conflict) && !held.mustRewrite(conflict.Current) {
			return nil
		}
		if sleep(ctx, time.Duration(attempt)*claimRetryDelay) != nil {
			return err
		}
	}
}

// mustRewrite reports whether the conflicting entry is missing or an earlier state of the claim, and adopts its
// revision. Only this entry host overwrites its claim, so any other conflict comes from its own write whose
// response was lost.
func (h *claim) mustRewrite(current store.Entry) bool {
	h.revision = current.Revision
	if current.Revision == 0 {
		return true
	}
	var stored claimRecord
	if json.Unmarshal(current.Value, &stored) != nil {
		return false
	}
	return stored.Nonce == h.record.Nonce && stored.State != h.record.State
}

func claimKey(name, key string) string {
	sum := sha256.Sum256([]byte(name + "\x00" + key))
	return claimPrefix + name + "/" + hex.EncodeToString(sum[:])
}

func requestHash(call service.Call) string {
	sum := sha256.Sum256(append([]byte(call.Method+"\x00"+call.Path+"\x00"), call.Body...))
	return hex.EncodeToString(sum[:])
}
