package peer

import (
	"reflect"
	"testing"
	"time"

	"citronspread/model"
)

// TestLoadRecords guards against loads that change on their way to a host with another clock, and against messages that are too
// large to be exchanged for all backend servers once a second.
func TestLoadRecords(t *testing.T) {
	sender, receiver := time.Unix(1_000, 0), time.Unix(9_000_000, 0)
	loads := func(now time.Time) []model.BackendLoad {
		return []model.BackendLoad{
			{
				Backend: "i-c76f106782",
				Stated:  model.StatedLoad{Running: 31, Waiting: 4, Slots: 32, Slowness: 130, At: now.Add(-120 * time.Millisecond)},
				Held:    model.HeldLoad{Requests: 36, Tokens: 64_000, Rate: 12.5, At: now.Add(-time.Second)},
				FullAt:  now.Add(-3 * time.Second),
			},
			{Backend: "i-1", Held: model.HeldLoad{Requests: 1, At: now}},
			{Backend: "i-2"},
		}
	}
	encoding, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := encoding.Marshal(&UsageReply{Loads: NewLoadRecords(sender, loads(sender))})
	if err != nil {
		t.Fatal(err)
	}
	if got, limit := len(encoded), 120; got > limit {
		t.Errorf("got %d bytes for three backend servers, want at most %d", got, limit)
	}
	var reply UsageReply
	if err := encoding.Unmarshal(encoded, &reply); err != nil {
		t.Fatal(err)
	}
	if got, want := Loads(receiver, reply.Loads), loads(receiver); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestLoadRecordsOfOtherVersions guards against hosts that do not understand an earlier or later version: a reply without
// loads, and records with shorter or longer arrays.
func TestLoadRecordsOfOtherVersions(t *testing.T) {
	encoding, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := encoding.Marshal(&Empty{})
	if err != nil {
		t.Fatal(err)
	}
	var reply UsageReply
	if err := encoding.Unmarshal(encoded, &reply); err != nil || len(reply.Loads) > 0 {
		t.Errorf("got %+v, %v of an earlier version, want an empty reply", reply, err)
	}
	if encoded, err = encoding.Marshal(&UsageReply{Loads: []LoadRecord{{Backend: "a"}}}); err != nil {
		t.Fatal(err)
	}
	if err := encoding.Unmarshal(encoded, &Empty{}); err != nil {
		t.Errorf("got %v for a host of an earlier version, want the reply to be read", err)
	}
	now := time.Unix(1_000, 0)
	got := Loads(now, []LoadRecord{{Backend: "a", Stated: []int64{1, 2}, Held: []int64{0, 7, 8, 90, 11, 12}}})
	want := []model.BackendLoad{{Backend: "a", Held: model.HeldLoad{Requests: 7, Tokens: 8, Rate: 9, At: now}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// FuzzLoads guards against messages that stop a host or lead to times in the future.
func FuzzLoads(f *testing.F) {
	encoding, err := newCodec()
	if err != nil {
		f.Fatal(err)
	}
	now := time.Unix(1_000_000, 0)
	seed, err := encoding.Marshal(&UsageReply{Loads: []LoadRecord{{Backend: "a", Stated: []int64{-1, 1 << 62, -5, 0, 1 << 62}, Held: []int64{1 << 62, 3, 4, 5}, FullAge: []int64{-1 << 62}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, message []byte) {
		var reply UsageReply
		if err := encoding.Unmarshal(message, &reply); err != nil {
			return
		}
		for _, l := range Loads(now, reply.Loads) {
			for _, at := range []time.Time{l.Stated.At, l.Held.At, l.FullAt} {
				if !at.IsZero() && (at.After(now) || now.Sub(at) > 2*time.Hour) {
					t.Errorf("got %v, want a time of the last hour", at)
				}
			}
		}
	})
}
