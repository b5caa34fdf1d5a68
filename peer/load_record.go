package peer

import (
	"time"

	"citronspread/model"
)

// LoadRecord is what a host knows of the load of a backend server, with ages in milliseconds at the time of the message. Hosts
// exchange one for each backend server about once a second, so it is short: numbers are in arrays, to the ends of which later
// versions may add others. An array is empty if nothing is known.
type LoadRecord struct {
	Backend string  `cbor:"1,keyasint"`
	Stated  []int64 `cbor:"2,keyasint,omitempty"` // age, running, waiting, slots, slowness
	Held    []int64 `cbor:"3,keyasint,omitempty"` // age, requests, tokens, requests in ten seconds
	FullAge []int64 `cbor:"4,keyasint,omitempty"` // age of the last refusal for lack of room
}

// rateScale is the number of seconds of LoadRecord's rate.
const rateScale = 10

// NewLoadRecords returns the records of loads with times on the sender's clock.
func NewLoadRecords(now time.Time, loads []model.BackendLoad) []LoadRecord {
	records := make([]LoadRecord, 0, len(loads))
	for _, l := range loads {
		r := LoadRecord{Backend: l.Backend}
		if s := l.Stated; !s.At.IsZero() {
			r.Stated = []int64{ageOf(now, s.At), int64(s.Running), int64(s.Waiting), int64(s.Slots), int64(s.Slowness)}
		}
		if h := l.Held; !h.At.IsZero() {
			r.Held = []int64{ageOf(now, h.At), int64(h.Requests), int64(h.Tokens), int64(h.Rate * rateScale)}
		}
		if !l.FullAt.IsZero() {
			r.FullAge = []int64{ageOf(now, l.FullAt)}
		}
		records = append(records, r)
	}
	return records
}

// Loads returns the loads of records with times on the receiver's clock. Values that don't fit and arrays that are too short
// count as unknown; the bounds of the values are those of package load.
func Loads(now time.Time, records []LoadRecord) []model.BackendLoad {
	loads := make([]model.BackendLoad, 0, len(records))
	for _, r := range records {
		l := model.BackendLoad{Backend: r.Backend}
		if len(r.Stated) >= 5 {
			l.Stated = model.StatedLoad{At: timeAt(now, r.Stated[0]), Running: int(r.Stated[1]), Waiting: int(r.Stated[2]), Slots: int(r.Stated[3]), Slowness: int(r.Stated[4])}
		}
		if len(r.Held) >= 4 {
			l.Held = model.HeldLoad{At: timeAt(now, r.Held[0]), Requests: int(r.Held[1]), Tokens: int(r.Held[2]), Rate: float64(r.Held[3]) / rateScale}
		}
		if len(r.FullAge) >= 1 {
			l.FullAt = timeAt(now, r.FullAge[0])
		}
		loads = append(loads, l)
	}
	return loads
}

func ageOf(now, at time.Time) int64 { return max(0, now.Sub(at).Milliseconds()) }

// maxRecordAge bounds the ages in records, so that no time overflows.
const maxRecordAge = int64(time.Hour / time.Millisecond)

func timeAt(now time.Time, age int64) time.Time {
	return now.Add(-time.Duration(min(max(0, age), maxRecordAge)) * time.Millisecond)
}
