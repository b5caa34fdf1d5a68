package attempt

import (
	"time"

	"citronspread/routing"
)

// repeat is the next or current send of a request that the budget has allowed. Its zero state is a first send.
type repeat struct {
	budget   Budget
	reserved bool
	sentAt   time.Time // zero if the current send is no repeat
}

// reserve takes the next send from the budget.
func (r *repeat) reserve(now time.Time, extra routing.Extra) bool {
	r.reserved = r.budget.Reserve(now, extra)
	return r.reserved
}

// send records that a send begins.
func (r *repeat) send(now time.Time) {
	r.sentAt = time.Time{}
	if r.reserved {
		r.reserved, r.sentAt = false, now
		r.budget.Send(now)
	}
}

// resolve records the outcome of a send. The reservation of one that reached no backend server holds for the next one.
func (r *repeat) resolve(o Outcome) {
	if o.Result == Unsent && !r.sentAt.IsZero() {
		r.reserved = true
		r.budget.Unsend(r.sentAt)
	}
}

// release returns what is reserved and was not sent.
func (r *repeat) release() {
	if r.reserved {
		r.reserved = false
		r.budget.Release()
	}
}
