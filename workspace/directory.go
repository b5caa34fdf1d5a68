// Package workspace decides which workspace a caller's key belongs to, and which lists of workspaces are valid.
package workspace

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"sync"

	"citronspread/model"
)

// digest is the keyed digest of a key.
type digest [sha256.Size]byte

// digestSecret is the secret of all digests of this process. It is the same for all directories, so that Compare finds
// the keys that two of them share.
var digestSecret = sync.OnceValue(func() []byte {
	secret := make([]byte, sha256.Size)
	_, _ = rand.Read(secret) // crashes the program instead of returning an error
	return secret
})

func digestOf(key string) (d digest) {
	hash := hmac.New(sha256.New, digestSecret())
	hash.Write([]byte(key))
	hash.Sum(d[:0])
	return d
}

// Directory finds workspaces by their keys. It is immutable and contains no key, only keyed digests.
//
// The time of a look-up depends on the length of the presented key alone: a digest with a secret that callers do not
// know says nothing about how similar a wrong key is to a right one, and the digests are in a hash table.
type Directory struct {
	workspaces []model.Workspace // without their keys
	positions  map[digest]int    // in workspaces
}

// NewDirectory returns the directory of workspaces that Check accepts.
func NewDirectory(workspaces []model.Workspace) *Directory {
	keys := 0
	for _, w := range workspaces {
		keys += len(w.Keys)
	}
	d := &Directory{workspaces: make([]model.Workspace, len(workspaces)), positions: make(map[digest]int, keys)}
	for i, w := range workspaces {
		for _, key := range w.Keys {
			d.positions[digestOf(key)] = i
		}
		w.Keys = nil
		d.workspaces[i] = w
	}
	return d
}

// Find returns the workspace of a key, without its keys.
func (d *Directory) Find(key string) (model.Workspace, bool) {
	if d == nil || len(d.positions) == 0 || key == "" {
		return model.Workspace{}, false
	}
	i, found := d.positions[digestOf(key)]
	if !found {
		return model.Workspace{}, false
	}
	return d.workspaces[i], true
}

// IsEmpty reports whether there are no workspaces, so that callers need no keys.
func (d *Directory) IsEmpty() bool { return d == nil || len(d.workspaces) == 0 }

// Workspaces returns the workspaces without their keys. The caller must not modify them.
func (d *Directory) Workspaces() []model.Workspace {
	if d == nil {
		return nil
	}
	return d.workspaces
}

// KeyCount returns the number of keys of all workspaces.
func (d *Directory) KeyCount() int {
	if d == nil {
		return 0
	}
	return len(d.positions)
}
