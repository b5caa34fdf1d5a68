package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// fullPause is how long a backend server that refused a request as full gets no request from this host unless something
	// has changed there. It doubles with each refusal in a row, up to maxFullPause.
	fullPause    = time.Second
	maxFullPause = 8 * time.Second
	// blindPause and maxBlindPause are the same for a server of whose load nothing is known, so that nothing can show a change.
	blindPause    = 250 * time.Millisecond
	maxBlindPause = 2 * time.Second
	// otherFullPause is how long a refusal that another host has met counts. The hosts learn of it up to two seconds late, and
	// together try again about that often.
	otherFullPause = 2 * time.Second
	// deniedPause is the same after its owner had no place for a request. The owner knows of each place that becomes free, and
	// at least one becomes free in this time on a server with 16 slots whose requests take four seconds.
	deniedPause = 250 * time.Millisecond
	// minDecline and an eighth of the slots is by how much a load must have fallen since a refusal. One or two requests come and
	// go also on a server that refuses for another reason.
	minDecline   = 2
	declineShare = 8
)

// fullState is the state of a backend server that refused a request as full.
type fullState struct {
	at      time.Time // of the last refusal, zero if none or a request was accepted since
	until   time.Time // then one request may find out
	pause   time.Duration
	endedAt time.Time // when a request of this router last ended there and none was sent since
}

// refuse records a refusal. known reports whether anything is known of the server's load.
func (f *fullState) refuse(now time.Time, known bool, random *rand.Rand) {
	f.at = now
	if known {
		f.pause = min(max(fullPause, 2*f.pause), maxFullPause)
	} else {
		f.pause = min(max(blindPause, 2*f.pause), maxBlindPause)
	}
	f.postpone(now, random)
}

// deny records that the owner of the backend server had no place.
func (f *fullState) deny(now time.Time, random *rand.Rand) {
	f.at = now
	f.pause = max(deniedPause, f.pause/2)
	f.postpone(now, random)
}

// postpone sets the end of the pause. It is random so that hosts do not all return at the same moment.
func (f *fullState) postpone(now time.Time, random *rand.Rand) {
	f.until = now.Add(time.Duration(float64(f.pause) * (0.75 + random.Float64()/2)))
}

// acceptFrom records that the backend server has accepted a request that was sent at the given time.
func (f *fullState) acceptFrom(sentAt time.Time) {
	if sentAt.After(f.at) {
		f.at, f.pause = time.Time{}, 0
	}
}

// granted records that a request is sent to a backend server that may be full. The next one waits for its outcome, for the end
// of another request or for the end of another pause.
func (f *fullState) granted(now time.Time, random *rand.Rand) {
	f.endedAt = time.Time{}
	if !f.at.IsZero() {
		f.postpone(now, random)
	}
}

// endFull records the outcome of a request that was sent to a backend server at the given time. A server with a stated limit
// that refuses a request is not full: it takes the next one when the limit allows it.
func (r *Router) endFull(now time.Time, f *fullState, backend string, sentAt time.Time, outcome Outcome) {
	random := r.random
	switch outcome {
	case OutcomeOverloaded:
		if r.stated.allowances[backend] != nil {
			f.deny(now, random)
			return
		}
		f.refuse(now, r.loads.entries[backend].isInformed(), random)
	case OutcomeNoPlace:
		f.deny(now, random)
	case OutcomeNotLoaded, OutcomeUnreachable, OutcomeWithheld: // it has taken no place
	case OutcomeComplete, OutcomeRejected:
		f.acceptFrom(sentAt)
		f.endedAt = now
	default:
		f.endedAt = now
	}
}

// isInformed reports whether anything is known that may show a change.
func (k *knownLoad) isInformed() bool {
	return k != nil && (!k.Stated.At.IsZero() || !k.Held.At.IsZero())
}

// isFull reports whether a backend server has refused a request as full, of this host or another one, and nothing has changed
// since: none of this router's requests there has ended, nothing newer says that there is room, and the pause has not passed.
func (r *Router) isFull(now time.Time, f *fullState, backend string, capacity int) bool {
	k, fullAt := r.loads.entries[backend], f.at
	if k.isInformed() && k.FullAt.After(fullAt) && now.Sub(k.FullAt) < otherFullPause {
		fullAt = k.FullAt
	}
	switch {
	case fullAt.IsZero() || f.endedAt.After(fullAt):
		return false
	case k != nil && capacity > 0 && k.saysRoomAfter(fullAt, capacity, r.Policy.fillLimit(capacity)):
		return false
	}
	return !fullAt.Equal(f.at) || now.Before(f.until)
}

// levels are the highest numbers of requests that were known of a backend server since its last refusal. A server may refuse
// at any of them, so only a lower one shows that something has changed.
type levels struct {
	stated int
	held   int
}

// resetLevels starts the levels of a refusal.
func (k *knownLoad) resetLevels() {
	k.levels = levels{stated: k.Stated.Running + k.Stated.Waiting, held: k.Held.Requests}
}

// raiseLevels raises the levels to what is known now.
func (k *knownLoad) raiseLevels() {
	k.levels.stated = max(k.levels.stated, k.Stated.Running+k.Stated.Waiting)
	k.levels.held = max(k.levels.held, k.Held.Requests)
}

// saysRoomAfter reports whether a part that is newer than the given time shows fewer requests than the limit, and clearly fewer
// than at the refusal.
func (k *knownLoad) saysRoomAfter(at time.Time, capacity int, limit float64) bool {
	decline := max(minDecline, capacity/declineShare)
	shows := func(requests, level int) bool { return float64(requests) < limit && requests <= level-decline }
	return k.Stated.At.After(at) && shows(k.Stated.Running+k.Stated.Waiting, k.levels.stated) ||
		k.Held.At.Add(-heldLag).After(at) && shows(k.Held.Requests, k.levels.held)
}
