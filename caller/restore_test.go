package caller

import (
	"errors"
	"testing"
	"time"
)

// fakeRevisions is what entry hosts know of the store's revision.
type fakeRevisions struct {
	highest  int64
	restored bool
}

func (f *fakeRevisions) Floor() int64          { return f.highest }
func (f *fakeRevisions) Saw(revision int64)    { f.highest = max(f.highest, revision) }
func (f *fakeRevisions) Paused(time.Time) bool { return f.restored }
func (f *fakeRevisions) Restored()             { f.restored = true }

// TestClaimAfterRestoreIsNotTrusted has a store lose a claim, and holds that another entry host does not take it anew.
func TestClaimAfterRestoreIsNotTrusted(t *testing.T) {
	for _, knows := range []bool{false, true} {
		f := newFakeStore(1)
		shared := &fakeRevisions{}
		first := &Claims{Store: f, Deadline: time.Second}
		second := &Claims{Store: f, Deadline: time.Second}
		if knows {
			first.Revisions, second.Revisions = shared, shared
		}
		if _, err := first.take(t.Context(), "claim/a/other", "hash", time.Now()); err != nil {
			t.Fatal(err)
		}
		if _, err := first.take(t.Context(), "claim/a/1", "hash", time.Now()); err != nil {
			t.Fatal(err)
		}
		delete(f.entries, "claim/a/1")
		f.revision = 0
		_, err := second.take(t.Context(), "claim/a/1", "hash", time.Now())
		var unavailable *claimUnavailableError
		if got, want := errors.As(err, &unavailable), knows; got != want {
			t.Errorf("knows %v: got refused %v, want %v", knows, got, want)
		}
		if got, want := shared.restored, knows; got != want {
			t.Errorf("knows %v: got told %v, want %v", knows, got, want)
		}
	}
}
