package workspace

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"citronspread/model"
)

func priority(n int) *int { return &n }

var testWorkspaces = []model.Workspace{
	{Name: "hule930", Keys: []string{"secret-h1", "secret-h2"}, Priority: priority(1), Cap: model.UsageCap{PerSecond: 10, Burst: 20, Unit: model.CapTokens}},
	{Name: "other", Keys: []string{"secret-o1"}},
	{Name: "locked", Keys: nil},
}

func TestFind(t *testing.T) {
	d := NewDirectory(testWorkspaces)
	tests := []struct{ key, want string }{
		{"secret-h1", "hule930"},
		{"secret-h2", "hule930"},
		{"secret-o1", "other"},
		{"secret-o", ""},
		{"secret-o1 ", ""},
		{"Secret-o1", ""},
		{"other", ""},
		{"", ""},
	}
	for _, tt := range tests {
		got, found := d.Find(tt.key)
		if got.Name != tt.want || found != (tt.want != "") {
			t.Errorf("%q: got %q, %v, want %q", tt.key, got.Name, found, tt.want)
		}
		if len(got.Keys) > 0 {
			t.Errorf("%q: got a workspace with %d keys, want none", tt.key, len(got.Keys))
		}
	}
	if d.IsEmpty() || d.KeyCount() != 3 || len(d.Workspaces()) != 3 {
		t.Errorf("got empty %v, %d keys, %d workspaces, want 3 keys and 3 workspaces", d.IsEmpty(), d.KeyCount(), len(d.Workspaces()))
	}
}

// TestEmptyDirectory guards against a deployment without workspaces that asks callers for keys, and against one whose
// only workspace has no key that asks for none.
func TestEmptyDirectory(t *testing.T) {
	for _, d := range []*Directory{nil, NewDirectory(nil), NewDirectory([]model.Workspace{})} {
		if _, found := d.Find("x"); !d.IsEmpty() || found || d.KeyCount() != 0 {
			t.Errorf("got empty %v, found %v, %d keys, want an empty directory", d.IsEmpty(), found, d.KeyCount())
		}
	}
	if NewDirectory(testWorkspaces[2:]).IsEmpty() {
		t.Error("got an empty directory for a workspace without keys, want one that asks for keys")
	}
}

// TestDirectoryHasNoKeys guards against keys in dumps: neither a directory nor a workspace shows one, however it is
// formatted or encoded, and the directory does not keep one in memory.
func TestDirectoryHasNoKeys(t *testing.T) {
	d := NewDirectory(testWorkspaces)
	w := testWorkspaces[0]
	encoded, err := json.Marshal(map[string]any{"workspace": w, "directory": d, "all": d.Workspaces()})
	if err != nil {
		t.Fatal(err)
	}
	state := model.DesiredState{Workspaces: testWorkspaces}
	shown := string(encoded) + fmt.Sprintf("%v %+v %#v %s %v %+v %#v %+v %#v", w, w, w, w, &w, &w, &w, state, state) + fmt.Sprintf("%+v %#v", d, d)
	if strings.Contains(shown, "secret-") {
		t.Errorf("got a key in %s", shown)
	}
	if got := findText(reflect.ValueOf(d), "secret-"); got != "" {
		t.Errorf("got %s in the directory, want no key", got)
	}
}

// findText returns a string or byte sequence that a value refers to and that contains a text.
func findText(v reflect.Value, text string) string {
	switch v.Kind() {
	case reflect.String:
		if strings.Contains(v.String(), text) {
			return v.String()
		}
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			return findText(v.Elem(), text)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if found := findText(v.Field(i), text); found != "" {
				return found
			}
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			if found := findText(v.Index(i), text); found != "" {
				return found
			}
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			if found := findText(key, text) + findText(v.MapIndex(key), text); found != "" {
				return found
			}
		}
	}
	return ""
}

