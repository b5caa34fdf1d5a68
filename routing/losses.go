package routing

import (
	"slices"
	"time"

	"citronspread/model"
)

const (
	// aliveWindow is the time after a lost connection within which a response to a later attempt shows that the backend
	// server has not crashed. A restart takes longer.
	aliveWindow = time.Second
	maxLosses   = 256 // losses before the oldest is dropped
)

// loss is a connection that was lost during an attempt and counts as a crash of the backend server.
type loss struct {
	backend     string
	at          time.Time
	fingerprint model.Fingerprint
	parts       []string // of the prompt, if the response had just begun
}

// losses holds the latest losses.
type losses []loss

func (l *losses) add(lost loss) {
	*l = slices.DeleteFunc(*l, func(earlier loss) bool { return lost.at.Sub(earlier.at) >= aliveWindow })
	if len(*l) >= maxLosses {
		*l = slices.Delete(*l, 0, 1)
	}
	*l = append(*l, lost)
}

// takeSurvived removes and returns the losses that a backend server has survived: it responds to an attempt that started
// after them.
func (l *losses) takeSurvived(now time.Time, backend string, startedAt time.Time) []loss {
	var survived []loss
	*l = slices.DeleteFunc(*l, func(lost loss) bool {
		if lost.backend != backend || !startedAt.After(lost.at) || now.Sub(lost.at) >= aliveWindow {
			return false
		}
		survived = append(survived, lost)
		return true
	})
	return survived
}

// withdraw withdraws the crashes that losses were taken for. The router's mutex must not be held.
func (r *Router) withdraw(now time.Time, survived []loss) {
	for _, lost := range survived {
		r.Suspects.WithdrawCrash(lost.fingerprint, lost.at)
		r.PromptParts.RecordSound(now, lost.parts)
	}
}