// TestDigestsAreKeyed guards against digests from which keys could be guessed: two processes must not have the same one.
func TestDigestsAreKeyed(t *testing.T) {
	if len(digestSecret()) < 32 || reflect.DeepEqual(digestSecret(), make([]byte, len(digestSecret()))) {
		t.Error("got a secret that is short or zero, want 32 random bytes")
	}
	if first, again := digestOf("a"), digestOf("a"); first != again || first == digestOf("b") {
		t.Error("got equal digests of two keys, or two digests of one")
	}
	if unkeyed := digest(sha256.Sum256([]byte("a"))); digestOf("a") == unkeyed {
		t.Error("got a digest without a secret")
	}
}

func TestCompare(t *testing.T) {
	moved := []model.Workspace{
		{Name: "hule930", Keys: []string{"secret-h2", "secret-h3"}, Priority: priority(2), Cap: testWorkspaces[0].Cap},
		{Name: "new", Keys: []string{"secret-o1"}},
		{Name: "locked"},
	}
	tests := []struct {
		name          string
		before, after *Directory
		want          Change
	}{
		{"first", nil, NewDirectory(testWorkspaces), Change{Added: 3, KeysAdded: 3}},
		{"same", NewDirectory(testWorkspaces), NewDirectory(testWorkspaces), Change{}},
		{"changed", NewDirectory(testWorkspaces), NewDirectory(moved), Change{Added: 1, Removed: 1, Modified: 1, KeysAdded: 2, KeysRemoved: 2}},
		{"all removed", NewDirectory(testWorkspaces), NewDirectory(nil), Change{Removed: 3, KeysRemoved: 3}},
		{"none", nil, NewDirectory(nil), Change{}},
	}
	for _, tt := range tests {
		if got := Compare(tt.before, tt.after); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

func TestKeyOf(t *testing.T) {
	tests := []struct {
		values []string
		key    string
		kind   Credentials
	}{
		{nil, "", CredentialsMissing},
		{[]string{"Bearer k"}, "k", CredentialsKey},
		{[]string{"bearer   k\t"}, "k", CredentialsKey},
		{[]string{"Bearer a b"}, "a b", CredentialsKey},
		{[]string{"Bearer"}, "", CredentialsInvalid},
		{[]string{"Bearer  "}, "", CredentialsInvalid},
		{[]string{""}, "", CredentialsInvalid},
		{[]string{"k"}, "", CredentialsInvalid},
		{[]string{"Basic k"}, "", CredentialsInvalid},
		{[]string{"BearerX k"}, "", CredentialsInvalid},
		{[]string{"Bearer k", "Bearer k"}, "", CredentialsInvalid},
	}
	for _, tt := range tests {
		header := http.Header{authorizationHeader: tt.values}
		if key, kind := KeyOf(header); key != tt.key || kind != tt.kind {
			t.Errorf("%q: got %q, %s, want %q, %s", tt.values, key, kind, tt.key, tt.kind)
		}
	}
}

// BenchmarkFind measures a look-up, whose cost must not depend on the number of workspaces or on how much of a key is
// right.
func BenchmarkFind(b *testing.B) {
	for _, count := range []int{16, 10_000} {
		workspaces := make([]model.Workspace, count)
		for i := range workspaces {
			workspaces[i] = model.Workspace{Name: fmt.Sprint("w", i), Keys: []string{fmt.Sprintf("key-%030d", i), fmt.Sprintf("old-%030d", i)}}
		}
		d := NewDirectory(workspaces)
		known, similar, foreign := workspaces[count/2].Keys[0], fmt.Sprintf("key-%030d", count), strings.Repeat("z", 34)
		for name, key := range map[string]string{"known": known, "similar": similar, "foreign": foreign} {
			b.Run(fmt.Sprintf("%s/%d", name, count), func(b *testing.B) {
				for b.Loop() {
					if _, found := d.Find(key); found != (name == "known") {
						b.Fatal("got another result than expected")
					}
				}
			})
		}
	}
}

// BenchmarkNewDirectory measures what a change of the configuration costs.
func BenchmarkNewDirectory(b *testing.B) {
	for _, count := range []int{16, 10_000} {
		workspaces := make([]model.Workspace, count)
		for i := range workspaces {
			workspaces[i] = model.Workspace{Name: fmt.Sprint("w", i), Keys: []string{fmt.Sprintf("key-%030d", i), fmt.Sprintf("old-%030d", i)}}
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				NewDirectory(workspaces)
			}
		})
	}
}
